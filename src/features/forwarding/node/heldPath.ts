import {UpstreamLoad} from '../../fleet/common/upstreamLoad.js';
import {
  Path,
  tokensOf,
  upstreamIdsOf,
  WorkSize,
} from '../../paths/common/path.js';

/** The path of one stream, counted as load on its upstreams for as long as it is held. */
export class HeldPath {
  private held: Path = [];

  constructor(
    private readonly load: UpstreamLoad,
    readonly size: WorkSize,
  ) {}

  get path(): Path {
    return this.held;
  }

  /** Holds a path in place of the last one; an empty one holds nothing. */
  take(path: Path): void {
    const tokens = tokensOf(this.size);
    upstreamIdsOf(this.held).forEach(id => this.load.remove(id, tokens));
    upstreamIdsOf(path).forEach(id => this.load.add(id, tokens));
    this.held = path;
  }
}
