import {
  RandomSource,
  SeededRandomSource,
} from '../../src/base/common/randomSource.js';
import {StoreFault} from '../standins/fleet/rowStore.js';

/** Faults of a soak run, drawn from a seed: the same seed gives the same schedule on each machine. */

/** Signals that a fault sends to an instance. */
export type FaultSignal = 'SIGTERM' | 'SIGHUP' | 'SIGKILL';

/** A fault; instances, engines and plain replicas are named by their index. */
export type Fault =
  | {
      readonly kind: 'signal';
      readonly instance: number;
      readonly signal: FaultSignal;
    }
  /** A signal that is sent some time after the next start of the process. */
  | {
      readonly kind: 'signalAfterStart';
      readonly instance: number;
      readonly signal: FaultSignal;
      readonly delayMilliseconds: number;
    }
  | {
      readonly kind: 'freeze';
      readonly instance: number;
      readonly milliseconds: number;
    }
  | {readonly kind: 'engineCrash'; readonly engine: number}
  | {
      readonly kind: 'enginePause';
      readonly engine: number;
      readonly milliseconds: number;
    }
  /** The replica reports that it drains, serves on, ends, and another one takes its place. */
  | {readonly kind: 'plainLeave'; readonly replica: number}
  | {
      readonly kind: 'plainBehaviour';
      readonly replica: number;
      readonly behaviour: 'fail' | 'refuse' | 'mute';
      readonly milliseconds: number;
    }
  | {
      readonly kind: 'plainLimit';
      readonly replica: number;
      readonly requestsPerSecond: number;
      readonly milliseconds: number;
    }
  | {
      readonly kind: 'store';
      readonly fault: Exclude<StoreFault, 'none'>;
      readonly milliseconds: number;
    }
  | {readonly kind: 'configure'};

export interface TimedFault {
  /** Time from the start of the traffic. */
  readonly atMilliseconds: number;
  readonly fault: Fault;
}

/** Everything that a run plays; written to a file it can be played again. */
export interface Schedule {
  readonly seed: number;
  readonly seconds: number;
  readonly instanceCount: number;
  readonly stopSeconds: number;
  readonly faults: readonly TimedFault[];
}

/** What a schedule is drawn for. */
export interface ScheduleOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly instanceCount: number;
  /** Whether instances are also held for most of the time, often several at once; the other faults stay the same. */
  readonly hasLateLoops?: boolean;
}

/** Upstreams of `StandInSystem`. */
const ENGINE_COUNT = 8;
const PLAIN_COUNT = 2;

/** The users' time for a stop. */
const STOP_SECONDS = 8;

/** Faults begin when traffic has reached all instances, and leave time to recover at the end. */
const FIRST_FAULT_MILLISECONDS = 1_500;
const QUIET_END_MILLISECONDS = 2_500;

/** Time between the starts of two series; they overlap, since a stop takes seconds. */
const SERIES_GAP_MILLISECONDS = {least: 800, range: 4_200};

/** Late loops are drawn from a seed this far from that of the other faults. */
const LATE_LOOP_SEED_STEP = 1_000_003;

type Series = (random: RandomSource, instanceCount: number) => TimedFault[];

/** Each series starts at zero; one is drawn as often as its weight tells. */
const SERIES: ReadonlyArray<{readonly weight: number; readonly draw: Series}> =
  [
    {weight: 5, draw: drawStop},
    {weight: 3, draw: drawRepeatedStop},
    {weight: 3, draw: drawMixedStop},
    {weight: 2, draw: drawRollingStop},
    {weight: 2, draw: drawSignalAtStart},
    {weight: 2, draw: drawFreeze},
    {weight: 1, draw: drawKill},
    {weight: 3, draw: drawEngineFaults},
    {weight: 3, draw: drawPlainFaults},
    {weight: 2, draw: drawStoreFault},
    {weight: 2, draw: drawConfigurations},
  ];

/** Draws the faults of a run. */
export function drawSchedule(options: ScheduleOptions): Schedule {
  const {seed, seconds, instanceCount, hasLateLoops = false} = options;
  const random = new SeededRandomSource(seed);
  const end = seconds * 1000 - QUIET_END_MILLISECONDS;
  const faults: TimedFault[] = [];
  let at = FIRST_FAULT_MILLISECONDS;
  while (at < end) {
    const series = drawWeighted(random)(random, instanceCount);
    faults.push(...series.map(item => later(item, at)));
    at +=
      SERIES_GAP_MILLISECONDS.least +
      random.nextInteger(SERIES_GAP_MILLISECONDS.range);
  }
  if (hasLateLoops) {
    faults.push(...drawLateLoops(seed, end, instanceCount));
  }
  const played = faults
    .filter(({atMilliseconds}) => atMilliseconds < end)
    .sort((left, right) => left.atMilliseconds - right.atMilliseconds);
  return {
    seed,
    seconds,
    instanceCount,
    stopSeconds: STOP_SECONDS,
    faults: played,
  };
}

function drawWeighted(random: RandomSource): Series {
  const total = SERIES.reduce((sum, {weight}) => sum + weight, 0);
  let rest = random.nextInteger(total);
  for (const {weight, draw} of SERIES) {
    if (rest < weight) {
      return draw;
    }
    rest -= weight;
  }
  throw new Error('weights of series are inconsistent');
}

function later({atMilliseconds, fault}: TimedFault, by: number): TimedFault {
  return {atMilliseconds: atMilliseconds + by, fault};
}

function signalAt(
  atMilliseconds: number,
  instance: number,
  signal: FaultSignal,
): TimedFault {
  return {atMilliseconds, fault: {kind: 'signal', instance, signal}};
}

function drawStop(random: RandomSource, count: number): TimedFault[] {
  return [signalAt(0, random.nextInteger(count), 'SIGTERM')];
}

function drawRepeatedStop(random: RandomSource, count: number): TimedFault[] {
  const instance = random.nextInteger(count);
  const again = 50 + random.nextInteger(6_000);
  return [
    signalAt(0, instance, 'SIGTERM'),
    signalAt(again, instance, 'SIGTERM'),
  ];
}

/** A stop during which other signals come, sometimes to another instance. */
function drawMixedStop(random: RandomSource, count: number): TimedFault[] {
  const instance = random.nextInteger(count);
  const series = [signalAt(0, instance, 'SIGTERM')];
  const extra = 1 + random.nextInteger(3);
  for (let index = 0; index < extra; index++) {
    const at = random.nextInteger(7_000);
    const kind = random.nextInteger(6);
    const target = kind === 5 ? random.nextInteger(count) : instance;
    if (kind === 0) {
      series.push(signalAt(at, target, 'SIGKILL'));
    } else if (kind === 1) {
      series.push(freezeAt(at, target, 200 + random.nextInteger(2_000)));
    } else {
      series.push(signalAt(at, target, 'SIGHUP'));
    }
  }
  return series;
}

function drawRollingStop(random: RandomSource, count: number): TimedFault[] {
  const gap = 300 + random.nextInteger(3_000);
  const first = random.nextInteger(count);
  const length = Math.min(count, 2 + random.nextInteger(2));
  return [...Array(length).keys()].map(index =>
    signalAt(index * gap, (first + index) % count, 'SIGTERM'),
  );
}

/** A process is ended, and another signal comes right after its next start. */
function drawSignalAtStart(random: RandomSource, count: number): TimedFault[] {
  const instance = random.nextInteger(count);
  const signal = random.nextInteger(2) === 0 ? 'SIGHUP' : 'SIGTERM';
  const delayMilliseconds = random.nextInteger(1_500);
  return [
    {
      atMilliseconds: 0,
      fault: {kind: 'signalAfterStart', instance, signal, delayMilliseconds},
    },
    signalAt(1, instance, random.nextInteger(2) === 0 ? 'SIGKILL' : 'SIGTERM'),
  ];
}

function freezeAt(
  atMilliseconds: number,
  instance: number,
  milliseconds: number,
): TimedFault {
  return {atMilliseconds, fault: {kind: 'freeze', instance, milliseconds}};
}

/** A freeze, at times with a stop that reaches the frozen process. */
function drawFreeze(random: RandomSource, count: number): TimedFault[] {
  const instance = random.nextInteger(count);
  const milliseconds = 300 + random.nextInteger(4_000);
  const series = [freezeAt(0, instance, milliseconds)];
  if (random.nextInteger(2) === 0) {
    const at = random.nextInteger(milliseconds);
    series.push(signalAt(at, instance, 'SIGTERM'));
  }
  return series;
}

/** Instances whose event loops are late: their processes run a part of each period. Drawn apart from the other faults. */
function drawLateLoops(seed: number, end: number, count: number): TimedFault[] {
  const random = new SeededRandomSource(seed + LATE_LOOP_SEED_STEP);
  const faults: TimedFault[] = [];
  let at = FIRST_FAULT_MILLISECONDS;
  while (at < end) {
    const until = at + 3_000 + random.nextInteger(7_000);
    const first = random.nextInteger(count);
    const held = 1 + random.nextInteger(count);
    for (let index = 0; index < held; index++) {
      const run = 20 + random.nextInteger(100);
      const hold = 150 + random.nextInteger(1_400);
      for (let start = at; start < until; start += run + hold) {
        faults.push(freezeAt(start, (first + index) % count, hold));
      }
    }
    at = until + random.nextInteger(3_000);
  }
  return faults;
}

function drawKill(random: RandomSource, count: number): TimedFault[] {
  return [signalAt(0, random.nextInteger(count), 'SIGKILL')];
}

function drawEngineFaults(random: RandomSource): TimedFault[] {
  const engine = random.nextInteger(ENGINE_COUNT);
  const fault: Fault =
    random.nextInteger(2) === 0
      ? {kind: 'engineCrash', engine}
      : {
          kind: 'enginePause',
          engine,
          milliseconds: 200 + random.nextInteger(2_500),
        };
  return [{atMilliseconds: 0, fault}];
}

function drawPlainFaults(random: RandomSource): TimedFault[] {
  const replica = random.nextInteger(PLAIN_COUNT);
  const milliseconds = 500 + random.nextInteger(3_000);
  const choice = random.nextInteger(5);
  const behaviour = (['fail', 'refuse', 'mute'] as const)[choice];
  if (behaviour !== undefined) {
    const fault: Fault = {
      kind: 'plainBehaviour',
      replica,
      behaviour,
      milliseconds,
    };
    return [{atMilliseconds: 0, fault}];
  }
  if (choice === 3) {
    const requestsPerSecond = 1 + random.nextInteger(20);
    const fault: Fault = {
      kind: 'plainLimit',
      replica,
      requestsPerSecond,
      milliseconds,
    };
    return [{atMilliseconds: 0, fault}];
  }
  return [{atMilliseconds: 0, fault: {kind: 'plainLeave', replica}}];
}

function drawStoreFault(random: RandomSource): TimedFault[] {
  const fault = (['busy', 'silent', 'reset'] as const)[random.nextInteger(3)]!;
  const milliseconds = 300 + random.nextInteger(5_000);
  return [{atMilliseconds: 0, fault: {kind: 'store', fault, milliseconds}}];
}

function drawConfigurations(random: RandomSource): TimedFault[] {
  const count = 1 + random.nextInteger(5);
  const gap = 50 + random.nextInteger(500);
  return [...Array(count).keys()].map(index => ({
    atMilliseconds: index * gap,
    fault: {kind: 'configure'},
  }));
}
