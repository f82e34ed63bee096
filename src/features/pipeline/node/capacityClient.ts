import {ModelRequest} from '../../requests/common/request.js';
import {
  Reservation,
  ReservationReply,
  StageObservation,
  WorkEstimate,
} from '../../routing/common/routing.js';
import {ReplyLengthEstimator} from '../common/replyLengthEstimator.js';
import {estimateWork} from '../common/workEstimate.js';
import {raceCancellation} from './cancellableCall.js';
import {DecisionLog} from './decisionLog.js';
import {PipelineDependencies} from './pipelineDependencies.js';
import {RunState} from './runState.js';

const PROBE_SUCCESS = {
  outcome: 'completed' as const,
  decodeMilliseconds: undefined,
  linkMilliseconds: undefined,
  steps: 1,
};

/** Requests capacity for one request; a reservation that arrives after the request has ended is released. */
export class CapacityClient {
  /** Expected number of tokens of the complete reply. */
  readonly expectedTokens: number;
  private readonly decisions: DecisionLog;
  private lastReportedReservation: Reservation | undefined;

  constructor(
    private readonly dependencies: PipelineDependencies,
    private readonly request: ModelRequest,
    private readonly state: RunState,
    estimator: ReplyLengthEstimator,
  ) {
    this.decisions = new DecisionLog(dependencies.logger, request);
    this.expectedTokens = estimator.estimate(
      request.classOfWork.name,
      request.clientAccount,
      request.maximumOutputTokens,
    );
  }

  /** Resolves with undefined if the run ended first. */
  reserve(): Promise<ReservationReply | undefined> {
    const {broker} = this.dependencies;
    return this.requestCapacity('admission', [], () =>
      broker.reserve(
        this.work(),
        this.request.model.name,
        this.state.token.signal,
      ),
    );
  }

  /** Resolves with undefined if the run ended first. */
  replan(
    reservation: Reservation,
    state: RunState,
    excluded: readonly string[],
    cause: string,
  ): Promise<ReservationReply | undefined> {
    const {broker} = this.dependencies;
    return this.requestCapacity(cause, excluded, () =>
      broker.replan(
        reservation,
        {...this.work(), inProgress: true},
        this.request.model.name,
        excluded,
        state.token.signal,
      ),
    );
  }

  reportFailure(observation: StageObservation): void {
    const {reservation} = this.state;
    if (reservation) {
      this.dependencies.broker.reportFailure(reservation, observation);
    }
  }

  /**
   * Reports, once per reservation, that the probing stages have responded, so that they are given more work soon.
   */
  reportProbeSuccess(): void {
    const {reservation} = this.state;
    if (
      reservation === undefined ||
      reservation === this.lastReportedReservation
    ) {
      return;
    }
    this.lastReportedReservation = reservation;
    for (const {upstream, probing} of reservation.stages) {
      if (probing === true) {
        this.reportFailure({upstream, ...PROBE_SUCCESS});
      }
    }
  }

  logStagesKept(
    cause: string,
    epoch: number,
    upstreams: readonly string[],
  ): void {
    this.decisions.writeStagesKept(cause, epoch, upstreams);
  }

  private work(): WorkEstimate {
    return estimateWork(
      this.request,
      this.expectedTokens,
      this.state.released,
      this.dependencies.clock.monotonicMilliseconds(),
      this.state.reservation?.stages[0]?.version,
    );
  }

  private async requestCapacity(
    cause: string,
    excluded: readonly string[],
    call: () => Promise<ReservationReply>,
  ): Promise<ReservationReply | undefined> {
    const pendingReply = call().catch((error: unknown) =>
      this.refusalAfterBrokerError(error),
    );
    const reply = await raceCancellation(this.state.token, pendingReply);
    if (reply === undefined) {
      void pendingReply.then(reply => this.releaseUnused(reply));
      return undefined;
    }
    this.decisions.write(cause, this.state.epoch, excluded, reply);
    return reply;
  }

  private refusalAfterBrokerError(error: unknown): ReservationReply {
    this.dependencies.logger.warn('capacity broker call failed', {
      requestId: this.request.requestId,
      error: String(error),
    });
    return {
      kind: 'refused',
      reason: 'noUpstream',
      retryAfterMilliseconds: this.dependencies.settings.retryMilliseconds,
    };
  }

  private releaseUnused(reply: ReservationReply): void {
    if (reply.kind === 'reserved') {
      this.dependencies.broker.release(reply.reservation, []);
    }
  }
}
