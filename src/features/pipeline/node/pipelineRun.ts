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
import {coversAllLayers} from '../common/layerCoverage.js';
import {recordFailure} from '../common/stageFailure.js';
import {cancellableDelay, raceCancellation} from './cancellableCall.js';
import {PipelineDependencies} from './pipelineDependencies.js';
import {createRunParts, RunParts, DriverSharedState} from './runParts.js';
import {StageFailure, TokenOutput} from './passRunner.js';

/** Runs one request on a pipeline. */
export class PipelineRun {
  private readonly source: CancellationSource;
  private readonly parts: RunParts;
  private failed: StageFailure | undefined;
  private refusal: Extract<ReservationReply, {kind: 'refused'}> | undefined;
  private finishReason: FinishReason = 'length';

  constructor(
    private readonly dependencies: PipelineDependencies,
    private readonly shared: DriverSharedState,
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

  /** Runs the state chart from the reservation to a final state. */
  async run(): Promise<Result<ModelReply, RequestFailure>> {
    const {clock} = this.dependencies;
    const remainingMilliseconds =
      this.request.deadlineAt - clock.monotonicMilliseconds();
    const deadline = clock.setTimer(remainingMilliseconds, () =>
      this.source.cancel('deadline'),
    );
    if (remainingMilliseconds <= 0) {
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
    const excludedUpstreams: string[] = [];
    let reply = await capacity.reserve();
    for (;;) {
      const event = await this.adoptPlan(reply);
      const leaving = this.leavingUpstreams();
      if (event !== 'reserved' || leaving.length === 0) {
        return event;
      }
      // The wait for the start can take seconds. Nothing has been sent yet, so leaving upstreams are replaced.
      excludedUpstreams.push(...leaving);
      reply = await capacity.replan(
        state.reservation!,
        state,
        excludedUpstreams,
        'upstreamLeaves',
      );
    }
  }

  /** Adopts a plan and waits for its start. */
  private async adoptPlan(
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

  /** Upstreams of the plan that are now leaving. */
  private leavingUpstreams(): readonly string[] {
    const {sessions} = this.parts.stages;
    return sessions
      .map(({chosen}) => chosen.upstream)
      .filter(upstream => this.dependencies.isLeaving(upstream));
  }

  /** Waits until shortly before the predicted start: engines queue by priority, and predictions are inexact. */
  private async waitForStart(predictedMilliseconds: number): Promise<boolean> {
    const {token} = this.parts.state;
    const {clock, settings} = this.dependencies;
    const leadMilliseconds = Math.max(
      settings.startLeadMilliseconds,
      settings.startLeadShare * predictedMilliseconds,
    );
    if (predictedMilliseconds <= leadMilliseconds) {
      return !token.isCancelled;
    }
    return cancellableDelay(
      clock,
      predictedMilliseconds - leadMilliseconds,
      token,
    );
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

  /** Runs one pass and releases its token; returns an event if generation cannot continue with the next pass. */
  private async nextToken(): Promise<AttemptEvent | undefined> {
    const {state, stages, passRunner, planner} = this.parts;
    const {sessions} = stages;
    const pass = planner.next();
    const result = await passRunner.run(sessions, state.attempt, pass);
    state.computedTo = Math.max(state.computedTo, sessions[0].coveredTo);
    if (!result.ok) {
      const {session, error} = result.error;
      recordFailure(session.record, error, pass.epoch);
      this.failed = result.error;
      return state.token.isCancelled ? 'ended' : 'stageFailed';
    }
    this.parts.capacity.reportProbeSuccess();
    return state.token.isCancelled ? 'ended' : this.release(result.value);
  }

  private async release(
    output: TokenOutput,
  ): Promise<AttemptEvent | undefined> {
    const {state, cacheTransfer, capacity} = this.parts;
    const {maximumOutputTokens} = this.request;
    const isEndWithoutToken = output.endOfText && output.token === '';
    if (!isEndWithoutToken && !(await this.deliver(output.token))) {
      return 'ended';
    }
    if (output.endOfText) {
      this.finishReason = 'stop';
      return 'finished';
    }
    if (state.released >= maximumOutputTokens) {
      return 'finished';
    }
    cacheTransfer.exportIfDue({
      contextTokens: state.tokens.length,
      releasedTokens: state.released,
      expectedTokens: capacity.expectedTokens,
      maximumTokens: maximumOutputTokens,
    });
    return undefined;
  }

  /** Delivers a token to the caller; returns false if the run has ended. */
  private async deliver(text: string): Promise<boolean> {
    const {state} = this.parts;
    const index = state.released;
    state.tokens.push(text);
    try {
      const pending = this.sink(text, index);
      if (pending !== undefined) {
        await raceCancellation(state.token, pending);
      }
    } catch (error) {
      this.dependencies.logger.warn('writing a token to the caller failed', {
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
