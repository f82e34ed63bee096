import {
  Candidate,
  candidateFor,
  CandidateInput,
  isCandidate,
  netGainOf,
  servingTargets,
} from './placementCandidates.js';
import {countsForModel, ModelNeed, computeNeeds} from './modelNeeds.js';
import {drainTarget, toChange} from './placementChanges.js';
import {
  ChangeReason,
  HeldBack,
  PlacementChange,
  PlacementPlan,
} from './placementPlan.js';
import {Demand, Manifests, PlacementView} from './placementView.js';
import {longestRequestMilliseconds} from './changeValue.js';
import {ReplicaState, stateOf} from './replicaState.js';

/** Decides which replicas of one data centre change next. Has no side effects. */

/** Largest share of a model's replicas that may change at once; one always may. */
const MAX_CHANGING_SHARE = 0.25;
/** Load must have been observed for this long before replicas are moved because of it. */
const MIN_OBSERVATION_MILLISECONDS = 60_000;
/** Time within which all routers notice that a replica takes no new work. */
const DRAIN_PROPAGATION_MILLISECONDS = 3_000;
/** Replicas drained ahead of the one that loads, so that the weight store isn't idle between two loads. */
const MAX_DRAINED_AHEAD = 1;

/** Plans the next changes. Deterministic: the same input gives the same plan. */
export function planPlacement(
  view: PlacementView,
  demand: Demand,
  manifests: Manifests,
  now: number,
): PlacementPlan {
  const states = view.replicas.map(replica => stateOf(replica, view.models));
  const needs = computeNeeds(view, states, demand);
  const isLoadKnown =
    demand.observedMilliseconds >= MIN_OBSERVATION_MILLISECONDS;
  const input = {view, needs, manifests, now, isLoadKnown};
  return new PlanBuilder(states, input).plan();
}

/** Selects changes from the candidates within the limits, those of the highest net gain first. */
class PlanBuilder {
  private readonly changes: PlacementChange[] = [];
  private readonly heldBack: HeldBack[] = [];
  /** Replicas that load, including those planned so far. */
  private loading: number;
  /** Replicas that drain, including those planned so far. */
  private draining: number;
  private readonly changingCountByModel = new Map<string, number>();
  /** Needs by model, reduced by the drains planned so far. */
  private readonly remainingNeeds = new Map<string, ModelNeed>();

  constructor(
    private readonly states: readonly ReplicaState[],
    private readonly input: CandidateInput,
  ) {
    this.loading = states.filter(({kind}) => kind === 'loading').length;
    this.draining = states.filter(({kind}) => kind === 'draining').length;
    for (const [model, need] of input.needs) {
      this.remainingNeeds.set(model, need);
      const isChanging = (state: ReplicaState): boolean =>
        state.kind !== 'live' && countsForModel(state, model);
      this.changingCountByModel.set(model, states.filter(isChanging).length);
    }
  }

  plan(): PlacementPlan {
    const candidates = this.candidates();
    for (const candidate of candidates) {
      if (candidate.state.kind === 'live') {
        this.drain(candidate);
      } else {
        this.load(candidate);
      }
    }
    return {changes: this.changes, heldBack: this.heldBack};
  }

  private candidates(): readonly Candidate[] {
    const found: Candidate[] = [];
    for (const state of this.states) {
      if (this.isBackingOff(state)) {
        continue;
      }
      const option = candidateFor(state, this.input);
      if (isCandidate(option)) {
        found.push(option);
      } else if (state.kind === 'draining') {
        this.restore(state);
      }
      if (option !== undefined && !isCandidate(option)) {
        this.heldBack.push(option);
      }
    }
    return found.sort((left, right) => this.compare(left, right));
  }

  private isBackingOff({view}: ReplicaState): boolean {
    return (view.backoffUntil ?? -Infinity) > this.input.now;
  }

  /** Sorts by net gain; on a tie by fewest sequences in progress, then by worst fit to the tightest target. */
  private compare(left: Candidate, right: Candidate): number {
    return (
      netGainOf(right) - netGainOf(left) ||
      left.state.occupied - right.state.occupied ||
      this.unfitness(right.state) - this.unfitness(left.state) ||
      (left.state.view.group < right.state.view.group ? -1 : 1)
    );
  }

  /** How badly a replica fits the tightest target: being too slow weighs more than mixed accelerators. */
  private unfitness({tokenMilliseconds, isUniform}: ReplicaState): number {
    const targets = Object.values(this.input.view.classes).map(
      classOfWork => classOfWork.betweenTokensMilliseconds,
    );
    const isSlow = tokenMilliseconds > Math.min(...targets);
    return (isSlow ? 2 : 0) + (isUniform ? 0 : 1);
  }

  private drain(candidate: Candidate): void {
    const {state} = candidate;
    const cause = this.causeToKeepServing(candidate);
    if (cause !== undefined) {
      this.holdBack(candidate, cause);
      return;
    }
    this.draining += 1;
    this.countDrained(state);
    const targets = state.engines.map(engine => drainTarget(engine));
    this.changes.push(toChange('drain', candidate, targets));
  }

  private causeToKeepServing({
    state,
    reason,
  }: Candidate): HeldBack['cause'] | undefined {
    // The gain of a second move depends on the first one, so it waits until that one shows.
    if (
      this.changes.some(change => change.reason === reason && isMove(reason))
    ) {
      return 'othersChange';
    }
    const need = this.remainingNeeds.get(state.model ?? '');
    if (need !== undefined) {
      const remainingCapacity = need.capacity - state.sequences;
      if (need.live <= 1 || remainingCapacity < need.occupied) {
        return 'tooFewLive';
      }
      const allowed = Math.max(
        1,
        Math.floor(MAX_CHANGING_SHARE * need.replicas),
      );
      if ((this.changingCountByModel.get(need.model) ?? 0) >= allowed) {
        return 'othersChange';
      }
    }
    const limit = this.loading > 0 ? MAX_DRAINED_AHEAD : MAX_DRAINED_AHEAD + 1;
    return this.draining >= limit ? 'weightStoreBusy' : undefined;
  }

  private countDrained(state: ReplicaState): void {
    const need = this.remainingNeeds.get(state.model ?? '');
    if (need !== undefined) {
      const {model, live, capacity} = need;
      const remainingCapacity = capacity - state.sequences;
      this.remainingNeeds.set(model, {
        ...need,
        live: live - 1,
        capacity: remainingCapacity,
      });
      this.changingCountByModel.set(
        model,
        (this.changingCountByModel.get(model) ?? 0) + 1,
      );
    }
  }

  private load(candidate: Candidate): void {
    const {state} = candidate;
    if (state.kind === 'draining' && !this.isDrained(state)) {
      return;
    }
    if (this.loading > 0 && candidate.reason !== 'adapters') {
      this.holdBack(candidate, 'weightStoreBusy');
      return;
    }
    this.loading += 1;
    this.changes.push(toChange('load', candidate, candidate.targets));
  }

  /** Whether no request from before the drain is left, or any that is left has passed its deadline. */
  private isDrained({view, occupied}: ReplicaState): boolean {
    const drainedFor = this.input.now - (view.drainingSince ?? this.input.now);
    const longest = longestRequestMilliseconds(this.input.view);
    const isNoticed = drainedFor >= DRAIN_PROPAGATION_MILLISECONDS;
    return (
      (occupied === 0 && isNoticed) ||
      drainedFor >= longest + DRAIN_PROPAGATION_MILLISECONDS
    );
  }

  /** Lets a drained replica take work again because no change of it is wanted any more. */
  private restore(state: ReplicaState): void {
    const {model: name, version} = state;
    const model = name === undefined ? undefined : this.input.view.models[name];
    if (model === undefined || version === undefined) {
      return;
    }
    const heldModel = {...model, version, adapters: state.adapters};
    const targets = servingTargets(state, heldModel);
    if (targets !== undefined) {
      const gain = state.sequences;
      const candidate = {state, model: heldModel, targets, gain, cost: 0};
      const reason = 'noLongerWanted' as const;
      this.changes.push(toChange('restore', {...candidate, reason}, targets));
    }
  }

  private holdBack(candidate: Candidate, cause: HeldBack['cause']): void {
    const {name: model, version} = candidate.model;
    const {group} = candidate.state.view;
    this.heldBack.push({group, to: {model, version}, cause});
  }
}

function isMove(reason: ChangeReason): boolean {
  return reason === 'load' || reason === 'notConfigured';
}
