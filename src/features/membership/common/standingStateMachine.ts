import {Emitter} from '../../../base/common/event.js';
import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {
  ChartDefinition,
  ChartInstance,
  StateChart,
} from '../../../infrastructure/stateChart/common/stateChart.js';
import {
  Confirmation,
  ConfirmationInput,
  LifecycleState,
  decideConfirmation,
  toStanding,
} from './confirmation.js';
import chartDefinition from './instanceLifecycle.chart.json' with {type: 'json'};
import {Standing} from './systemView.js';

/** Events of the instance's life cycle chart. */
export type LifecycleEvent = Confirmation | 'leave' | 'stop';

/** Actions of the instance's life cycle chart. */
export type LifecycleAction = 'publishStanding';

export const instanceLifecycle = new StateChart<
  LifecycleState,
  LifecycleEvent,
  LifecycleAction
>(chartDefinition as ChartDefinition);

/** Derives this instance's standing from the state of its life cycle. */
export class StandingStateMachine extends DisposableOwner {
  private readonly chart = new ChartInstance(instanceLifecycle);
  private readonly changed = this.register(new Emitter<Standing>());
  private since: number;

  /** Fires after each change of the standing. */
  readonly onDidChange = this.changed.event;

  constructor(private readonly clock: Clock) {
    super();
    this.since = clock.monotonicMilliseconds();
  }

  get standing(): Standing {
    const elapsed = this.clock.monotonicMilliseconds() - this.since;
    return toStanding(this.chart.state, Math.round(elapsed));
  }

  /** Decides confirmation from the current inputs and applies it. */
  updateConfirmation(input: ConfirmationInput): void {
    this.send(decideConfirmation(input));
  }

  /** Stops accepting new work; final. */
  leave(): void {
    this.send('leave');
  }

  stop(): void {
    this.send('stop');
  }

  private send(event: LifecycleEvent): void {
    const step = this.chart.send(event);
    if (step.actions.includes('publishStanding')) {
      this.since = this.clock.monotonicMilliseconds();
      this.changed.fire(this.standing);
    }
  }
}
