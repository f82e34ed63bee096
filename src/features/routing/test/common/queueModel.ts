import {SeededRandomSource} from '../../../../base/common/randomSource.js';
import {fairLevel} from '../../common/maxMinShare.js';
import {
  CellView,
  ChosenStage,
  RoutingPolicy,
  StageView,
} from '../../common/routing.js';
import {ShareAccounts} from '../../common/shareAccounts.js';
import {
  Arrival,
  betweenTargetOf,
  CLASSES,
  makeArrivals,
  PREFILL,
  QueueCase,
  speedOf,
  STEP,
  workOf,
} from './queueWorkload.js';

/** What a policy brought in one case; work is in milliseconds of a slot of speed 1. */
export interface QueueResult {
  readonly onTimeRequests: number;
  /** On-time work over the bound (the lesser of offered work and capacity). */
  readonly ratio: number;
  /** The worst small account's on-time work over its max-min share. */
  readonly worstSmall: number;
  /** The mean of the same over the small accounts. */
  readonly meanSmall: number;
  /** The large account's on-time work over its max-min share. */
  readonly large: number;
  /** Taken requests that ended late, over those taken. */
  readonly lateShare: number;
}

/** The first part of a run fills the cell; its work is not counted in shares and ratio. */
const WARM_SHARE = 0.2;

interface Residency {
  readonly predicted: number;
  readonly actual: number;
}

function sum(values: Iterable<number>): number {
  return [...values].reduce((a, b) => a + b, 0);
}

/** One cell whose slots are held in order of arrival; late work is cancelled at its deadline. */
class QueueModel {
  private readonly random: SeededRandomSource;
  private readonly resident = new Map<string, readonly Residency[]>();

  constructor(private readonly one: QueueCase) {
    this.random = new SeededRandomSource(one.seed + 1);
  }

  view(now: number): CellView {
    const {replicas, stages} = this.one;
    const chains = [...Array(replicas).keys()].map(replica =>
      [...Array(stages).keys()].map(stage => this.stage(replica, stage, now)),
    );
    const names = {cell: 'cell', model: 'model', version: '1'};
    return {...names, layerCount: stages, stages: chains.flat()};
  }

  /** Holds slots for an arrival; whether it ended on time. */
  place(
    arrival: Arrival,
    chosen: readonly ChosenStage[],
    whole: number,
  ): boolean {
    const {at} = arrival;
    const held = chosen.map(stage => this.resident.get(stage.upstream)!);
    const start = Math.max(at, ...held.map(one => this.freeAt(one, at)));
    const slow = sum(chosen.map(one => 1 / speedOf(parseInt(one.upstream))));
    const wobble = 1 + this.one.error * 0.1 * (2 * this.random.next() - 1);
    const factor = (slow / chosen.length) * wobble;
    const first = start + arrival.promptTokens * PREFILL * factor;
    const finish = first + (arrival.actualOutput - 1) * STEP * factor;
    const deadline = at + arrival.deadlineWithin;
    const actual = Math.min(finish, Math.max(deadline, start));
    chosen.forEach(({upstream}, index) => {
      const entry = {predicted: at + whole, actual};
      this.resident.set(upstream, [...held[index]!, entry]);
    });
    const firstInTime = first <= at + arrival.firstTokenWithin;
    const tokensInTime = STEP * factor <= arrival.betweenTokensTarget;
    return firstInTime && tokensInTime && finish <= deadline;
  }

  private freeAt(held: readonly Residency[], now: number): number {
    const ascending = held.map(one => one.actual).sort((a, b) => a - b);
    return ascending[ascending.length - this.one.slots] ?? now;
  }

  private stage(replica: number, stage: number, now: number): StageView {
    const upstream = `${replica}.${stage}`;
    const share = this.one.stages * speedOf(replica);
    const known = this.resident.get(upstream) ?? [];
    const held = known.filter(entry => entry.actual > now);
    this.resident.set(upstream, held);
    const finishes = held.map(entry => Math.max(now, entry.predicted));
    return {
      upstream,
      address: upstream,
      dataCentre: 'a',
      replica: String(replica),
      acceleratorKind: String(speedOf(replica)),
      layers: {from: stage, to: stage + 1},
      health: 'healthy',
      leaving: false,
      sequenceLimit: this.one.slots,
      busyUntil: finishes.sort((a, b) => a - b),
      decodeMilliseconds: STEP / share,
      linkMilliseconds: 0,
      prefillMillisecondsPerToken: PREFILL / share,
      reportAgeMilliseconds: 500,
      cachedPrefixes: new Set<string>(),
    };
  }
}

/** Runs one policy over one case. */
export function runQueueModel(
  one: QueueCase,
  policy: RoutingPolicy,
): QueueResult {
  const speeds = [...Array(one.replicas).keys()].map(speedOf);
  const capacity = one.slots * sum(speeds);
  const warm = WARM_SHARE * one.milliseconds;
  const model = new QueueModel(one);
  const accounts = new ShareAccounts();
  const targets = new Map(CLASSES.map(kind => [kind.name, kind.part]));
  const timesByClass = new Map(
    CLASSES.map(({name, first}) => [
      name,
      {
        firstToken: first,
        betweenTokens: betweenTargetOf(name, one),
      },
    ]),
  );
  const offered = new Map<string, number>();
  const onTime = new Map<string, number>();
  let taken = 0;
  let onTimeRequests = 0;
  for (const arrival of makeArrivals(one, capacity)) {
    const {at, clientAccount: account, classOfWork, promptTokens} = arrival;
    const work = workOf(promptTokens, arrival.actualOutput);
    const estimate = workOf(promptTokens, arrival.outputTokens);
    const counted = at >= warm ? work : 0;
    offered.set(account, (offered.get(account) ?? 0) + counted);
    const shares = {...accounts.view(targets, at), timesByClass};
    const decision = policy.decide(model.view(at), shares, arrival, at);
    accounts.recordWant(classOfWork, account, estimate, at);
    if (decision.kind === 'refuse') {
      continue;
    }
    taken += 1;
    accounts.recordUse(classOfWork, account, estimate, at);
    const whole = decision.prediction.wholeMilliseconds;
    if (model.place(arrival, decision.stages, whole)) {
      onTimeRequests += 1;
      onTime.set(account, (onTime.get(account) ?? 0) + counted);
    }
  }
  const wants = [...offered.values()].map(wanted => ({wanted, weight: 1}));
  const bound = Math.min(
    sum(offered.values()),
    capacity * (one.milliseconds - warm),
  );
  const level = fairLevel(wants, bound);
  const shareOf = (account: string): number =>
    (onTime.get(account) ?? 0) / Math.min(offered.get(account) ?? 0, level);
  const small = [...offered.keys()].filter(account => account !== 'large');
  return {
    onTimeRequests,
    ratio: sum(onTime.values()) / bound,
    worstSmall: Math.min(...small.map(shareOf)),
    meanSmall: sum(small.map(shareOf)) / small.length,
    large: shareOf('large'),
    lateShare: taken === 0 ? 0 : 1 - onTimeRequests / taken,
  };
}
