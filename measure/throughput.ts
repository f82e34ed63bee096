import {SeededRandomSource} from '../src/base/common/randomSource.js';
import {SystemOptions} from '../test/support/systemOptions.js';
import {
  ThroughputBound,
  OfferedClass,
  ReplicaCapacity,
  solveThroughputBound,
} from './common/throughputBound.js';
import {
  listReplicaCapacities,
  createReplyCheck,
  launchMeasuredSystem,
  MeasuredSystem,
  createPrompt,
} from './common/measuredSystem.js';
import {LoadRecord, OfferedAccount, generateLoad} from './common/openLoad.js';

/** Compares on-time throughput with its upper bound at several loads, for the router and for the naive policy. */

export interface ThroughputOptions {
  readonly seed: number;
  /** Duration of the counted time at each load, after the warm-up. */
  readonly seconds: number;
  /** Loads as multiples of the highest rate that the capacity can serve on time. */
  readonly loads?: readonly number[];
}

/** Results at one load. Ratios are on-time work divided by the bound for the requests that arrived. */
export interface LoadReport {
  readonly offered: number;
  readonly requests: number;
  readonly classes: Readonly<
    Record<
      string,
      {readonly onTime: number; readonly bound: number; readonly ratio: number}
    >
  >;
  readonly ratio: number;
  readonly naiveRatio: number;
  readonly worstSmallAccountRatio: number;
  readonly naiveWorstSmallAccountRatio: number;
  readonly wrongReplies: number;
  /** Share of the requests with status 200 whose reply was late, incomplete or wrong. */
  readonly lateShare: number;
  /** Failures by error kind. */
  readonly failures: Readonly<Record<string, number>>;
  readonly naiveFailures: Readonly<Record<string, number>>;
}

const LOADS = [0.8, 1.0, 1.5];
const WARM_UP_MILLISECONDS = 1500;
const LAYER_COUNT = 8;
const SEARCH_STEPS = 30;

const SYSTEM: Partial<SystemOptions> = {
  instances: 3,
  dataCentres: [
    {name: 'north', region: 'west'},
    {name: 'south', region: 'west'},
  ],
  layerCount: LAYER_COUNT,
  replicas: 6,
  stagesPerReplica: 2,
  accelerators: [
    {kind: 'fast', decodeMilliseconds: 18, prefillMillisecondsPerToken: 1},
    {kind: 'middle', decodeMilliseconds: 27, prefillMillisecondsPerToken: 1.5},
    {kind: 'slow', decodeMilliseconds: 40, prefillMillisecondsPerToken: 2.5},
  ],
  sequenceLimit: 8,
  cellSize: 8,
  ledgerFiles: false,
  entrySettings: {observation: {logLevel: 'error'}},
  controlSettings: {observation: {logLevel: 'error'}},
};

/** The mix of classes. Each rate is the share of the class in the total rate. */
const CLASS_SHAPES: readonly OfferedClass[] = [
  {
    name: 'tight',
    requestsPerSecond: 0.6,
    promptTokens: 24,
    outputTokens: 16,
    firstTokenMilliseconds: 600,
    betweenTokensMilliseconds: 70,
    deadlineMilliseconds: 2500,
  },
  {
    name: 'loose',
    requestsPerSecond: 0.4,
    promptTokens: 40,
    outputTokens: 20,
    firstTokenMilliseconds: 1200,
    betweenTokensMilliseconds: 110,
    deadlineMilliseconds: 5000,
  },
];

const ACCOUNTS: readonly OfferedAccount[] = [
  {name: 'large', bearerKey: 'key-large', share: 0.5},
  ...[1, 2, 3, 4, 5].map(number => ({
    name: `small-${number}`,
    bearerKey: `key-small-${number}`,
    share: 0.1,
  })),
];

/** Runs each load on both systems, one after the other, and returns one report per load. */
export async function measureThroughput(
  options: ThroughputOptions,
): Promise<{readonly seed: number; readonly loads: readonly LoadReport[]}> {
  const classes = scaleClasses(CLASS_SHAPES, 20);
  const own = await launchMeasuredSystem(SYSTEM, classes, ACCOUNTS);
  const naive = await launchMeasuredSystem(
    {...SYSTEM, policy: 'naive'},
    classes,
    ACCOUNTS,
  );
  try {
    const loads: LoadReport[] = [];
    for (const offered of options.loads ?? LOADS) {
      loads.push(await measureLoad(offered, own, naive, options));
    }
    return {seed: options.seed, loads};
  } finally {
    await own.dispose();
    await naive.dispose();
  }
}

async function measureLoad(
  offered: number,
  own: MeasuredSystem,
  naive: MeasuredSystem,
  options: ThroughputOptions,
): Promise<LoadReport> {
  const capacity = listReplicaCapacities(own.system);
  const rate = offered * findCapacityRate(capacity);
  const classes = scaleClasses(CLASS_SHAPES, rate);
  const records = await runLoad(own, classes, options);
  const naiveRecords = await runLoad(naive, classes, options);
  const bound = solveBoundForArrivals(records, capacity, options);
  const naiveBound = solveBoundForArrivals(naiveRecords, capacity, options);
  const counted = records.filter(record => record.isCounted);
  return {
    offered,
    requests: counted.length,
    classes: reportClasses(records, bound, options),
    ratio: round(onTimeTokenRate(records, options) / bound.tokensPerSecond),
    naiveRatio: round(
      onTimeTokenRate(naiveRecords, options) / naiveBound.tokensPerSecond,
    ),
    worstSmallAccountRatio: worstSmallAccountShare(records),
    naiveWorstSmallAccountRatio: worstSmallAccountShare(naiveRecords),
    wrongReplies: records.filter(
      record => record.outcome.whole && !record.isCorrect,
    ).length,
    lateShare: lateShare(counted),
    failures: countFailures(counted),
    naiveFailures: countFailures(naiveRecords),
  };
}

function runLoad(
  measured: MeasuredSystem,
  classes: readonly OfferedClass[],
  options: ThroughputOptions,
): Promise<readonly LoadRecord[]> {
  return generateLoad(
    {
      classes,
      accounts: ACCOUNTS,
      model: 'assistant',
      warmUpMilliseconds: WARM_UP_MILLISECONDS,
      countedMilliseconds: options.seconds * 1000,
      prompt: createPrompt,
      isCorrectReply: createReplyCheck(LAYER_COUNT),
    },
    measured.callers,
    new SeededRandomSource(options.seed),
  );
}

/** Finds the highest request rate of the mix that the capacity can serve on time, by bisection. */
export function findCapacityRate(capacity: readonly ReplicaCapacity[]): number {
  let low = 0;
  let high = 10000;
  for (let step = 0; step < SEARCH_STEPS; step++) {
    const middle = (low + high) / 2;
    const classes = scaleClasses(CLASS_SHAPES, middle);
    const bound = solveThroughputBound(capacity, classes);
    const isServedOnTime = classes.every(
      offered =>
        bound.requestsPerSecond[offered.name] >=
        offered.requestsPerSecond * 0.9999,
    );
    low = isServedOnTime ? middle : low;
    high = isServedOnTime ? high : middle;
  }
  return low;
}

function scaleClasses(
  shapes: readonly OfferedClass[],
  requestsPerSecond: number,
): readonly OfferedClass[] {
  return shapes.map(shape => ({
    ...shape,
    requestsPerSecond: shape.requestsPerSecond * requestsPerSecond,
  }));
}

/** Computes the bound for the requests that actually arrived in the counted time. */
function solveBoundForArrivals(
  records: readonly LoadRecord[],
  capacity: readonly ReplicaCapacity[],
  options: ThroughputOptions,
): ThroughputBound {
  const arrived = CLASS_SHAPES.map(shape => ({
    ...shape,
    requestsPerSecond:
      records.filter(
        record => record.isCounted && record.classOfWork === shape.name,
      ).length / options.seconds,
  }));
  return solveThroughputBound(capacity, arrived);
}

function onTimeTokenRate(
  records: readonly LoadRecord[],
  options: ThroughputOptions,
): number {
  let tokens = 0;
  for (const record of records) {
    tokens +=
      record.isCounted && record.isOnTime ? record.outcome.tokens.length : 0;
  }
  return tokens / options.seconds;
}

function reportClasses(
  records: readonly LoadRecord[],
  bound: ThroughputBound,
  options: ThroughputOptions,
): LoadReport['classes'] {
  const reports: Record<string, LoadReport['classes'][string]> = {};
  for (const {name} of CLASS_SHAPES) {
    const onTime =
      records.filter(
        record =>
          record.isCounted && record.isOnTime && record.classOfWork === name,
      ).length / options.seconds;
    const boundRate = bound.requestsPerSecond[name];
    reports[name] = {
      onTime: round(onTime),
      bound: round(boundRate),
      ratio: round(onTime / boundRate),
    };
  }
  return reports;
}

/** The lowest on-time share of any small account. Their demand is within their fair share, so all should be on time. */
function worstSmallAccountShare(records: readonly LoadRecord[]): number {
  const shares = ACCOUNTS.filter(account => account.name !== 'large').map(
    account => {
      const accountRecords = records.filter(
        record => record.isCounted && record.clientAccount === account.name,
      );
      return (
        accountRecords.filter(record => record.isOnTime).length /
        Math.max(1, accountRecords.length)
      );
    },
  );
  return round(Math.min(...shares));
}

function lateShare(records: readonly LoadRecord[]): number {
  const accepted = records.filter(record => record.outcome.status === 200);
  const late = accepted.filter(record => !record.isOnTime);
  return round(late.length / Math.max(1, accepted.length));
}

function countFailures(
  records: readonly LoadRecord[],
): Readonly<Record<string, number>> {
  const failures: Record<string, number> = {};
  for (const {outcome} of records) {
    if (outcome.errorKind !== undefined) {
      failures[outcome.errorKind] = (failures[outcome.errorKind] ?? 0) + 1;
    }
  }
  return failures;
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
