import {layerCountOf} from '../../fleet/common/upstream.js';
import {UpstreamLoadTracker} from '../../fleet/common/upstreamLoadTracker.js';
import {
  Path,
  PathPart,
  totalTokensOf,
  RequestSize,
} from '../../paths/common/path.js';

/** The current path of one stream, counted as load on its upstreams. */
export class PathLoad {
  private held: Path = [];

  constructor(
    private readonly load: UpstreamLoadTracker,
    readonly size: RequestSize,
  ) {}

  get path(): Path {
    return this.held;
  }

  /** Replaces the path; an empty path removes the load. */
  replace(path: Path): void {
    for (const part of this.held) {
      this.load.remove(part.upstream.id, this.tokenLayersOf(part));
    }
    for (const part of path) {
      this.load.add(part.upstream.id, this.tokenLayersOf(part));
    }
    this.held = path;
  }

  private tokenLayersOf({range}: PathPart): number {
    return totalTokensOf(this.size) * layerCountOf(range);
  }
}
