import {
  countCrossings,
  formatPath,
  Path,
  upstreamIdsOf,
} from '../../paths/common/path.js';
import {ForwardingServices} from './forwardingServices.js';
import {PathChooser} from './pathChooser.js';

/** A new path for a running stream that keeps its first upstream. */
export interface PathMove {
  readonly path: Path;
  readonly lost: ReadonlySet<string>;
  /**
   * Whether it crosses between data centres more often than the current path. All tokens so far would cross
   * again, and repeating the prefill in one data centre takes less time.
   */
  readonly addsCrossings: boolean;
}

/**
 * Moves a running stream to another path so that the upstreams that stay on it keep the stream's KV cache.
 */
export class PathMover {
  constructor(
    private readonly services: ForwardingServices,
    private readonly requestId: string,
    private readonly pathChooser: PathChooser,
  ) {}

  /**
   * Returns a path around the given upstream and all lost upstreams of the current path; undefined if there
   * is none.
   */
  findMove(current: Path, excluded: string): PathMove | undefined {
    const lost = this.lostUpstreamsOn(current, excluded);
    const detour = this.pathChooser.findDetour(current, lost);
    if (detour.kind !== 'found') {
      return undefined;
    }
    const {path} = detour;
    const addsCrossings = countCrossings(path) > countCrossings(current);
    return {path, lost, addsCrossings};
  }

  /** Requests the move; resolves with whether the stream now runs on the new path. */
  async order({path, lost}: PathMove): Promise<boolean> {
    const {control, logger, settings} = this.services;
    const [first] = path;
    if (first === undefined) {
      return false;
    }
    const moved = await control.repath(
      first.upstream,
      this.requestId,
      path,
      settings.repathMilliseconds,
    );
    logger.decision('streamMoved', {
      request: this.requestId,
      lost: [...lost],
      path: formatPath(path),
      ok: moved.ok,
      error: moved.ok ? undefined : moved.error.kind,
    });
    return moved.ok;
  }

  private lostUpstreamsOn(path: Path, excluded: string): ReadonlySet<string> {
    const {directory, suspicions} = this.services;
    const isLost = (id: string): boolean =>
      id === excluded ||
      suspicions.isLost(id) ||
      directory.find(id) === undefined;
    return new Set(upstreamIdsOf(path).filter(isLost));
  }
}
