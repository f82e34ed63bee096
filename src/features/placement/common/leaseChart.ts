import {
  ChartDefinition,
  StateChart,
} from '../../../infrastructure/stateChart/common/stateChart.js';
import chartDefinition from './lease.chart.json' with {type: 'json'};

/** The state chart of a lease, as its JSON file defines it. */

/** States of a lease as one process sees it. */
export type LeaseState = 'idle' | 'acquiring' | 'held' | 'uncertain' | 'lost';

/** Events that change a lease's state. */
export type LeaseEvent =
  | 'observed'
  | 'takeable'
  | 'due'
  | 'unchanged'
  | 'confirmed'
  | 'superseded'
  | 'failed'
  | 'answerLost'
  | 'expired'
  | 'released';

/** Actions that the chart requests on a transition. */
export type LeaseAction =
  | 'readRow'
  | 'writeTaking'
  | 'writeRenewal'
  | 'writeRelease'
  | 'writeAgain'
  | 'readBack'
  | 'announceHeld'
  | 'announceLost'
  | 'forget';

/** The chart that `TableLease` interprets. */
export const leaseChart = new StateChart<LeaseState, LeaseEvent, LeaseAction>(
  chartDefinition as ChartDefinition,
);
