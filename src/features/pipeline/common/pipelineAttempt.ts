import {StateChart} from '../../../infrastructure/stateChart/common/stateChart.js';
import definition from './pipelineAttempt.chart.json' with {type: 'json'};

/** States of a request while it runs on a pipeline. */
export type AttemptState =
  | 'reserving'
  | 'prefilling'
  | 'decoding'
  | 'recovering'
  | 'completed'
  | 'failed'
  | 'cancelled';

/** Events that change the state. */
export type AttemptEvent =
  | 'reserved'
  | 'refused'
  | 'firstToken'
  | 'finished'
  | 'stageFailed'
  | 'restarted'
  | 'resumed'
  | 'exhausted'
  /** The caller disconnected or the deadline passed. */
  | 'ended';

/** Actions that the driver performs after a transition. */
export type AttemptAction = 'prefill' | 'decode' | 'recover';

/** Creates the chart; all requests share one. */
export function createAttemptChart(): StateChart<
  AttemptState,
  AttemptEvent,
  AttemptAction
> {
  return new StateChart(definition);
}
