import {failure, Result, success} from '../../../base/common/result.js';
import {RequestError, RequestFailure} from '../../requests/common/failure.js';
import {
  FinishReason,
  ModelReply,
  ModelRequest,
} from '../../requests/common/request.js';
import {ReservationReply} from '../../routing/common/routing.js';
import {EngineCanceller} from './engineCanceller.js';
import {PipelineDependencies} from './pipelineDependencies.js';
import {RunState} from './runState.js';
import {StageSet} from './stageSet.js';
import {StageFailure} from './passRunner.js';

type Conclusion = Result<ModelReply, RequestFailure>;

/** Ends a run: frees engines, releases the capacity and builds the result. */
export class RunConclusion {
  constructor(
    private readonly dependencies: PipelineDependencies,
    private readonly request: ModelRequest,
    private readonly state: RunState,
    private readonly stages: StageSet,
    private readonly canceller: EngineCanceller,
  ) {}

  /** Concludes a run whose complete reply was released. */
  complete(finishReason: FinishReason): Conclusion {
    this.freeEngines(finishReason);
    this.releaseCapacity();
    this.dependencies.metrics.count('pipeline.completed', 1, {
      classOfWork: this.request.classOfWork.name,
    });
    return success({
      requestId: this.request.requestId,
      tokens: this.state.tokens.slice(this.state.promptLength),
      finishReason,
    });
  }

  /** Concludes a run whose caller disconnected or whose deadline passed. */
  end(): Promise<Conclusion> {
    const isLate = this.state.token.reason === 'deadline';
    const error: RequestError = isLate
      ? {kind: 'deadlineExceeded'}
      : {kind: 'callerGone'};
    this.markCancelled();
    const retry = this.dependencies.settings.retryMilliseconds;
    return this.failWith(error, isLate ? retry : undefined);
  }

  /** Concludes a run that was given no capacity. */
  refuse(
    refusal: Extract<ReservationReply, {kind: 'refused'}>,
  ): Promise<Conclusion> {
    const {reason, retryAfterMilliseconds} = refusal;
    const detail = 'no pipeline was given for this request';
    const error: RequestError =
      reason === 'overShare' ? {kind: reason} : {kind: reason, detail};
    return this.failWith(error, retryAfterMilliseconds);
  }

  /** Concludes a run that could not be recovered. */
  fail(
    failed: StageFailure | undefined,
    retryAfterMilliseconds: number | undefined,
  ): Promise<Conclusion> {
    const detail = failed
      ? `upstream ${failed.session.chosen.upstream}: ${failed.error.kind}`
      : 'the pipeline does not cover all layers';
    const retry =
      retryAfterMilliseconds ?? this.dependencies.settings.retryMilliseconds;
    return this.failWith({kind: 'upstreamFailed', detail}, retry);
  }

  private async failWith(
    error: RequestError,
    retryAfterMilliseconds: number | undefined,
  ): Promise<Conclusion> {
    this.state.attempt.dispose();
    await this.canceller.cancelAll(
      this.state.epoch,
      this.dependencies.settings.settleMilliseconds,
    );
    this.releaseCapacity();
    this.dependencies.metrics.count('pipeline.failed', 1, {
      classOfWork: this.request.classOfWork.name,
      error: error.kind,
    });
    return failure({
      error,
      executed: this.stages.executionTracker.executed(this.state.released),
      retryAfterMilliseconds,
      addresses: [],
    });
  }

  /** The last stage frees its cache at the end of the text; all other engines must be cancelled. */
  private freeEngines(finishReason: FinishReason): void {
    const last = this.stages.sessions.at(-1)?.chosen.upstream;
    const selfFreed = finishReason === 'stop' ? last : undefined;
    const upstreams = this.stages.executionTracker.all
      .map(record => record.upstream)
      .filter(upstream => upstream !== selfFreed);
    this.canceller.cancelInBackground(upstreams, this.state.epoch);
  }

  private releaseCapacity(): void {
    const {reservation} = this.state;
    this.state.reservation = undefined;
    if (reservation) {
      this.dependencies.broker.release(reservation, this.stages.observations);
    }
  }

  private markCancelled(): void {
    for (const session of this.stages.sessions) {
      const {statistics} = session;
      if (statistics.outcome === 'completed') {
        statistics.outcome = 'cancelled';
      }
    }
  }
}
