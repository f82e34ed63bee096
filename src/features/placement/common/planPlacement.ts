import {
  Candidate,
  candidateFor,
  CandidateInput,
  isCandidate,
  netOf,
  servingTargets,
} from './placementCandidates.js';
import {belongsTo, ModelNeed, needsOf} from './modelNeeds.js';
import {drainTarget, toChange} from './placementChanges.js';
import {
  ChangeReason,
  HeldBack,
  PlacementChange,
  PlacementPlan,
} from './placementPlan.js';
import {Demand, Manifests, PlacementView} from './placementView.js';
import {longestRequestMilliseconds} from './placementWorth.js';
import {ReplicaState, stateOf} from './replicaState.js';

/** Decides which replicas of one data centre change next; pure. */

/** Share of a model's replicas that may change at once; at least one may. */
const CHANGING_SHARE = 0.25;
/** Load must have been observed for so long before replicas are moved for it. */
const OBSERVATION_MILLISECONDS = 60_000;
/** Routers notice within so long that a replica takes no new work. */
const NOTICE_MILLISECONDS = 3_000;
/** Replicas emptied ahead of the one that loads, so that the weight store isn't idle meanwhile. */
const EMPTIED_AHEAD = 1;

/** Plans the next changes; the same input gives the same plan. */
export function planPlacement(
  view: PlacementView,
  demand: Demand,
  manifests: Manifests,
  now: number,
): PlacementPlan {
  const states = view.replicas.map(replica => stateOf(replica, view.models));
  const needs = needsOf(view, states, demand);
  const knowsLoad = demand.observedMilliseconds >= OBSERVATION_MILLISECONDS;
  const input = {view, needs, manifests, now, knowsLoad};
  return new Planner(states, input).plan();
}

/** Applies the bounds to the candidates, the most valuable first. */
class Planner {
  private readonly changes: PlacementChange[] = [];
  private readonly heldBack: HeldBack[] = [];
  private loading: number;
  private draining: number;
  private readonly changing = new Map<string, number>();
  private readonly live = new Map<string, ModelNeed>();

  constructor(
    private readonly states: readonly ReplicaState[],
    private readonly input: CandidateInput,
  ) {
    this.loading = states.filter(({kind}) => kind === 'loading').length;
    this.draining = states.filter(({kind}) => kind === 'draining').length;
    for (const [model, need] of input.needs) {
      this.live.set(model, need);
      const isChanging = (state: ReplicaState): boolean =>
        state.kind !== 'live' && belongsTo(state, model);
      this.changing.set(model, states.filter(isChanging).length);
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
      if (this.isBarred(state)) {
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

  private isBarred({view}: ReplicaState): boolean {
    return (view.barredUntil ?? -Infinity) > this.input.now;
  }

  /** The most valuable first; among equals those that lose least, then fit tight targets worst. */
  private compare(left: Candidate, right: Candidate): number {
    return (
      netOf(right) - netOf(left) ||
      left.state.occupied - right.state.occupied ||
      this.unfitness(right.state) - this.unfitness(left.state) ||
      (left.state.view.group < right.state.view.group ? -1 : 1)
    );
  }

  /** How badly a replica suits the tightest target: too slow for it, or of mixed accelerators. */
  private unfitness({tokenMilliseconds, isUniform}: ReplicaState): number {
    const targets = Object.values(this.input.view.classes).map(
      one => one.betweenTokensMilliseconds,
    );
    const isSlow = tokenMilliseconds > Math.min(...targets);
    return (isSlow ? 2 : 0) + (isUniform ? 0 : 1);
  }

  private drain(candidate: Candidate): void {
    const {state} = candidate;
    const held = this.causeAgainstDraining(candidate);
    if (held !== undefined) {
      this.holdBack(candidate, held);
      return;
    }
    this.draining += 1;
    this.noteDrained(state);
    const targets = state.engines.map(engine => drainTarget(engine));
    this.changes.push(toChange('drain', candidate, targets));
  }

  private causeAgainstDraining({
    state,
    reason,
  }: Candidate): HeldBack['cause'] | undefined {
    // A second move must be weighed with the first one counted.
    if (
      this.changes.some(change => change.reason === reason && isMove(reason))
    ) {
      return 'othersChange';
    }
    const need = this.live.get(state.model ?? '');
    if (need !== undefined) {
      const left = need.capacity - state.sequences;
      if (need.live <= 1 || left < need.occupied) {
        return 'tooFewLive';
      }
      const allowed = Math.max(1, Math.floor(CHANGING_SHARE * need.replicas));
      if ((this.changing.get(need.model) ?? 0) >= allowed) {
        return 'othersChange';
      }
    }
    const ahead = this.loading > 0 ? EMPTIED_AHEAD : EMPTIED_AHEAD + 1;
    return this.draining >= ahead ? 'weightStoreBusy' : undefined;
  }

  private noteDrained(state: ReplicaState): void {
    const need = this.live.get(state.model ?? '');
    if (need !== undefined) {
      const {model, live, capacity} = need;
      const left = capacity - state.sequences;
      this.live.set(model, {...need, live: live - 1, capacity: left});
      this.changing.set(model, (this.changing.get(model) ?? 0) + 1);
    }
  }

  private load(candidate: Candidate): void {
    const {state} = candidate;
    if (state.kind === 'draining' && !this.isEmpty(state)) {
      return;
    }
    if (this.loading > 0 && candidate.reason !== 'adapters') {
      this.holdBack(candidate, 'weightStoreBusy');
      return;
    }
    this.loading += 1;
    this.changes.push(toChange('load', candidate, candidate.targets));
  }

  /** Whether no request of before can be in progress, or it is past its deadline. */
  private isEmpty({view, occupied}: ReplicaState): boolean {
    const drainedFor = this.input.now - (view.drainingSince ?? this.input.now);
    const longest = longestRequestMilliseconds(this.input.view);
    const isNoticed = drainedFor >= NOTICE_MILLISECONDS;
    return (
      (occupied === 0 && isNoticed) ||
      drainedFor >= longest + NOTICE_MILLISECONDS
    );
  }

  /** Nothing asks for a change of a replica that takes no new work: it takes work again. */
  private restore(state: ReplicaState): void {
    const {model: name, version} = state;
    const model = name === undefined ? undefined : this.input.view.models[name];
    if (model === undefined || version === undefined) {
      return;
    }
    const held = {...model, version, adapters: state.adapters};
    const targets = servingTargets(state, held);
    if (targets !== undefined) {
      const gain = state.sequences;
      const candidate = {state, model: held, targets, gain, cost: 0};
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
