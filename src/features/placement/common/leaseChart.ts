import {
  ChartDefinition,
  StateChart,
} from '../../../infrastructure/stateChart/common/stateChart.js';
import chartDefinition from './lease.chart.json' with {type: 'json'};

/** The life cycle of a lease, from its file. */

/** States of a lease as one process sees it. */
export type LeaseState = 'idle' | 'acquiring' | 'held' | 'uncertain' | 'lost';

/** What happens to a lease. */
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

/** What the life cycle asks to be done. */
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

/** The chart that `TableLease` follows. */
export const leaseChart = new StateChart<LeaseState, LeaseEvent, LeaseAction>(
  chartDefinition as ChartDefinition,
);
