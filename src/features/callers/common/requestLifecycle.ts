import {
  ChartInstance,
  StateChart,
} from '../../../infrastructure/stateChart/common/stateChart.js';
import chartDefinition from './requestLifecycle.chart.json' with {type: 'json'};

/** Life cycle of a request; requestLifecycle.chart.json defines its state machine. */

export type RequestState =
  | 'received'
  | 'authenticated'
  | 'claiming'
  | 'admitted'
  | 'streaming'
  | 'completed'
  | 'failed'
  | 'cancelled';

/** Events that trigger transitions. */
export type RequestEvent =
  | 'authenticated'
  | 'claimNeeded'
  | 'claimNotNeeded'
  | 'granted'
  | 'replayed'
  | 'refused'
  | 'token'
  | 'replied'
  | 'workFailed'
  | 'givenUp'
  | 'callerGone';

/** Actions that transitions run. */
export type RequestAction =
  | 'startClaim'
  | 'startWork'
  | 'cancelWork'
  | 'openStream'
  | 'sendReply'
  | 'sendRecorded'
  | 'sendFailure'
  | 'sendErrorEvent'
  | 'recordOutcome'
  | 'recordNotRun';

/** Implementations of the actions. */
export type RequestActions = Readonly<Record<RequestAction, () => void>>;

/** The state machine of a request. */
export const requestChart = new StateChart<
  RequestState,
  RequestEvent,
  RequestAction
>(chartDefinition);

/** Tracks the state of one request and runs the actions of its transitions. */
export class RequestLifecycle {
  private readonly instance = new ChartInstance(requestChart);

  constructor(private readonly actions: RequestActions) {}

  get state(): RequestState {
    return this.instance.state;
  }

  /** Applies an event; returns false when the current state doesn't handle it. */
  send(event: RequestEvent): boolean {
    const step = this.instance.send(event);
    for (const action of step.actions) {
      this.actions[action]();
    }
    return step.handled;
  }
}
