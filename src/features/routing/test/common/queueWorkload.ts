import {SeededRandomSource} from '../../../../base/common/randomSource.js';
import {WorkEstimate} from '../../common/routing.js';

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
  /** Between-token target of the interactive class; an idle replica of speed 1 needs 20. */
  readonly betweenTarget: number;
  readonly milliseconds: number;
  readonly seed: number;
}

/** Speeds of four kinds of accelerators. */
const SPEEDS = [1, 0.75, 0.5, 0.36];
/** Two classes: a share of the requests, a first-token target, and a deadline of `fixed + own * work`. */
export const CLASSES = [
  {
    name: 'interactive',
    part: 0.7,
    first: 570,
    own: 3,
    fixed: 1000,
  },
  {name: 'batch', part: 0.3, first: 6000, own: 5, fixed: 6000},
];
/** Milliseconds of a decode step, and of prefill per token, through all stages at speed 1. */
export const STEP = 20;
export const PREFILL = 0.8;

/** A request with its true length. */
export interface Arrival extends WorkEstimate {
  readonly at: number;
  readonly actualOutput: number;
}

/** The speed of a replica; kinds take turns. */
export const speedOf = (replica: number): number =>
  SPEEDS[replica % SPEEDS.length]!;
/** Milliseconds of a slot of speed 1. */
export const workOf = (prompt: number, output: number): number =>
  prompt * PREFILL + (output - 1) * STEP;

/** The between-token target of a class. */
export const betweenTargetOf = (name: string, one: QueueCase): number =>
  name === 'batch' ? 500 : one.betweenTarget;

/** Poisson arrivals of two classes; the first account is the large one. */
export function makeArrivals(one: QueueCase, capacity: number): Arrival[] {
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
      betweenTokensTarget: betweenTargetOf(kind.name, one),
      deadlineWithin:
        kind.fixed + kind.own * workOf(promptTokens, actualOutput),
    });
  }
  return arrivals;
}
