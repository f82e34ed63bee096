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

/** Several processes that compete for one row. */
class LeaseWorld {
  readonly clock = new FakeClock();
  readonly platform = new InMemoryPlatform(this.clock);
  readonly leases: readonly TableLease[];
  /** Holders that have ended, as the others know. */
  readonly ended = new Set<string>();
  private readonly calls: Array<Promise<void> | undefined> = [];
  private nonces = 0;

  constructor(count: number, settings = defaultLeaseSettings) {
    this.leases = Array.from({length: count}, (_, index) => {
      const {table} = this.platform.portsOf(`p${index}`);
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

  /** Lets time pass after some processes took their next step, one call at a time each. */
  async pass(milliseconds: number, ...indices: readonly number[]) {
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

  /** Which processes may act now. */
  get acting(): readonly number[] {
    return [...this.leases.keys()].filter(i => this.leases[i]!.permits(0));
  }
}

/** What strikes the first or the second write of process 0; it holds the lease two steps later all the same. */
const lostWrites: ReadonlyArray<readonly [PlatformFault, number]> = [
  [{kind: 'answerLost'}, 0],
  [{kind: 'requestLost'}, 0],
  [{kind: 'slow', milliseconds: 3_000}, 0],
  [{kind: 'answerLost'}, 1],
  [{kind: 'requestLost'}, 1],
  [{kind: 'slow', milliseconds: 3_000}, 1],
  [{kind: 'down'}, 1],
  [{kind: 'rateLimited', retryAfterMilliseconds: 100}, 1],
];

it.each(lostWrites)('reads back after %o at write %i', async (fault, write) => {
  const world = new LeaseWorld(1);
  for (let done = 0; done < write; done++) {
    await world.pass(STEP, 0);
  }
  world.platform.addFault(fault, {access: 'write', times: 1});
  await world.pass(STEP, 0);
  expect(world.acting).toEqual([]);
  await world.pass(STEP, 0);
  expect([world.acting, world.leases[0]!.fencing]).toEqual([[0], 1]);
});

it.each([
  {actsUnrenewed: true, lasting: DURATION},
  {actsUnrenewed: false, lasting: 0},
])(
  'that can not be renewed is acted on for $lasting ms, by the settings $actsUnrenewed',
  async ({actsUnrenewed, lasting}) => {
    const world = new LeaseWorld(1, {...defaultLeaseSettings, actsUnrenewed});
    await world.pass(0, 0);
    world.platform.addFault({kind: 'down'});
    await world.pass(1, 0);
    const {marginMilliseconds} = defaultLeaseSettings;
    for (let passed = 1; passed < DURATION + STEP; passed += STEP / 2) {
      const isLeft = passed <= lasting - marginMilliseconds;
      expect(world.acting).toEqual(isLeft ? [0] : []);
      await world.pass(STEP / 2, 0);
    }
  },
);

it.each([
  {name: 'that has ended', ended: ['p0'], acting: [1]},
  {name: 'that may live', ended: [], acting: []},
])('of a holder $name is free at once: $acting', async ({ended, acting}) => {
  const world = new LeaseWorld(2);
  await world.pass(100, 0);
  await world.pass(100, 1);
  ended.forEach(holder => world.ended.add(holder));
  world.leases[0]!.dispose();
  await world.pass(100, 1);
  await world.pass(100, 1);
  expect(world.acting.filter(index => index === 1)).toEqual(acting);
});

it('that was lost in an outage is taken again at once when nobody else took it', async () => {
  const world = new LeaseWorld(1);
  await world.pass(STEP, 0);
  world.clock.pause(DURATION);
  await world.pass(10, 0);
  await world.pass(10, 0);
  expect([world.acting, world.leases[0]!.fencing]).toEqual([[0], 2]);
});

it('is not acted on after a pause, and the next holder has a higher number', async () => {
  const world = new LeaseWorld(2);
  await world.pass(STEP, 0);
  await world.pass(STEP, 0, 1);
  world.clock.pause(DURATION);
  expect(world.acting).toEqual([]);
  await world.pass(0, 1);
  expect([world.acting, world.leases[1]!.fencing]).toEqual([[1], 2]);
  await world.pass(STEP, 0);
  expect(world.leases[0]!.state).toBe('idle');
});

it('ends a duration after its write began, however late that was confirmed', async () => {
  const world = new LeaseWorld(2);
  world.platform.addFault({kind: 'answerLost'}, {access: 'write', times: 1});
  await world.pass(100, 0);
  await world.pass(25_000, 1);
  await world.pass(5_500, 0);
  expect(world.leases[0]!.state).toBe('held');
  await world.pass(0, 1);
  expect(world.acting).toEqual([1]);
});

it('passes on at once when released, and above a number that an engine has seen', async () => {
  const world = new LeaseWorld(2);
  await world.pass(STEP, 0, 1);
  await world.leases[0]!.release(neverCancelled);
  await world.pass(STEP, 1);
  expect([world.acting, world.leases[1]!.fencing]).toEqual([[1], 2]);
  await world.leases[1]!.supersededBy(7, neverCancelled);
  expect(world.acting).toEqual([]);
  for (let waited = 0; waited < DURATION + 3 * STEP; waited += STEP) {
    await world.pass(STEP, 1);
  }
  expect(world.leases[1]!.fencing).toBe(8);
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
  'never lets two act, whatever is lost, late or paused, acting unrenewed: %s',
  async actsUnrenewed => {
    await fastCheck.assert(
      fastCheck.asyncProperty(
        fastCheck.array(step, {minLength: 5, maxLength: 30}),
        async steps => {
          const settings = {...defaultLeaseSettings, actsUnrenewed};
          const world = new LeaseWorld(3, settings);
          let highest = 0;
          for (const {milliseconds, advancing, faults, released} of steps) {
            for (const [index, kind] of faults) {
              const scope = {instance: `p${index}`, times: 1};
              world.platform.addFault(kind, scope);
            }
            await world.pass(milliseconds, ...advancing);
            if (released !== null && released !== undefined) {
              void world.leases[released]!.release(neverCancelled);
            }
            const {acting, row} = world;
            expect(acting.length).toBeLessThanOrEqual(1);
            for (const index of acting) {
              const {fencing} = world.leases[index]!;
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
