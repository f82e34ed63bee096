import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {StandInSystem} from '../standins/fleet/system.js';
import {sleep} from '../support/sleep.js';
import {PromptTraffic} from './promptTraffic.js';
import {waitUntilServing} from './sendRequest.js';

/** Requests under which upstreams end, at several instances, beside sound requests of the same caller. */

const INSTANCE_COUNT = 4;
/** Events of a deadly request; an upstream that ends under it late has written some of them. */
const DEADLY_EVENT_COUNT = 400;
const DEADLY_PERIOD_MILLISECONDS = 300;
const LOAD_MILLISECONDS = 14_000;

/** The first parts that requests share: a few, or as many as make each of them rare. */
const FIRST_PARTS = ['first-0', 'first-1', 'first-2'];
const MANY_FIRST_PARTS = [...Array(90).keys()].map(index => `first-${index}`);

/** Time until engines begin to write, so that many sound requests are there when one crashes. */
const SLOW_BEGIN_MILLISECONDS = 600;

/**
 * The published bounds: this long after the crash that counts, no more than so many requests reach upstreams; sound ones are
 * served at least this share as often as before.
 */
const NOTICE_MILLISECONDS = 3_000;
const ALLOWED_LATER = 3;
const LEAST_SHARE = 0.5;

/** Upstreams that may end under one attempt of a caller before it is given up. */
const ENDED_UNDER_ONE_ATTEMPT = 3;

describe('a request under which upstreams end', () => {
  let system: StandInSystem;
  let traffic: PromptTraffic;

  beforeEach(async () => {
    system = await StandInSystem.start(INSTANCE_COUNT);
    system.engines.followsTokenCount = true;
    traffic = new PromptTraffic(() => system.instances);
    await waitUntilServing(system.instances);
  });

  afterEach(() => system.stop());

  /** Sends deadly requests to all instances in turn. */
  async function playDeadly(
    milliseconds: number,
    promptOf: (index: number) => readonly string[],
  ): Promise<void> {
    const responses: Array<Promise<unknown>> = [];
    const end = performance.now() + milliseconds;
    for (let index = 0; performance.now() < end; index++) {
      responses.push(
        traffic.send(promptOf(index), DEADLY_EVENT_COUNT).response,
      );
      await sleep(DEADLY_PERIOD_MILLISECONDS);
    }
    await Promise.all(responses);
  }

  function arrivalsAfter(from: number): number {
    return system.engines.deadlyArrivals.filter(({at}) => at > from).length;
  }

  function mostArrivalsOfOneAttempt(): number {
    const counts = new Map<string, number>();
    for (const {requestId} of system.engines.deadlyArrivals) {
      counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
    }
    return Math.max(0, ...counts.values());
  }

  it('is not sent on after three have ended, neither by its instance nor when its caller repeats it at others', () =>
    expectStopAfterThree());

  it.each([
    {name: 'close their connections', silentMilliseconds: 0},
    {name: 'fall silent', silentMilliseconds: 4_000},
  ])(
    'is not sent on after three have ended that wrote it for 700 ms and then $name',
    async ({silentMilliseconds}) => {
      system.engines.deadlyBehaviour = {
        delayMilliseconds: 700,
        writes: true,
        silentMilliseconds,
      };
      await expectStopAfterThree();
    },
  );

  async function expectStopAfterThree(): Promise<void> {
    system.engines.deadlyParts.add('deadly');
    const sound = traffic.playSound(LOAD_MILLISECONDS, FIRST_PARTS);
    await playDeadly(LOAD_MILLISECONDS, () => ['first-0', 'deadly']);
    const tries = await sound;
    const third = system.engines.crashedAt[2] ?? Infinity;
    expect(mostArrivalsOfOneAttempt()).toBeLessThanOrEqual(
      ENDED_UNDER_ONE_ATTEMPT,
    );
    expect(arrivalsAfter(third + NOTICE_MILLISECONDS)).toBeLessThanOrEqual(
      ALLOWED_LATER,
    );
    const later = tries.filter(
      ({sentAt}) => sentAt > third + 2 * NOTICE_MILLISECONDS,
    );
    expect(later.length).toBeGreaterThan(20);
    expect(await traffic.servedShare(later)).toBeGreaterThan(LEAST_SHARE);
  }

  it.each([
    {name: 'few', firstParts: FIRST_PARTS, beginMilliseconds: 0},
    {
      name: 'many',
      firstParts: MANY_FIRST_PARTS,
      beginMilliseconds: SLOW_BEGIN_MILLISECONDS,
    },
  ])(
    'is stopped at all instances when requests share nothing with it but one part of their prompts, beside $name sound ones',
    async ({firstParts, beginMilliseconds}) => {
      system.engines.beginMilliseconds = beginMilliseconds;
      const before = await traffic.servedShare(
        await traffic.playSound(1_000, firstParts),
      );
      system.engines.deadlyParts.add('deadly');
      const sound = traffic.playSound(LOAD_MILLISECONDS, firstParts);
      await playDeadly(LOAD_MILLISECONDS, index => [
        firstParts[index % firstParts.length]!,
        'deadly',
        `own-${index}`,
      ]);
      const tries = await sound;
      const {crashedAt} = system.engines;
      const fifth = crashedAt[4] ?? crashedAt.at(-1)!;
      expect(arrivalsAfter(fifth + NOTICE_MILLISECONDS)).toBeLessThanOrEqual(
        ALLOWED_LATER,
      );
      const later = tries.filter(
        ({sentAt}) => sentAt > fifth + 2 * NOTICE_MILLISECONDS,
      );
      expect(later.length).toBeGreaterThan(20);
      expect(await traffic.servedShare(later)).toBeGreaterThan(
        LEAST_SHARE * before,
      );
    },
  );
});
