import {
  crossingsOf,
  formatPath,
  Path,
  upstreamIdsOf,
} from '../../paths/common/path.js';
import {ForwardingServices} from './forwardingServices.js';
import {PathChooser} from './pathChooser.js';

/** Another path for a running stream, which keeps its first upstream. */
export interface PathMove {
  readonly path: Path;
  readonly lost: ReadonlySet<string>;
  /**
   * Whether it crosses between data centres more often than the present path: all tokens so far would cross
   * again, and reading them anew in one data centre takes less time.
   */
  readonly crossesMore: boolean;
}

/** Moves a running stream to another path, so that the upstreams that stay keep what they have read. */
export class PathMover {
  constructor(
    private readonly services: ForwardingServices,
    private readonly requestId: string,
    private readonly chooser: PathChooser,
  ) {}

  /** The path around an upstream and all others on the path that are lost; undefined when there is none. */
  find(present: Path, left: string): PathMove | undefined {
    const lost = this.lostOn(present, left);
    const answer = this.chooser.without(present, lost);
    if (answer.kind !== 'found') {
      return undefined;
    }
    const {path} = answer;
    const crossesMore = crossingsOf(path) > crossingsOf(present);
    return {path, lost, crossesMore};
  }

  /** Orders the move; answers whether the stream runs on the new path now. */
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

  private lostOn(path: Path, left: string): ReadonlySet<string> {
    const {directory, suspicions} = this.services;
    const isLost = (id: string): boolean =>
      id === left || suspicions.isLost(id) || directory.find(id) === undefined;
    return new Set(upstreamIdsOf(path).filter(isLost));
  }
}
