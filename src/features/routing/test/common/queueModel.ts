import {SeededRandomSource} from '../../../../base/common/randomSource.js';
import {fairLevel} from '../../common/maxMinShare.js';
import {CellView, RoutingPolicy, WorkEstimate} from '../../common/routing.js';
import {ShareAccounts} from '../../common/shareAccounts.js';

/** One case of the queue model; times in milliseconds. */
export interface QueueCase {
  readonly replicas: number;
  readonly stages: number;
  readonly slots: number;
  /** Offered work over capacity. */
  readonly load: number;
  readonly smallAccounts: number;
  /** Share of the load that one account sends. */
  readonly largeShare: number;
  /** Largest relative error of predicted output length and step time. */
  readonly error: number;
  readonly milliseconds: number;
  readonly seed: number;
}

/** What a policy brought in one case; work is in milliseconds of a slot of speed 1. */
export interface QueueResult {
  readonly onTimeRequests: number;
  /** On-time work over the bound (the lesser of offered work and capacity). */
  readonly ratio: number;
  /** The worst small account's on-time work over its max-min share. */
  readonly worstSmall: number;
  /** The large account's on-time work over its max-min share. */
  readonly large: number;
  /** Taken requests that ended late, over those taken. */
  readonly lateShare: number;
}

/** Speeds of four kinds of accelerators. */
const SPEEDS = [1, 0.75, 0.5, 0.36];
const CLASSES = [
  {
    name: 'interactive',
    part: 0.7,
    first: 570,
    between: 61,
    own: 1.5,
    fixed: 1000,
  },
  {name: 'batch', part: 0.3, first: 6000, between: 500, own: 2.5, fixed: 6000},
];
const STEP = 20;
const PREFILL = 0.8;

interface Arrival extends WorkEstimate {
  readonly at: number;
  readonly actualOutput: number;
}

const speedOf = (replica: number): number => SPEEDS[replica % SPEEDS.length]!;
const workOf = (prompt: number, output: number): number =>
  prompt * PREFILL + (output - 1) * STEP;

/** Poisson arrivals of two classes; the first account is the large one. */
function makeArrivals(one: QueueCase, capacity: number): Arrival[] {
  const random = new SeededRandomSource(one.seed);
  const meanWork = workOf(150, 80);
  const gap = meanWork / (one.load * capacity);
  const arrivals: Arrival[] = [];
  for (let at = 0; at < one.milliseconds;) {
    at += -Math.log(1 - random.next()) * gap;
    const large = random.next() < one.largeShare;
    const small = 1 + random.nextInteger(one.smallAccounts);
    const kind = random.next() < CLASSES[0]!.part ? CLASSES[0]! : CLASSES[1]!;
    const promptTokens = 50 + random.nextInteger(201);
    const actualOutput = 10 + random.nextInteger(141);
    const skew = 1 + one.error * (2 * random.next() - 1);
    const outputTokens = Math.max(1, Math.round(actualOutput * skew));
    arrivals.push({
      at,
      actualOutput,
      promptTokens,
      outputTokens,
      requestId: String(arrivals.length),
      classOfWork: kind.name,
      clientAccount: large ? 'large' : `small${small}`,
      adapter: undefined,
      prefixKey: undefined,
      priority: 0,
      firstTokenWithin: kind.first,
      betweenTokensTarget: kind.between,
      deadlineWithin:
        kind.fixed + (kind.own * workOf(promptTokens, actualOutput)) / 0.5,
    });
  }
  return arrivals;
}

interface Residency {
  readonly predicted: number;
  readonly actual: number;
}

/** Runs one policy over one case: slots are held in order of arrival, late work is cancelled at its deadline. */
export function runQueueModel(
  one: QueueCase,
  policy: RoutingPolicy,
): QueueResult {
  const random = new SeededRandomSource(one.seed + 1);
  const numbers = [...Array(one.replicas).keys()];
  const capacity = numbers.reduce(
    (sum, replica) => sum + one.slots * speedOf(replica),
    0,
  );
  const arrivals = makeArrivals(one, capacity);
  const resident = new Map<string, Residency[]>();
  const accounts = new ShareAccounts();
  const offered = new Map<string, number>();
  const onTime = new Map<string, number>();
  const targets = new Map(CLASSES.map(kind => [kind.name, kind.part]));
  let taken = 0;
  let onTimeRequests = 0;
  const viewAt = (now: number): CellView => ({
    cell: 'cell',
    model: 'model',
    version: '1',
    layerCount: one.stages,
    stages: numbers.flatMap(replica =>
      [...Array(one.stages).keys()].map(stage => {
        const upstream = `${replica}.${stage}`;
        const held = (resident.get(upstream) ?? []).filter(
          entry => entry.actual > now,
        );
        resident.set(upstream, held);
        const decode = STEP / one.stages / speedOf(replica);
        return {
          upstream,
          address: upstream,
          dataCentre: 'a',
          replica: String(replica),
          acceleratorKind: String(speedOf(replica)),
          layers: {from: stage, to: stage + 1},
          health: 'healthy' as const,
          leaving: false,
          sequenceLimit: one.slots,
          busyUntil: held
            .map(entry => Math.max(now, entry.predicted))
            .sort((a, b) => a - b),
          decodeMilliseconds: decode,
          linkMilliseconds: 0,
          prefillMillisecondsPerToken: PREFILL / one.stages / speedOf(replica),
          reportAgeMilliseconds: 500,
          cachedPrefixes: new Set<string>(),
        };
      }),
    ),
  });
  for (const arrival of arrivals) {
    const {at, clientAccount, classOfWork} = arrival;
    const work = workOf(arrival.promptTokens, arrival.actualOutput);
    offered.set(clientAccount, (offered.get(clientAccount) ?? 0) + work);
    const decision = policy.decide(
      viewAt(at),
      accounts.view(targets, at),
      arrival,
      at,
    );
    const estimate = workOf(arrival.promptTokens, arrival.outputTokens);
    accounts.recordWant(classOfWork, clientAccount, estimate, at);
    if (decision.kind === 'refuse') {
      continue;
    }
    taken += 1;
    accounts.recordUse(classOfWork, clientAccount, estimate, at);
    const held = decision.stages.map(stage => resident.get(stage.upstream)!);
    const start = Math.max(
      at,
      ...held.map(entries => {
        const ascending = entries
          .map(entry => entry.actual)
          .sort((a, b) => a - b);
        return ascending[ascending.length - one.slots] ?? at;
      }),
    );
    const wobble = 1 + one.error * 0.1 * (2 * random.next() - 1);
    const {prediction} = decision;
    const compute =
      prediction.firstTokenMilliseconds - prediction.startsInMilliseconds;
    const first = start + compute * wobble;
    const finish =
      first +
      (arrival.actualOutput - 1) *
        prediction.betweenTokensMilliseconds *
        wobble;
    const deadline = at + arrival.deadlineWithin;
    const predicted = at + prediction.wholeMilliseconds;
    held.forEach(entries =>
      entries.push({
        predicted,
        actual: Math.min(finish, Math.max(deadline, start)),
      }),
    );
    const good =
      first <= at + arrival.firstTokenWithin &&
      finish <= deadline &&
      prediction.betweenTokensMilliseconds * wobble <=
        arrival.betweenTokensTarget;
    if (good) {
      onTimeRequests += 1;
      onTime.set(clientAccount, (onTime.get(clientAccount) ?? 0) + work);
    }
  }
  const sum = (map: Map<string, number>): number =>
    [...map.values()].reduce((a, b) => a + b, 0);
  const bound = Math.min(sum(offered), capacity * one.milliseconds);
  const level = fairLevel(
    [...offered.values()].map(wanted => ({wanted, weight: 1})),
    bound,
  );
  const shareOf = (account: string): number =>
    (onTime.get(account) ?? 0) / Math.min(offered.get(account) ?? 0, level);
  const small = [...offered.keys()].filter(account => account !== 'large');
  return {
    onTimeRequests,
    ratio: sum(onTime) / bound,
    worstSmall: Math.min(...small.map(shareOf)),
    large: shareOf('large'),
    lateShare: taken === 0 ? 0 : 1 - onTimeRequests / taken,
  };
}
