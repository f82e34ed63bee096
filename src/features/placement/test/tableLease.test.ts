import * as fastCheck from 'fast-check';
import {expect, it} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {
  InMemoryPlatform,
  PlatformFault,
} from '../../../../test/support/inMemoryPlatform.js';
import {neverCancelled} from '../../../base/common/cancellation.js';
import {LeaseRecord} from '../common/leaseRecord.js';
import {defaultLeaseSettings} from '../common/leaseSettings.js';
import {TableLease} from '../common/tableLease.js';

const KEY = 'lease';
const {durationMilliseconds: DURATION} = defaultLeaseSettings;
const STEP = 5_000;

/** Several processes that compete for one lease. */
class LeaseSimulation {
  readonly clock = new FakeClock();
  readonly platform = new InMemoryPlatform(this.clock);
  readonly leases: readonly TableLease[];
  /** Holders that the other processes know to have ended. */
  readonly ended = new Set<string>();
  private readonly calls: Array<Promise<void> | undefined> = [];
  private nonces = 0;

  constructor(count: number, settings = defaultLeaseSettings) {
    this.leases = Array.from({length: count}, (_, index) => {
      const {table} = this.platform.servicesFor(`p${index}`);
      const nonce = () => `n${this.nonces++}`;
      return new TableLease(
        KEY,
        `p${index}`,
        table,
        this.clock,
        nonce,
        settings,
        holder => this.ended.has(holder),
      );
    });
  }

  /** Starts the next step of some processes, one call at a time for each, and then advances time. */
  async advanceTime(milliseconds: number, ...indices: readonly number[]) {
    for (const index of indices) {
      this.calls[index] ??= this.leases[index]!.advance(neverCancelled).finally(
        () => (this.calls[index] = undefined),
      );
    }
    await this.clock.advanceAsync(milliseconds);
  }

  get row(): LeaseRecord | undefined {
    const [row] = this.platform.rows.read([KEY]);
    return row && (JSON.parse(row.value) as LeaseRecord);
  }

  /** Indices of the processes that may act now. */
  get acting(): readonly number[] {
    return [...this.leases.keys()].filter(i => this.leases[i]!.permits(0));
  }
}

/** Faults of the first or second write of process 0, which holds the lease again two steps later. */
const faultyWrites: ReadonlyArray<readonly [PlatformFault, number]> = [
  [{kind: 'answerLost'}, 0],
  [{kind: 'requestLost'}, 0],
  [{kind: 'slow', milliseconds: 3_000}, 0],
  [{kind: 'answerLost'}, 1],
  [{kind: 'requestLost'}, 1],
  [{kind: 'slow', milliseconds: 3_000}, 1],
  [{kind: 'down'}, 1],
  [{kind: 'rateLimited', retryAfterMilliseconds: 100}, 1],
];

it.each(faultyWrites)(
  'a lease is held again after %o at write %i, without a new fencing number',
  async (fault, write) => {
    const simulation = new LeaseSimulation(1);
    for (let done = 0; done < write; done++) {
      await simulation.advanceTime(STEP, 0);
    }
    simulation.platform.addFault(fault, {access: 'write', times: 1});
    await simulation.advanceTime(STEP, 0);
    expect(simulation.acting).toEqual([]);
    await simulation.advanceTime(STEP, 0);
    expect([simulation.acting, simulation.leases[0]!.fencing]).toEqual([
      [0],
      1,
    ]);
  },
);

it.each([
  {actsUnrenewed: true, lasting: DURATION},
  {actsUnrenewed: false, lasting: 0},
])(
  'a lease that cannot be renewed permits actions for $lasting ms if actsUnrenewed is $actsUnrenewed',
  async ({actsUnrenewed, lasting}) => {
    const simulation = new LeaseSimulation(1, {
      ...defaultLeaseSettings,
      actsUnrenewed,
    });
    await simulation.advanceTime(0, 0);
    simulation.platform.addFault({kind: 'down'});
    await simulation.advanceTime(1, 0);
    const {marginMilliseconds} = defaultLeaseSettings;
    for (let passed = 1; passed < DURATION + STEP; passed += STEP / 2) {
      const isLeft = passed <= lasting - marginMilliseconds;
      expect(simulation.acting).toEqual(isLeft ? [0] : []);
      await simulation.advanceTime(STEP / 2, 0);
    }
  },
);

it.each([
  {name: 'has ended', ended: ['p0'], acting: [1]},
  {name: 'may still run', ended: [], acting: []},
])(
  'a lease whose holder $name is acquired at once by the processes $acting',
  async ({ended, acting}) => {
    const simulation = new LeaseSimulation(2);
    await simulation.advanceTime(100, 0);
    await simulation.advanceTime(100, 1);
    ended.forEach(holder => simulation.ended.add(holder));
    simulation.leases[0]!.dispose();
    await simulation.advanceTime(100, 1);
    await simulation.advanceTime(100, 1);
    expect(simulation.acting.filter(index => index === 1)).toEqual(acting);
  },
);

it('a lease that was lost in an outage is acquired again at once if no other process took it', async () => {
  const simulation = new LeaseSimulation(1);
  await simulation.advanceTime(STEP, 0);
  simulation.clock.pause(DURATION);
  await simulation.advanceTime(10, 0);
  await simulation.advanceTime(10, 0);
  expect([simulation.acting, simulation.leases[0]!.fencing]).toEqual([[0], 2]);
});

it('a lease permits no actions after a pause, and the next holder has a higher fencing number', async () => {
  const simulation = new LeaseSimulation(2);
  await simulation.advanceTime(STEP, 0);
  await simulation.advanceTime(STEP, 0, 1);
  simulation.clock.pause(DURATION);
  expect(simulation.acting).toEqual([]);
  await simulation.advanceTime(0, 1);
  expect([simulation.acting, simulation.leases[1]!.fencing]).toEqual([[1], 2]);
  await simulation.advanceTime(STEP, 0);
  expect(simulation.leases[0]!.state).toBe('idle');
});

it('a lease expires one duration after its write began, however late that was confirmed', async () => {
  const simulation = new LeaseSimulation(2);
  simulation.platform.addFault(
    {kind: 'answerLost'},
    {access: 'write', times: 1},
  );
  await simulation.advanceTime(100, 0);
  await simulation.advanceTime(25_000, 1);
  await simulation.advanceTime(5_500, 0);
  expect(simulation.leases[0]!.state).toBe('held');
  await simulation.advanceTime(0, 1);
  expect(simulation.acting).toEqual([1]);
});

it('a lease is acquired at once after a release, and above a fencing number that an engine has seen', async () => {
  const simulation = new LeaseSimulation(2);
  await simulation.advanceTime(STEP, 0, 1);
  await simulation.leases[0]!.release(neverCancelled);
  await simulation.advanceTime(STEP, 1);
  expect([simulation.acting, simulation.leases[1]!.fencing]).toEqual([[1], 2]);
  await simulation.leases[1]!.supersededBy(7, neverCancelled);
  expect(simulation.acting).toEqual([]);
  for (let waited = 0; waited < DURATION + 3 * STEP; waited += STEP) {
    await simulation.advanceTime(STEP, 1);
  }
  expect(simulation.leases[1]!.fencing).toBe(8);
});

const fault = fastCheck.constantFrom<PlatformFault>(
  {kind: 'answerLost'},
  {kind: 'requestLost'},
  {kind: 'down'},
  {kind: 'slow', milliseconds: 500},
  {kind: 'slow', milliseconds: 12_000},
);
const process = fastCheck.integer({min: 0, max: 2});
const step = fastCheck.record({
  milliseconds: fastCheck.constantFrom(0, 100, 2_500, 7_500, DURATION),
  advancing: fastCheck.uniqueArray(process),
  faults: fastCheck.array(fastCheck.tuple(process, fault), {maxLength: 2}),
  released: fastCheck.option(process, {freq: 12}),
});

it.each([false, true])(
  'a lease never lets two processes act, whatever is lost, late or paused, if actsUnrenewed is %s',
  async actsUnrenewed => {
    await fastCheck.assert(
      fastCheck.asyncProperty(
        fastCheck.array(step, {minLength: 5, maxLength: 30}),
        async steps => {
          const settings = {...defaultLeaseSettings, actsUnrenewed};
          const simulation = new LeaseSimulation(3, settings);
          let highest = 0;
          for (const {milliseconds, advancing, faults, released} of steps) {
            for (const [index, kind] of faults) {
              const scope = {instance: `p${index}`, times: 1};
              simulation.platform.addFault(kind, scope);
            }
            await simulation.advanceTime(milliseconds, ...advancing);
            if (released !== null && released !== undefined) {
              void simulation.leases[released]!.release(neverCancelled);
            }
            const {acting, row} = simulation;
            expect(acting.length).toBeLessThanOrEqual(1);
            for (const index of acting) {
              const {fencing} = simulation.leases[index]!;
              expect([row?.holder, row?.fencing]).toEqual([
                `p${index}`,
                fencing,
              ]);
              expect(fencing).toBeGreaterThanOrEqual(highest);
              highest = fencing!;
            }
          }
        },
      ),
      {numRuns: 400, seed: 1},
    );
  },
);
