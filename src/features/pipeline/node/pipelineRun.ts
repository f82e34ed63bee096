import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {ChartInstance} from '../../../infrastructure/stateChart/common/stateChart.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {
  FinishReason,
  ModelReply,
  ModelRequest,
} from '../../requests/common/request.js';
import {ReservationReply} from '../../routing/common/routing.js';
import {
  AttemptAction,
  AttemptEvent,
  AttemptState,
} from '../common/pipelineAttempt.js';
import {TokenSink} from '../common/pipelineDriver.js';
import {coversAllLayers} from '../common/planCheck.js';
import {recordFailure} from '../common/stageFailure.js';
import {delayWithin, untilCancelled} from './boundedCall.js';
import {PipelineDependencies} from './pipelineDependencies.js';
import {createRunParts, RunParts, SharedKnowledge} from './runParts.js';
import {StageFailure, TokenOutput} from './tokenStepper.js';

/** One request on its way through a pipeline. */
export class PipelineRun {
  private readonly source: CancellationSource;
  private readonly parts: RunParts;
  private failed: StageFailure | undefined;
  private refusal: Extract<ReservationReply, {kind: 'refused'}> | undefined;
  private finishReason: FinishReason = 'length';

  constructor(
    private readonly dependencies: PipelineDependencies,
    private readonly shared: SharedKnowledge,
    private readonly request: ModelRequest,
    private readonly sink: TokenSink,
    token: CancellationToken,
  ) {
    this.source = new CancellationSource(token);
    this.parts = createRunParts(
      dependencies,
      shared,
      request,
      this.source.token,
    );
  }

  /** Follows the chart from reservation to one of its ends. */
  async run(): Promise<Result<ModelReply, RequestFailure>> {
    const {clock} = this.dependencies;
    const left = this.request.deadlineAt - clock.monotonicMilliseconds();
    const deadline = clock.setTimer(left, () => this.source.cancel('deadline'));
    if (left <= 0) {
      this.source.cancel('deadline');
    }
    try {
      const state = await this.followChart();
      return await this.conclude(state);
    } finally {
      deadline.dispose();
      this.parts.state.attempt.dispose();
      this.source.dispose();
    }
  }

  private async followChart(): Promise<AttemptState> {
    const chart = new ChartInstance(this.shared.chart);
    let event = await this.reserve();
    for (;;) {
      const {state, actions} = chart.send(event);
      const [action] = actions;
      if (action === undefined) {
        return state;
      }
      event = await this.perform(action);
    }
  }

  private perform(action: AttemptAction): Promise<AttemptEvent> {
    switch (action) {
      case 'prefill':
        return this.prefill();
      case 'decode':
        return this.decode();
      case 'recover':
        return this.recover();
    }
  }

  private async reserve(): Promise<AttemptEvent> {
    const {state, capacity} = this.parts;
    if (state.token.isCancelled) {
      return 'ended';
    }
    const left: string[] = [];
    let reply = await capacity.reserve();
    for (;;) {
      const event = await this.takePlan(reply);
      const leaving = this.leavingUpstreams();
      if (event !== 'reserved' || leaving.length === 0) {
        return event;
      }
      // The start may have lain seconds ahead; nothing was sent yet, so the plan is made again without them.
      left.push(...leaving);
      reply = await capacity.replan(
        state.reservation!,
        state,
        left,
        'upstreamLeaves',
      );
    }
  }

  /** Takes a plan over and waits for its start. */
  private async takePlan(
    reply: ReservationReply | undefined,
  ): Promise<AttemptEvent> {
    const {state, stages} = this.parts;
    if (reply === undefined) {
      return 'ended';
    }
    if (reply.kind === 'refused') {
      this.refusal = reply;
      return 'refused';
    }
    const {reservation} = reply;
    state.reservation = reservation;
    if (!coversAllLayers(reservation.stages, this.request.model.layerCount)) {
      return 'refused';
    }
    stages.adopt(reservation.stages, undefined);
    const {startsInMilliseconds} = reservation.prediction;
    const started = await this.waitForStart(startsInMilliseconds);
    return started ? 'reserved' : 'ended';
  }

  /** Upstreams of the plan that have begun to leave since it was made. */
  private leavingUpstreams(): readonly string[] {
    const {sessions} = this.parts.stages;
    return sessions
      .map(({chosen}) => chosen.upstream)
      .filter(upstream => this.dependencies.isLeaving(upstream));
  }

  /** Comes a little before the predicted start: engines queue by priority, and predictions err. */
  private async waitForStart(startsIn: number): Promise<boolean> {
    const {token} = this.parts.state;
    const {clock, settings} = this.dependencies;
    const lead = Math.max(
      settings.startLeadMilliseconds,
      settings.startLeadShare * startsIn,
    );
    if (startsIn <= lead) {
      return !token.isCancelled;
    }
    return delayWithin(clock, startsIn - lead, token);
  }

  private async prefill(): Promise<AttemptEvent> {
    const event = await this.nextToken();
    return event ?? 'firstToken';
  }

  private async decode(): Promise<AttemptEvent> {
    for (;;) {
      const event = await this.nextToken();
      if (event !== undefined) {
        return event;
      }
    }
  }

  private async recover(): Promise<AttemptEvent> {
    const {state, recovery} = this.parts;
    const outcome = await recovery.recover(this.failed as StageFailure);
    if (outcome.kind === 'stageFailed') {
      this.failed = outcome.failure;
    }
    return state.token.isCancelled ? 'ended' : outcome.kind;
  }

  /** Runs one pass and releases its token; an event when the generation can't simply go on. */
  private async nextToken(): Promise<AttemptEvent | undefined> {
    const {state, stages, stepper, planner} = this.parts;
    const {sessions} = stages;
    const pass = planner.next();
    const result = await stepper.run(sessions, state.attempt, pass);
    state.steppedTo = Math.max(state.steppedTo, sessions[0].coveredTo);
    if (!result.ok) {
      const {session, error} = result.error;
      recordFailure(session.record, error, pass.epoch);
      this.failed = result.error;
      return state.token.isCancelled ? 'ended' : 'stageFailed';
    }
    this.parts.capacity.reportAnswers();
    return state.token.isCancelled ? 'ended' : this.release(result.value);
  }

  private async release(
    output: TokenOutput,
  ): Promise<AttemptEvent | undefined> {
    const {state, caches, capacity} = this.parts;
    const {maximumOutputTokens} = this.request;
    const isBareEnd = output.endOfText && output.token === '';
    if (!isBareEnd && !(await this.deliver(output.token))) {
      return 'ended';
    }
    if (output.endOfText) {
      this.finishReason = 'stop';
      return 'finished';
    }
    if (state.released >= maximumOutputTokens) {
      return 'finished';
    }
    caches.exportWhenDue({
      contextTokens: state.tokens.length,
      releasedTokens: state.released,
      expectedTokens: capacity.expectedTokens,
      maximumTokens: maximumOutputTokens,
    });
    return undefined;
  }

  /** Hands a token to the caller; false when the run ended meanwhile. */
  private async deliver(text: string): Promise<boolean> {
    const {state} = this.parts;
    const index = state.released;
    state.tokens.push(text);
    try {
      const pending = this.sink(text, index);
      if (pending !== undefined) {
        await untilCancelled(state.token, pending);
      }
    } catch (error) {
      this.dependencies.logger.warn('the caller could not be written to', {
        requestId: this.request.requestId,
        error: String(error),
      });
      this.source.cancel('caller gone');
    }
    return !state.token.isCancelled;
  }

  private conclude(
    end: AttemptState,
  ): Promise<Result<ModelReply, RequestFailure>> {
    const {state, conclusion, recovery} = this.parts;
    if (end === 'completed') {
      this.shared.estimator.observe(
        this.request.classOfWork.name,
        this.request.clientAccount,
        state.released,
      );
      return Promise.resolve(conclusion.complete(this.finishReason));
    }
    if (end === 'cancelled') {
      return conclusion.end();
    }
    return this.refusal
      ? conclusion.refuse(this.refusal)
      : conclusion.fail(this.failed, recovery.retryAfterMilliseconds);
  }
}
