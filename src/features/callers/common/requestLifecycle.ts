import {
  ChartInstance,
  StateChart,
} from '../../../infrastructure/stateChart/common/stateChart.js';
import chartDefinition from './requestLifecycle.chart.json' with {type: 'json'};

/** The life of one request, as the chart in requestLifecycle.chart.json states it. */

/** States of a request. */
export type RequestState =
  | 'received'
  | 'authenticated'
  | 'claiming'
  | 'admitted'
  | 'streaming'
  | 'completed'
  | 'failed'
  | 'cancelled';

/** What happens to a request. */
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

/** What the chart has the handler do. */
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

/** Carries out the chart's actions, one function each. */
export type RequestActions = Readonly<Record<RequestAction, () => void>>;

/** The chart of a request, ready to be interpreted. */
export const requestChart = new StateChart<
  RequestState,
  RequestEvent,
  RequestAction
>(chartDefinition);

/** Holds the state of one request and runs the actions that events lead to. */
export class RequestLifecycle {
  private readonly instance = new ChartInstance(requestChart);

  constructor(private readonly actions: RequestActions) {}

  get state(): RequestState {
    return this.instance.state;
  }

  /** Applies an event; false when it has no meaning in the present state. */
  send(event: RequestEvent): boolean {
    const step = this.instance.send(event);
    for (const action of step.actions) {
      this.actions[action]();
    }
    return step.handled;
  }
}
