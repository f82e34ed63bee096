import {upstreamIdsOf} from '../../paths/common/path.js';
import {StreamProgress} from '../common/silentStreams.js';
import {ForwardingServices} from './forwardingServices.js';
import {AdmittedRequest} from './admittedRequest.js';
import {PathMover} from './pathMover.js';
import {WatchedStream} from './streamMonitor.js';
import {StreamRecovery} from './streamRecovery.js';
import {StreamState} from './streamState.js';

/** Moves a running stream off upstreams that are lost, slow or leaving, or restarts it. */
export class StreamMover extends WatchedStream {
  private readonly pathMover: PathMover;
  private startedMoves = 0;
  private isMoving = false;

  constructor(
    private readonly services: ForwardingServices,
    private readonly admitted: AdmittedRequest,
    private readonly state: StreamState,
    private readonly recovery: StreamRecovery,
  ) {
    super();
    this.pathMover = new PathMover(services, admitted.id, state.pathChooser);
  }

  /** Moves so far, successful or not. */
  get moveCount(): number {
    return this.startedMoves;
  }

  override get progress(): StreamProgress | undefined {
    const {attempt, path, pathLoad, response, sentAt} = this.state;
    if (attempt === undefined || this.isMoving) {
      return undefined;
    }
    const {lastEventAt, meanGapMilliseconds} = response.gaps;
    return {
      requestId: this.admitted.id,
      upstreams: upstreamIdsOf(path),
      lastActivityAt: Math.max(sentAt, lastEventAt),
      hasBegun: attempt.hasEvents,
      meanGapMilliseconds,
      expectedGapMilliseconds: pathLoad.expectedGapMilliseconds,
    };
  }

  override leave(upstream: string): void {
    const {attempt, promptWatch} = this.state;
    if (this.state.isDone || this.isMoving || attempt === undefined) {
      return;
    }
    const isFirst = this.isFirst(upstream);
    const {movedStreams} = this.services.mechanisms;
    if (isFirst) {
      void promptWatch.recordLoss(upstream, attempt, false);
    }
    if (isFirst || !movedStreams || !attempt.hasEvents) {
      this.recovery.restart('upstreamLost');
    } else {
      void this.move(upstream, true);
    }
  }

  override onUpstreamDegraded(upstream: string): void {
    const {attempt, isDone} = this.state;
    // The end of the first upstream shows on the connection at once; moving off it early would not be
    // faster.
    const canMove =
      !this.isFirst(upstream) && !this.isMoving && attempt?.hasEvents;
    const {movedStreams} = this.services.mechanisms;
    if (movedStreams && canMove && !isDone) {
      void this.move(upstream, false);
    }
  }

  override onSilence(milliseconds: number): void {
    const {giveUpSilenceMilliseconds} = this.services.settings;
    if (milliseconds > giveUpSilenceMilliseconds) {
      this.recovery.restart('silence');
    }
  }

  private isFirst(upstream: string): boolean {
    return this.state.firstUpstream?.id === upstream;
  }

  /**
   * Moves the running stream off upstreams so that the others keep its KV cache.
   * @param isUrgent whether the stream can't continue on its current path
   */
  private async move(excluded: string, isUrgent: boolean): Promise<void> {
    const {state, recovery} = this;
    const move = this.pathMover.findMove(state.path, excluded);
    if (move === undefined || move.addsCrossings) {
      const hasRestarted = isUrgent && recovery.restart('upstreamLost');
      if (hasRestarted || !isUrgent || move === undefined) {
        return;
      }
    }
    const {events} = state.response.gaps;
    this.isMoving = true;
    this.startedMoves++;
    const isMoved = await this.pathMover.order(move);
    this.isMoving = false;
    if (state.isDone || state.attempt === undefined) {
      return;
    }
    if (isMoved) {
      this.services.metrics.recordRetry('moved');
      state.pathLoad.moveTo(move.path);
    } else if (state.response.gaps.events === events) {
      recovery.restart('notMoved');
    }
  }
}
