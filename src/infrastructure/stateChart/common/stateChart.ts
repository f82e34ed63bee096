import {createMachine, initialTransition, transition} from 'xstate';

/** Interprets state charts from JSON files. Transitions are pure: they return the next state and the actions to run. */

/** A chart in its JSON format: a subset of the xstate format with flat states and named actions, without guards. */
export interface ChartDefinition {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, ChartState>>;
}

/** A state with its transitions by event; a state of type `final` ends the chart. */
export interface ChartState {
  readonly type?: string;
  readonly on?: Readonly<Record<string, ChartTransition>>;
}

/** The target state and the actions of an event. An event that does not change the state has no target. */
export interface ChartTransition {
  readonly target?: string;
  readonly actions?: readonly string[];
}

/** The result of an event. */
export interface ChartStep<State extends string, Action extends string> {
  readonly state: State;
  readonly actions: readonly Action[];
  /** Whether the chart defines the event for the previous state. */
  readonly handled: boolean;
}

/**
 * A compiled chart; it has no current state. A transition depends on the state and the event only, so each is
 * interpreted once and cached. The size of the cache is limited by the number of states times the number of events.
 */
export class StateChart<
  State extends string,
  EventName extends string,
  Action extends string,
> {
  readonly initial: State;
  private readonly machine;
  private readonly cachedSteps = new Map<
    State,
    Map<EventName, ChartStep<State, Action>>
  >();

  constructor(readonly definition: ChartDefinition) {
    this.machine = createMachine(definition as never);
    const [snapshot] = initialTransition(this.machine);
    this.initial = String(snapshot.value) as State;
  }

  /** Applies an event to a state. */
  next(state: State, event: EventName): ChartStep<State, Action> {
    const cached = this.cachedSteps.get(state)?.get(event);
    if (cached !== undefined) {
      return cached;
    }
    const step = this.interpret(state, event);
    const stepsOfState = this.cachedSteps.get(state) ?? new Map();
    this.cachedSteps.set(state, stepsOfState.set(event, step));
    return step;
  }

  private interpret(state: State, event: EventName): ChartStep<State, Action> {
    const handled = this.definition.states[state]?.on?.[event] !== undefined;
    const snapshot = this.machine.resolveState({
      value: state,
      context: {},
    } as never);
    const [nextSnapshot, actions] = transition(this.machine, snapshot, {
      type: event,
    } as never);
    const names = actions.map(action => action.type as Action);
    return {
      state: String(nextSnapshot.value) as State,
      actions: names,
      handled,
    };
  }
}

/** Holds the current state of one object whose life cycle is defined by a chart. */
export class ChartInstance<
  State extends string,
  EventName extends string,
  Action extends string,
> {
  private current: State;

  constructor(private readonly chart: StateChart<State, EventName, Action>) {
    this.current = chart.initial;
  }

  get state(): State {
    return this.current;
  }

  /** Applies an event and updates the state. */
  send(event: EventName): ChartStep<State, Action> {
    const step = this.chart.next(this.current, event);
    this.current = step.state;
    return step;
  }
}
