import {StateChart} from '../../../infrastructure/stateChart/common/stateChart.js';
import definition from './pipelineAttempt.chart.json' with {type: 'json'};

/** The states of one request's way through its pipeline. */
export type AttemptState =
  | 'reserving'
  | 'prefilling'
  | 'decoding'
  | 'recovering'
  | 'completed'
  | 'failed'
  | 'cancelled';

/** What moves it on. */
export type AttemptEvent =
  | 'reserved'
  | 'refused'
  | 'firstToken'
  | 'finished'
  | 'stageFailed'
  | 'restarted'
  | 'resumed'
  | 'exhausted'
  /** The caller left or the deadline passed. */
  | 'ended';

/** What a transition asks the driver to do. */
export type AttemptAction = 'prefill' | 'decode' | 'recover';

/** Makes the chart ready; one serves all requests. */
export function createAttemptChart(): StateChart<
  AttemptState,
  AttemptEvent,
  AttemptAction
> {
  return new StateChart(definition);
}
