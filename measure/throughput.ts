import {SeededRandomSource} from '../src/base/common/randomSource.js';
import {SystemOptions} from '../test/support/systemOptions.js';
import {
  Bound,
  OfferedClass,
  ReplicaCapacity,
  solveBound,
} from './common/bound.js';
import {
  capacityOf,
  isRightReply,
  launchMeasured,
  MeasuredSystem,
  promptOf,
} from './common/measuredSystem.js';
import {LoadRecord, OfferedAccount, offerLoad} from './common/openLoad.js';

/** On-time work against the bound at several loads, beside the naive version in the same run. */

/** Settings of a run. */
export interface ThroughputOptions {
  readonly seed: number;
  /** Seconds counted at each load. */
  readonly seconds: number;
  /** Loads as multiples of the bound. */
  readonly loads?: readonly number[];
}

/** One load's outcome; ratios are on-time work over the bound for what arrived. */
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
  /** Replies that were taken and ended late, over those taken. */
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

/** Classes at the shape of the load; rates are parts of the whole. */
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

/** Runs all loads on both systems in turn and gives one report for each load. */
export async function measureThroughput(
  options: ThroughputOptions,
): Promise<{readonly seed: number; readonly loads: readonly LoadReport[]}> {
  const classes = scaledClasses(CLASS_SHAPES, 20);
  const own = await launchMeasured(SYSTEM, classes, ACCOUNTS);
  const naive = await launchMeasured(
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
  const capacity = capacityOf(own.system);
  const rate = offered * capacityRate(capacity);
  const classes = scaledClasses(CLASS_SHAPES, rate);
  const records = await runLoad(own, classes, options);
  const naiveRecords = await runLoad(naive, classes, options);
  const bound = boundOf(records, capacity, options);
  const naiveBound = boundOf(naiveRecords, capacity, options);
  const counted = records.filter(record => record.counted);
  return {
    offered,
    requests: counted.length,
    classes: classReports(records, bound, options),
    ratio: round(tokenRate(records, options) / bound.tokensPerSecond),
    naiveRatio: round(
      tokenRate(naiveRecords, options) / naiveBound.tokensPerSecond,
    ),
    worstSmallAccountRatio: worstSmallAccount(records),
    naiveWorstSmallAccountRatio: worstSmallAccount(naiveRecords),
    wrongReplies: records.filter(
      record => record.outcome.whole && !record.correct,
    ).length,
    lateShare: lateShare(counted),
    failures: failuresOf(counted),
    naiveFailures: failuresOf(naiveRecords),
  };
}

function runLoad(
  measured: MeasuredSystem,
  classes: readonly OfferedClass[],
  options: ThroughputOptions,
): Promise<readonly LoadRecord[]> {
  return offerLoad(
    {
      classes,
      accounts: ACCOUNTS,
      model: 'assistant',
      warmUpMilliseconds: WARM_UP_MILLISECONDS,
      countedMilliseconds: options.seconds * 1000,
      prompt: promptOf,
      isCorrect: isRightReply(LAYER_COUNT),
    },
    measured.callers,
    new SeededRandomSource(options.seed),
  );
}

/** Requests a second of the mix that the capacity just carries. */
export function capacityRate(capacity: readonly ReplicaCapacity[]): number {
  let low = 0;
  let high = 10000;
  for (let step = 0; step < SEARCH_STEPS; step++) {
    const middle = (low + high) / 2;
    const classes = scaledClasses(CLASS_SHAPES, middle);
    const bound = solveBound(capacity, classes);
    const isCarried = classes.every(
      one =>
        bound.requestsPerSecond[one.name] >= one.requestsPerSecond * 0.9999,
    );
    low = isCarried ? middle : low;
    high = isCarried ? high : middle;
  }
  return low;
}

function scaledClasses(
  shapes: readonly OfferedClass[],
  requestsPerSecond: number,
): readonly OfferedClass[] {
  return shapes.map(shape => ({
    ...shape,
    requestsPerSecond: shape.requestsPerSecond * requestsPerSecond,
  }));
}

/** The bound for what really arrived in the counted time. */
function boundOf(
  records: readonly LoadRecord[],
  capacity: readonly ReplicaCapacity[],
  options: ThroughputOptions,
): Bound {
  const arrived = CLASS_SHAPES.map(shape => ({
    ...shape,
    requestsPerSecond:
      records.filter(
        record => record.counted && record.classOfWork === shape.name,
      ).length / options.seconds,
  }));
  return solveBound(capacity, arrived);
}

function tokenRate(
  records: readonly LoadRecord[],
  options: ThroughputOptions,
): number {
  let tokens = 0;
  for (const record of records) {
    tokens +=
      record.counted && record.onTime ? record.outcome.tokens.length : 0;
  }
  return tokens / options.seconds;
}

function classReports(
  records: readonly LoadRecord[],
  bound: Bound,
  options: ThroughputOptions,
): LoadReport['classes'] {
  const reports: Record<string, LoadReport['classes'][string]> = {};
  for (const {name} of CLASS_SHAPES) {
    const onTime =
      records.filter(
        record =>
          record.counted && record.onTime && record.classOfWork === name,
      ).length / options.seconds;
    const limit = bound.requestsPerSecond[name];
    reports[name] = {
      onTime: round(onTime),
      bound: round(limit),
      ratio: round(onTime / limit),
    };
  }
  return reports;
}

/** The least share of its requests that a small account got on time; all of them are within its fair share. */
function worstSmallAccount(records: readonly LoadRecord[]): number {
  const shares = ACCOUNTS.filter(account => account.name !== 'large').map(
    account => {
      const own = records.filter(
        record => record.counted && record.clientAccount === account.name,
      );
      return (
        own.filter(record => record.onTime).length / Math.max(1, own.length)
      );
    },
  );
  return round(Math.min(...shares));
}

function lateShare(records: readonly LoadRecord[]): number {
  const taken = records.filter(record => record.outcome.status === 200);
  const late = taken.filter(record => !record.onTime);
  return round(late.length / Math.max(1, taken.length));
}

function failuresOf(
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
