import {layerCountOf} from '../../fleet/common/upstream.js';
import {UpstreamLoad} from '../../fleet/common/upstreamLoad.js';
import {Path, PathPart, tokensOf, WorkSize} from '../../paths/common/path.js';

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
    for (const part of this.held) {
      this.load.remove(part.upstream.id, this.memoryOf(part));
    }
    for (const part of path) {
      this.load.add(part.upstream.id, this.memoryOf(part));
    }
    this.held = path;
  }

  private memoryOf({range}: PathPart): number {
    return tokensOf(this.size) * layerCountOf(range);
  }
}
