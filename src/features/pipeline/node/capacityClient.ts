import {ModelRequest} from '../../requests/common/request.js';
import {
  Reservation,
  ReservationReply,
  StageObservation,
  WorkEstimate,
} from '../../routing/common/routing.js';
import {OutputEstimator} from '../common/outputEstimator.js';
import {estimateWork} from '../common/workEstimate.js';
import {untilCancelled} from './boundedCall.js';
import {DecisionLog} from './decisionLog.js';
import {PipelineDependencies} from './pipelineDependencies.js';
import {RunState} from './runState.js';

const ANSWERED = {
  outcome: 'completed' as const,
  decodeMilliseconds: undefined,
  linkMilliseconds: undefined,
  steps: 1,
};

/** Asks for capacity on behalf of one request; what comes after the request ended is given back. */
export class CapacityClient {
  /** Tokens expected of the whole reply. */
  readonly expectedTokens: number;
  private readonly decisions: DecisionLog;
  private answered: Reservation | undefined;

  constructor(
    private readonly dependencies: PipelineDependencies,
    private readonly request: ModelRequest,
    private readonly state: RunState,
    estimator: OutputEstimator,
  ) {
    this.decisions = new DecisionLog(dependencies.logger, request);
    this.expectedTokens = estimator.estimate(
      request.classOfWork.name,
      request.clientAccount,
      request.maximumOutputTokens,
    );
  }

  /** Undefined when the run ended first. */
  reserve(): Promise<ReservationReply | undefined> {
    const {broker} = this.dependencies;
    return this.ask('admission', [], () =>
      broker.reserve(
        this.work(),
        this.request.model.name,
        this.state.token.signal,
      ),
    );
  }

  /** Undefined when the run ended first. */
  replan(
    reservation: Reservation,
    state: RunState,
    excluded: readonly string[],
    cause: string,
  ): Promise<ReservationReply | undefined> {
    const {broker} = this.dependencies;
    return this.ask(cause, excluded, () =>
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

  /** Tells once of each reservation that its probing stages answered, so that they get more work soon. */
  reportAnswers(): void {
    const {reservation} = this.state;
    if (reservation === undefined || reservation === this.answered) {
      return;
    }
    this.answered = reservation;
    for (const {upstream, probing} of reservation.stages) {
      if (probing === true) {
        this.reportFailure({upstream, ...ANSWERED});
      }
    }
  }

  logKept(cause: string, epoch: number, upstreams: readonly string[]): void {
    this.decisions.writeKept(cause, epoch, upstreams);
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

  private async ask(
    cause: string,
    excluded: readonly string[],
    call: () => Promise<ReservationReply>,
  ): Promise<ReservationReply | undefined> {
    const asked = call().catch((error: unknown) => this.brokerFailed(error));
    const reply = await untilCancelled(this.state.token, asked);
    if (reply === undefined) {
      void asked.then(late => this.giveBack(late));
      return undefined;
    }
    this.decisions.write(cause, this.state.epoch, excluded, reply);
    return reply;
  }

  private brokerFailed(error: unknown): ReservationReply {
    this.dependencies.logger.warn('capacity could not be asked for', {
      requestId: this.request.requestId,
      error: String(error),
    });
    return {
      kind: 'refused',
      reason: 'noUpstream',
      retryAfterMilliseconds: this.dependencies.settings.retryMilliseconds,
    };
  }

  private giveBack(late: ReservationReply): void {
    if (late.kind === 'reserved') {
      this.dependencies.broker.release(late.reservation, []);
    }
  }
}
