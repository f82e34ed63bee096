import {CancellationToken} from '../../../base/common/cancellation.js';
import {StateChart} from '../../../infrastructure/stateChart/common/stateChart.js';
import {ModelRequest} from '../../requests/common/request.js';
import {OutputEstimator} from '../common/outputEstimator.js';
import {
  AttemptAction,
  AttemptEvent,
  AttemptState,
} from '../common/pipelineAttempt.js';
import {prefixKeyOf} from '../common/prefixKey.js';
import {ProgressWatch} from '../common/progressWatch.js';
import {CacheKeeper} from './cacheKeeper.js';
import {CapacityClient} from './capacityClient.js';
import {DroppedAnswers} from './droppedAnswers.js';
import {EngineCanceller} from './engineCanceller.js';
import {PassPlanner} from './passPlanner.js';
import {PipelineDependencies} from './pipelineDependencies.js';
import {PipelineRecovery} from './pipelineRecovery.js';
import {RunConclusion} from './runConclusion.js';
import {RunState} from './runState.js';
import {StageSet} from './stageSet.js';
import {TokenStepper} from './tokenStepper.js';

/** What all runs of a driver share. */
export interface SharedKnowledge {
  readonly watch: ProgressWatch;
  readonly estimator: OutputEstimator;
  readonly chart: StateChart<AttemptState, AttemptEvent, AttemptAction>;
}

/** The parts that one request's run consists of. */
export interface RunParts {
  readonly state: RunState;
  readonly stages: StageSet;
  readonly capacity: CapacityClient;
  readonly caches: CacheKeeper;
  readonly recovery: PipelineRecovery;
  readonly stepper: TokenStepper;
  readonly planner: PassPlanner;
  readonly conclusion: RunConclusion;
}

/** Wires the parts of one run; `token` ends it. */
export function createRunParts(
  dependencies: PipelineDependencies,
  shared: SharedKnowledge,
  request: ModelRequest,
  token: CancellationToken,
): RunParts {
  const {clock} = dependencies;
  const {requestId} = request;
  const {watch, estimator} = shared;
  const dropped = new DroppedAnswers(dependencies, requestId);
  const state = new RunState(request, clock, token, (step, result) =>
    dropped.late(step, result),
  );
  const stages = new StageSet(dependencies, watch);
  const capacity = new CapacityClient(dependencies, request, state, estimator);
  const canceller = new EngineCanceller(dependencies, requestId, stages);
  const caches = new CacheKeeper(dependencies, requestId, state, stages);
  return {
    state,
    stages,
    capacity,
    caches,
    recovery: new PipelineRecovery(
      dependencies,
      request,
      state,
      stages,
      capacity,
      canceller,
      caches,
    ),
    stepper: createStepper(dependencies, watch, request, dropped),
    planner: new PassPlanner(request, state, stages, watch, clock),
    conclusion: new RunConclusion(
      dependencies,
      request,
      state,
      stages,
      canceller,
    ),
  };
}

function createStepper(
  {clock, safeguards}: PipelineDependencies,
  watch: ProgressWatch,
  request: ModelRequest,
  dropped: DroppedAnswers,
): TokenStepper {
  return new TokenStepper(
    request,
    prefixKeyOf(request.model.name, request.adapter, request.promptTokens),
    clock,
    watch,
    safeguards,
    (step, fault) => dropped.faulty(step, fault),
  );
}
