import {expect, it} from 'vitest';

import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {CrashScenario, CrashSimulation} from './crashSimulation.js';

/** Whether what instances learned of deadly parts outlasts all of them, and sound requests go on, whatever happens to instances and platform. */

const SEEDS = [1, 2, 3];
const LENGTH_MILLISECONDS = 23_000;
const LENGTH_AT_SIZE_MILLISECONDS = 13_000;
const CALM_MILLISECONDS = 20_000;
const TIMEOUT_MILLISECONDS = 300_000;

/** The published bounds. */
const ALLOWED_LATER = 3;
const LEAST_SHARE = 0.5;

const FIRST_PARTS = [...Array(30).keys()].map(index => `first-${index}`);
const DEADLY = {parts: ['first-0', 'deadly'], perSecond: 3.5};

/** The crash from which the bounds count, or the last one if none follows for so long. */
const COUNTED_CRASH = 5;
const LAST_CRASH_MILLISECONDS = 2_000;

/** One write of all instances for a crash, and one when its sound parts are cleared. */
const WRITES_PER_CRASH = 2;

/** Time in which an instance that has started reads the record. */
const READ_MILLISECONDS = 200;

/** Time for which killed instances are away. */
const RESTART_MILLISECONDS = 600;

interface Situation extends Partial<CrashScenario> {
  readonly name: string;
  /** From the fifth crash, or from the beginning, to what happens at that time. */
  readonly events: ReadonlyArray<{
    readonly afterMilliseconds: number;
    readonly run: (simulation: CrashSimulation) => void;
  }>;
}

function killAll(simulation: CrashSimulation): void {
  simulation.kill(simulation.instances);
}

function startKilled(simulation: CrashSimulation): void {
  simulation.instances
    .filter(({isRunning}) => !isRunning)
    .forEach(({index}) => simulation.restart(index));
}

/** All are killed, and start again some time later. */
function killAllAt(afterMilliseconds: number): Situation['events'] {
  const startAt = afterMilliseconds + RESTART_MILLISECONDS;
  return [
    {afterMilliseconds, run: killAll},
    {afterMilliseconds: startAt, run: startKilled},
  ];
}

const situations: readonly Situation[] = [
  {name: 'killed a second later', events: killAllAt(1_000)},
  {
    name: 'killed twice in a row',
    events: [...killAllAt(1_000), ...killAllAt(2_000)],
  },
  {
    name: 'killed in turn, none told by a peer',
    events: [
      {
        afterMilliseconds: 1_000,
        run: simulation => simulation.kill(simulation.instances.slice(1)),
      },
      {
        afterMilliseconds: 2_000,
        run: simulation => {
          simulation.kill(simulation.instances.slice(0, 1));
          simulation.instances
            .slice(1)
            .forEach(({index}) => simulation.restart(index));
        },
      },
      {afterMilliseconds: 3_000, run: startKilled},
    ],
  },
  {
    name: 'one started alone, cut off',
    events: [
      {
        afterMilliseconds: 2_000,
        run: simulation => {
          simulation.kill(simulation.instances.slice(1, 2));
          simulation.instances[1]!.side = 1;
        },
      },
      {afterMilliseconds: 2_500, run: startKilled},
    ],
  },
  {
    name: 'platform away until 2 s before a kill',
    events: [
      {
        afterMilliseconds: -Infinity,
        run: ({platform}) => platform.addFault({kind: 'down'}),
      },
      {
        afterMilliseconds: 1_000,
        run: ({platform, platformRecovered}) => {
          platform.clearFaults();
          platformRecovered.fire();
        },
      },
      ...killAllAt(3_000),
    ],
  },
  {
    name: 'platform rejects the first in rank',
    events: [
      {
        afterMilliseconds: -Infinity,
        run: ({platform}) =>
          platform.addFault({kind: 'down'}, {instance: 'instance-0'}),
      },
      ...killAllAt(3_000),
    ],
  },
  {
    name: 'platform answers lost or late',
    events: [
      {
        afterMilliseconds: -Infinity,
        run: ({platform}) => {
          platform.addFault({kind: 'answerLost'}, {access: 'write', times: 1});
          platform.addFault(
            {kind: 'slow', milliseconds: 1_200},
            {access: 'write', times: 1},
          );
        },
      },
      ...killAllAt(4_000),
    ],
  },
  {
    name: 'beside ever new prompts of an account',
    deadly: [DEADLY, {parts: ['first-2'], perSecond: 1, account: 'hostile'}],
    events: killAllAt(3_000),
  },
  {
    name: 'few upstreams, many first parts',
    upstreamCount: 7,
    firstParts: [...Array(180).keys()].map(index => `first-${index}`),
    events: killAllAt(3_000),
  },
];

/** When the fifth crash was, or the last one if none has followed for long; -Infinity means that it has not been. */
function countedCrash({crashedAt, clock}: CrashSimulation): number {
  const last = crashedAt.at(-1) ?? Infinity;
  const isOver = clock.monotonicMilliseconds() - last > LAST_CRASH_MILLISECONDS;
  return crashedAt[COUNTED_CRASH - 1] ?? (isOver ? last : Infinity);
}

/** Sound prompts that an instance would refuse now. */
function refusedFirstParts({instances}: CrashSimulation): readonly string[] {
  const running = instances.filter(({isRunning}) => isRunning);
  return FIRST_PARTS.filter(part =>
    running.some(({guard}) => {
      const prompt = {account: 'account', promptParts: [part, 'fresh']};
      return guard.judge(prompt).kind === 'blocked';
    }),
  );
}

async function play(
  {events, ...situation}: Situation,
  count: number,
  seed: number,
): Promise<readonly string[]> {
  const isLarge = count >= 100;
  const refused: string[] = [];
  const last = Math.max(...events.map(event => event.afterMilliseconds));
  const left = [
    ...events,
    {
      afterMilliseconds: last + READ_MILLISECONDS,
      run: (current: CrashSimulation) =>
        refused.push(...refusedFirstParts(current)),
    },
  ];
  const simulation: CrashSimulation = new CrashSimulation(
    {
      instanceCount: count,
      upstreamCount: isLarge ? 600 : 38,
      firstParts: FIRST_PARTS,
      soundPerSecond: isLarge ? 300 : 45,
      deadly: [DEADLY],
      deadlyFromMilliseconds: 3_000,
      lengthMilliseconds: isLarge
        ? LENGTH_AT_SIZE_MILLISECONDS
        : LENGTH_MILLISECONDS,
      isRecorded: true,
      disturb: current => {
        const now = current.clock.monotonicMilliseconds();
        const since = now - countedCrash(current);
        while (left.length > 0 && since >= left[0]!.afterMilliseconds) {
          left.shift()!.run(current);
        }
      },
      ...situation,
    },
    new SeededRandomSource(seed),
  );
  await simulation.runAsync();
  const place = `seed ${seed}`;
  const from = countedCrash(simulation) + last;
  const later = simulation.deadlySentAfter(from);
  const shares = FIRST_PARTS.map(part => ({
    part,
    share: simulation.sentShare(name => name === part),
  }));
  const {writes} = simulation.platform.counts;
  const allowedWrites = WRITES_PER_CRASH * simulation.crashCount;
  return [
    ...(writes > allowedWrites ? [`${place}: ${writes} writes`] : []),
    ...(left.length > 0 ? [`${place}: it was not played to its end`] : []),
    ...(later > ALLOWED_LATER ? [`${place}: ${later} deadly ones sent`] : []),
    ...refused.map(part => `${place}: ${part} was refused after the restart`),
    ...shares
      .filter(({share}) => share < LEAST_SHARE)
      .map(({part, share}) => `${place}: ${part} let through at ${share}`),
  ];
}

it.each(
  [4, 19, 370].flatMap(count =>
    situations.map(situation => ({count, situation, name: situation.name})),
  ),
)(
  '$count instances started again stop a deadly part and let sound requests through: $name',
  async ({count, situation}) => {
    const seeds = count < 100 ? SEEDS : SEEDS.slice(0, 1);
    const problems: string[] = [];
    for (const seed of seeds) {
      problems.push(...(await play(situation, count, seed)));
    }
    expect(problems).toEqual([]);
  },
  TIMEOUT_MILLISECONDS,
);

it.each([4, 19, 370])(
  '%i instances without crashes read the record once a start and write nothing',
  async count => {
    const simulation = new CrashSimulation(
      {
        instanceCount: count,
        upstreamCount: 38,
        firstParts: FIRST_PARTS,
        soundPerSecond: 45,
        deadly: [],
        deadlyFromMilliseconds: 0,
        lengthMilliseconds: CALM_MILLISECONDS,
        isRecorded: true,
      },
      new SeededRandomSource(1),
    );
    await simulation.runAsync();
    expect(simulation.platform.counts).toEqual({reads: count, writes: 0});
  },
);
