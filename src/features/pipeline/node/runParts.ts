import {CancellationToken} from '../../../base/common/cancellation.js';
import {StateChart} from '../../../infrastructure/stateChart/common/stateChart.js';
import {ModelRequest} from '../../requests/common/request.js';
import {ReplyLengthEstimator} from '../common/replyLengthEstimator.js';
import {
  AttemptAction,
  AttemptEvent,
  AttemptState,
} from '../common/pipelineAttempt.js';
import {prefixKeyOf} from '../common/prefixKey.js';
import {StepTimeouts} from '../common/stepTimeouts.js';
import {CacheTransfer} from './cacheTransfer.js';
import {CapacityClient} from './capacityClient.js';
import {DroppedResponses} from './droppedResponses.js';
import {EngineCanceller} from './engineCanceller.js';
import {PassPlanner} from './passPlanner.js';
import {PipelineDependencies} from './pipelineDependencies.js';
import {PipelineRecovery} from './pipelineRecovery.js';
import {RunConclusion} from './runConclusion.js';
import {RunState} from './runState.js';
import {StageSet} from './stageSet.js';
import {PassRunner} from './passRunner.js';

/** State shared by all runs of a driver. */
export interface DriverSharedState {
  readonly watch: StepTimeouts;
  readonly estimator: ReplyLengthEstimator;
  readonly chart: StateChart<AttemptState, AttemptEvent, AttemptAction>;
}

/** Components of one run. */
export interface RunParts {
  readonly state: RunState;
  readonly stages: StageSet;
  readonly capacity: CapacityClient;
  readonly cacheTransfer: CacheTransfer;
  readonly recovery: PipelineRecovery;
  readonly passRunner: PassRunner;
  readonly planner: PassPlanner;
  readonly conclusion: RunConclusion;
}

/** Creates the components of one run, which ends when `token` is cancelled. */
export function createRunParts(
  dependencies: PipelineDependencies,
  shared: DriverSharedState,
  request: ModelRequest,
  token: CancellationToken,
): RunParts {
  const {clock} = dependencies;
  const {requestId} = request;
  const {watch, estimator} = shared;
  const droppedResponses = new DroppedResponses(dependencies, requestId);
  const state = new RunState(request, clock, token, (step, result) =>
    droppedResponses.late(step, result),
  );
  const stages = new StageSet(dependencies, watch);
  const capacity = new CapacityClient(dependencies, request, state, estimator);
  const canceller = new EngineCanceller(dependencies, requestId, stages);
  const cacheTransfer = new CacheTransfer(
    dependencies,
    requestId,
    state,
    stages,
  );
  return {
    state,
    stages,
    capacity,
    cacheTransfer,
    recovery: new PipelineRecovery(
      dependencies,
      request,
      state,
      stages,
      capacity,
      canceller,
      cacheTransfer,
    ),
    passRunner: createPassRunner(
      dependencies,
      watch,
      request,
      droppedResponses,
    ),
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

function createPassRunner(
  {clock, safeguards}: PipelineDependencies,
  watch: StepTimeouts,
  request: ModelRequest,
  droppedResponses: DroppedResponses,
): PassRunner {
  return new PassRunner(
    request,
    prefixKeyOf(request.model.name, request.adapter, request.promptTokens),
    clock,
    watch,
    safeguards,
    (step, fault) => droppedResponses.faulty(step, fault),
  );
}
