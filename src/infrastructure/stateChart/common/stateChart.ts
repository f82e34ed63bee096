import {createMachine, initialTransition, transition} from 'xstate';

/** Interprets state charts that live in JSON files; pure: a transition returns the next state and its actions. */

/** A chart as its JSON file holds it: the xstate format, flat states, named actions and guards left out. */
export interface ChartDefinition {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, ChartState>>;
}

/** One state: events to transitions; `final` ends the chart. */
export interface ChartState {
  readonly type?: string;
  readonly on?: Readonly<Record<string, ChartTransition>>;
}

/** Where an event leads and the actions to carry out. An event that changes nothing is listed with no target. */
export interface ChartTransition {
  readonly target?: string;
  readonly actions?: readonly string[];
}

/** The outcome of an event. */
export interface ChartStep<State extends string, Action extends string> {
  readonly state: State;
  readonly actions: readonly Action[];
  /** Whether the chart lists the event in the state it was in. */
  readonly handled: boolean;
}

/**
 * A chart made ready; holds no current state of its own. A transition depends on the state and the event
 * alone, so each is interpreted once and kept; there are no more than the chart's states times its events.
 */
export class StateChart<
  State extends string,
  EventName extends string,
  Action extends string,
> {
  /** The state to start in. */
  readonly initial: State;
  private readonly machine;
  private readonly steps = new Map<
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
    const known = this.steps.get(state)?.get(event);
    if (known !== undefined) {
      return known;
    }
    const step = this.interpret(state, event);
    const ofState = this.steps.get(state) ?? new Map();
    this.steps.set(state, ofState.set(event, step));
    return step;
  }

  private interpret(state: State, event: EventName): ChartStep<State, Action> {
    const handled = this.definition.states[state]?.on?.[event] !== undefined;
    const snapshot = this.machine.resolveState({
      value: state,
      context: {},
    } as never);
    const [following, actions] = transition(this.machine, snapshot, {
      type: event,
    } as never);
    const names = actions.map(action => action.type as Action);
    return {state: String(following.value) as State, actions: names, handled};
  }
}

/** Holds the current state of one thing that follows a chart. */
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

  /** Applies an event, keeps the new state and returns the step. */
  send(event: EventName): ChartStep<State, Action> {
    const step = this.chart.next(this.current, event);
    this.current = step.state;
    return step;
  }
}
