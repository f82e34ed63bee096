import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {
  ChartInstance,
  StateChart,
} from '../../../platform/stateChart/common/stateChart.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {
  FinishReason,
  ModelReply,
  ModelRequest,
} from '../../requests/common/request.js';
import {ReservationReply} from '../../routing/common/routing.js';
import {OutputEstimator} from '../common/outputEstimator.js';
import {
  AttemptAction,
  AttemptEvent,
  AttemptState,
} from '../common/pipelineAttempt.js';
import {TokenSink} from '../common/pipelineDriver.js';
import {coversAllLayers} from '../common/planCheck.js';
import {ProgressWatch} from '../common/progressWatch.js';
import {recordFailure} from '../common/stageFailure.js';
import {prefixKeyOf} from '../common/prefixKey.js';
import {delayWithin, untilCancelled} from './boundedCall.js';
import {CacheKeeper} from './cacheKeeper.js';
import {CapacityClient} from './capacityClient.js';
import {DroppedAnswers} from './droppedAnswers.js';
import {EngineCanceller} from './engineCanceller.js';
import {PipelineDependencies} from './pipelineDependencies.js';
import {PipelineRecovery} from './pipelineRecovery.js';
import {RunConclusion} from './runConclusion.js';
import {RunState} from './runState.js';
import {StageSet} from './stageSet.js';
import {
  StageFailure,
  TokenOutput,
  TokenPass,
  TokenStepper,
} from './tokenStepper.js';

/** What all runs of a driver share. */
export interface SharedKnowledge {
  readonly watch: ProgressWatch;
  readonly estimator: OutputEstimator;
  readonly chart: StateChart<AttemptState, AttemptEvent, AttemptAction>;
}

/** One request on its way through a pipeline. */
export class PipelineRun {
  private readonly source: CancellationSource;
  private readonly state: RunState;
  private readonly stages: StageSet;
  private readonly capacity: CapacityClient;
  private readonly canceller: EngineCanceller;
  private readonly caches: CacheKeeper;
  private readonly recovery: PipelineRecovery;
  private readonly stepper: TokenStepper;
  private readonly conclusion: RunConclusion;
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
    const {clock} = dependencies;
    const dropped = new DroppedAnswers(dependencies, request.requestId);
    this.source = new CancellationSource(token);
    this.state = new RunState(
      request,
      clock,
      this.source.token,
      (step, result) => dropped.late(step, result),
    );
    this.stages = new StageSet(dependencies, shared.watch);
    this.capacity = new CapacityClient(
      dependencies,
      request,
      this.state,
      shared.estimator,
    );
    this.canceller = new EngineCanceller(
      dependencies,
      request.requestId,
      this.stages,
    );
    this.caches = new CacheKeeper(
      dependencies,
      request.requestId,
      this.state,
      this.stages,
    );
    this.recovery = new PipelineRecovery(
      dependencies,
      request,
      this.state,
      this.stages,
      this.capacity,
      this.canceller,
      this.caches,
    );
    this.stepper = new TokenStepper(
      request,
      prefixKeyOf(request.model.name, request.adapter, request.promptTokens),
      clock,
      shared.watch,
      dependencies.safeguards,
      (step, fault) => dropped.faulty(step, fault),
    );
    this.conclusion = new RunConclusion(
      dependencies,
      request,
      this.state,
      this.stages,
      this.canceller,
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
      this.state.attempt.dispose();
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
    if (this.state.token.isCancelled) {
      return 'ended';
    }
    const reply = await this.capacity.reserve();
    if (reply === undefined) {
      return 'ended';
    }
    if (reply.kind === 'refused') {
      this.refusal = reply;
      return 'refused';
    }
    const {reservation} = reply;
    this.state.reservation = reservation;
    if (!coversAllLayers(reservation.stages, this.request.model.layerCount)) {
      return 'refused';
    }
    this.stages.adopt(reservation.stages, undefined);
    const started = await this.waitForStart(
      reservation.prediction.startsInMilliseconds,
    );
    return started ? 'reserved' : 'ended';
  }

  /** Comes a little before the predicted start: engines queue by priority, and predictions err. */
  private async waitForStart(startsIn: number): Promise<boolean> {
    const {clock, settings} = this.dependencies;
    const lead = Math.max(
      settings.startLeadMilliseconds,
      settings.startLeadShare * startsIn,
    );
    if (startsIn <= lead) {
      return !this.state.token.isCancelled;
    }
    return delayWithin(clock, startsIn - lead, this.state.token);
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
    const outcome = await this.recovery.recover(this.failed as StageFailure);
    if (outcome.kind === 'stageFailed') {
      this.failed = outcome.failure;
    }
    return this.state.token.isCancelled ? 'ended' : outcome.kind;
  }

  /** Runs one pass and releases its token; an event when the generation can't simply go on. */
  private async nextToken(): Promise<AttemptEvent | undefined> {
    const {state} = this;
    const pass = this.nextPass();
    const epoch = state.epoch;
    const result = await this.stepper.run(
      this.stages.sessions,
      state.attempt,
      pass,
    );
    const [first] = this.stages.sessions;
    state.steppedTo = Math.max(state.steppedTo, first.coveredTo);
    if (!result.ok) {
      const {session, error} = result.error;
      recordFailure(session.record, error, epoch);
      this.failed = result.error;
      return state.token.isCancelled ? 'ended' : 'stageFailed';
    }
    return state.token.isCancelled ? 'ended' : this.release(result.value);
  }

  private nextPass(): TokenPass {
    const {state, request} = this;
    const to = state.tokens.length;
    const from = Math.min(this.stages.coveredTo, to - 1);
    const isDecode = state.released > 0 && to - from === 1;
    return {
      epoch: state.epoch,
      from,
      to,
      tokens: state.tokens.slice(from, to),
      rebuild: from < state.steppedTo,
      priority: isDecode
        ? request.classOfWork.betweenTokensMilliseconds
        : this.prefillPriority(),
      limitMilliseconds: isDecode ? undefined : this.prefillLimit(to - from),
    };
  }

  private prefillPriority(): number {
    const {firstTokenMilliseconds} = this.request.classOfWork;
    const dueAt = this.request.arrivedAt + firstTokenMilliseconds;
    const now = this.dependencies.clock.monotonicMilliseconds();
    return Math.max(0, Math.round(dueAt - now));
  }

  private prefillLimit(positions: number): number {
    const {firstTokenMilliseconds} = this.request.classOfWork;
    const predicted =
      this.state.reservation?.prediction.firstTokenMilliseconds ?? 0;
    return this.shared.watch.prefillLimit(
      positions,
      this.state.promptLength,
      Math.max(firstTokenMilliseconds, predicted),
    );
  }

  private async release(
    output: TokenOutput,
  ): Promise<AttemptEvent | undefined> {
    const {state, request} = this;
    const isBareEnd = output.endOfText && output.token === '';
    if (!isBareEnd && !(await this.deliver(output.token))) {
      return 'ended';
    }
    if (output.endOfText) {
      this.finishReason = 'stop';
      return 'finished';
    }
    if (state.released >= request.maximumOutputTokens) {
      return 'finished';
    }
    this.caches.exportWhenDue({
      contextTokens: state.tokens.length,
      releasedTokens: state.released,
      expectedTokens: this.capacity.expectedTokens(),
      maximumTokens: request.maximumOutputTokens,
    });
    return undefined;
  }

  /** Hands a token to the caller; false when the run ended meanwhile. */
  private async deliver(text: string): Promise<boolean> {
    const {state} = this;
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
    state: AttemptState,
  ): Promise<Result<ModelReply, RequestFailure>> {
    if (state === 'completed') {
      this.shared.estimator.observe(
        this.request.classOfWork.name,
        this.request.clientAccount,
        this.state.released,
      );
      return Promise.resolve(this.conclusion.complete(this.finishReason));
    }
    if (state === 'cancelled') {
      return this.conclusion.end();
    }
    return this.refusal
      ? this.conclusion.refuse(this.refusal)
      : this.conclusion.fail(this.failed, this.recovery.retryAfterMilliseconds);
  }
}
