import {SeededRandomSource} from '../../../../base/common/randomSource.js';
import {WorkEstimate} from '../../common/routing.js';

/** Parameters of one run of the queue model; times in milliseconds. */
export interface QueueCase {
  readonly replicas: number;
  readonly stages: number;
  readonly slots: number;
  /** Ratio of offered work to capacity. */
  readonly load: number;
  readonly smallAccounts: number;
  /** Share of the requests that the large account sends. */
  readonly largeShare: number;
  /** Maximum relative error of the predicted output length; a tenth of it applies to execution times. */
  readonly error: number;
  /** Token target of the interactive class; an idle replica of speed 1 takes 20 per token. */
  readonly betweenTarget: number;
  readonly milliseconds: number;
  readonly seed: number;
}

/** Relative speeds of four kinds of accelerators. */
const SPEEDS = [1, 0.75, 0.5, 0.36];
/** Two classes with their share of the requests; a deadline is `deadlineOffset + deadlineFactor * work`. */
export const CLASSES = [
  {
    name: 'interactive',
    requestShare: 0.7,
    firstTokenTarget: 570,
    deadlineFactor: 3,
    deadlineOffset: 1000,
  },
  {
    name: 'batch',
    requestShare: 0.3,
    firstTokenTarget: 6000,
    deadlineFactor: 5,
    deadlineOffset: 6000,
  },
];
/** Time of a decode step, then of prefill per token, through all stages at speed 1. */
export const STEP_MILLISECONDS = 20;
export const PREFILL_MILLISECONDS_PER_TOKEN = 0.8;

/** A request with its actual output length. */
export interface Arrival extends WorkEstimate {
  readonly arrivedAt: number;
  readonly actualOutput: number;
}

/** Relative speed of a replica; replicas cycle through the kinds. */
export const speedOfReplica = (replica: number): number =>
  SPEEDS[replica % SPEEDS.length]!;
/** Time that a request takes in a slot of speed 1. */
export const slotMillisecondsOf = (prompt: number, output: number): number =>
  prompt * PREFILL_MILLISECONDS_PER_TOKEN + (output - 1) * STEP_MILLISECONDS;

/** Target time between tokens of a class. */
export const betweenTargetOf = (name: string, queueCase: QueueCase): number =>
  name === 'batch' ? 500 : queueCase.betweenTarget;

/** Poisson arrivals of two classes, from one large account and several small ones. */
export function makeArrivals(
  queueCase: QueueCase,
  capacity: number,
): Arrival[] {
  const random = new SeededRandomSource(queueCase.seed);
  const meanSlotMilliseconds = slotMillisecondsOf(150, 80);
  const meanGap = meanSlotMilliseconds / (queueCase.load * capacity);
  const arrivals: Arrival[] = [];
  for (let arrivedAt = 0; arrivedAt < queueCase.milliseconds;) {
    arrivedAt += -Math.log(1 - random.next()) * meanGap;
    const isLarge = random.next() < queueCase.largeShare;
    const smallIndex = 1 + random.nextInteger(queueCase.smallAccounts);
    const trafficClass =
      random.next() < CLASSES[0]!.requestShare ? CLASSES[0]! : CLASSES[1]!;
    const promptTokens = 50 + random.nextInteger(201);
    const actualOutput = 10 + random.nextInteger(141);
    const errorFactor = 1 + queueCase.error * (2 * random.next() - 1);
    const outputTokens = Math.max(1, Math.round(actualOutput * errorFactor));
    arrivals.push({
      arrivedAt,
      actualOutput,
      promptTokens,
      outputTokens,
      requestId: String(arrivals.length),
      classOfWork: trafficClass.name,
      clientAccount: isLarge ? 'large' : `small${smallIndex}`,
      adapter: undefined,
      prefixKey: undefined,
      priority: 0,
      firstTokenWithinMilliseconds: trafficClass.firstTokenTarget,
      betweenTokensTargetMilliseconds: betweenTargetOf(
        trafficClass.name,
        queueCase,
      ),
      deadlineWithinMilliseconds:
        trafficClass.deadlineOffset +
        trafficClass.deadlineFactor *
          slotMillisecondsOf(promptTokens, actualOutput),
    });
  }
  return arrivals;
}
