import {execFile} from 'node:child_process';
import process from 'node:process';
import {promisify} from 'node:util';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  BUNDLED_ROUTER,
  StandInSystem,
  waitFor,
} from '../standins/fleet/system.js';
import {builtProgramPath} from '../support/managedProcess.js';
import {sleep} from '../support/sleep.js';
import {PromptTraffic, RequestTry} from './promptTraffic.js';
import {waitUntilServing} from './sendRequest.js';

/** Requests with a prompt part under which upstreams crash, before and after all instances were killed. */

const INSTANCE_COUNT = 4;
const FIRST_PARTS = ['first-0', 'first-1', 'first-2'];
const DEADLY_PERIOD_MILLISECONDS = 300;
const DEADLY_COUNT = 15;
const CALM_MILLISECONDS = 1_500;

/** Sound requests come to an end before the first deadly ones and come again after the fifth crash, so that five are needed. */
const QUIET_MILLISECONDS = 1_000;

/** All requests with the part that come again are over in this time after the start. */
const AFTER_MILLISECONDS = 9_000;

/** The published bounds: from this long after a start, requests that may reach upstreams, and the share of sound ones that go on. */
const NOTICE_MILLISECONDS = 3_000;
const ALLOWED_LATER = 3;
const LEAST_SHARE = 0.5;
const COUNTED_CRASH = 5;

/** Time in which instances serve again. */
const START_MILLISECONDS = 10_000;

/** Time in which running instances learn that crashes are forgotten, as the operators' page tells. */
const FORGET_MILLISECONDS = 20_000;

interface KillCase {
  readonly name: string;
  /** From the crash that counts to the first kill. */
  readonly waitMilliseconds: number;
  readonly kill: (system: StandInSystem) => Promise<void>;
}

async function restartAll(system: StandInSystem): Promise<void> {
  await Promise.all(
    system.instances.map(({process: running}) => running.restart()),
  );
  await waitUntilReady(system);
}

/** Other instances start, with other names and addresses. */
async function replaceAll(system: StandInSystem): Promise<void> {
  const killed = system.instances.splice(0, INSTANCE_COUNT);
  await Promise.all(killed.map(({process: running}) => running.kill()));
  killed.forEach((_, index) =>
    system.startInstance(index % 2 === 0 ? 'north' : 'south'),
  );
  await waitUntilReady(system);
}

function waitUntilReady(system: StandInSystem): Promise<void> {
  return waitFor(async () => {
    const ready = await Promise.all(
      system.instances.map(instance => system.isReady(instance)),
    );
    return ready.every(Boolean);
  }, START_MILLISECONDS);
}

const cases: readonly KillCase[] = [
  {name: 'at once', waitMilliseconds: 3_000, kill: restartAll},
  {
    name: 'a second after the fifth crash, and then once more',
    waitMilliseconds: 1_000,
    kill: async system => {
      await restartAll(system);
      await restartAll(system);
    },
  },
  {name: 'and replaced', waitMilliseconds: 3_000, kill: replaceAll},
];

describe('a prompt part under which upstreams crash', () => {
  let system: StandInSystem;
  let traffic: PromptTraffic;

  beforeEach(async () => {
    system = await StandInSystem.start(INSTANCE_COUNT);
    system.engines.followsTokenCount = true;
    traffic = new PromptTraffic(() => system.instances);
    await waitUntilServing(system.instances);
  });

  afterEach(() => system.stop());

  /** Sends requests with the part, the first ones at once. */
  async function playDeadly(name: string): Promise<readonly RequestTry[]> {
    const tries: RequestTry[] = [];
    for (let index = 0; index < DEADLY_COUNT; index++) {
      const first = FIRST_PARTS[index % 3]!;
      tries.push(traffic.send([first, 'deadly', `${name}-${index}`]));
      if (index >= FIRST_PARTS.length - 1) {
        await sleep(DEADLY_PERIOD_MILLISECONDS);
      }
    }
    await Promise.all(tries.map(({response}) => response));
    return tries;
  }

  /** Identifiers of the requests that were refused for their prompts. */
  function refusedForPrompt(tries: readonly RequestTry[]): readonly string[] {
    const blocked = system.instances
      .flatMap(({process: running}) => running.logLines())
      .filter(({decision}) => decision === 'requestBlocked')
      .map(({request}) => request);
    return tries.map(({id}) => id).filter(id => blocked.includes(id));
  }

  it.each(cases)(
    'is known, and sound requests go on, after all instances were killed $name',
    async ({waitMilliseconds, kill}) => {
      const before = await traffic.playSound(CALM_MILLISECONDS, FIRST_PARTS);
      await sleep(QUIET_MILLISECONDS);
      system.engines.deadlyParts.add('deadly');
      const {crashedAt, deadlyArrivals} = system.engines;
      const deadly = playDeadly('own-before');
      await waitFor(
        () => crashedAt.length >= COUNTED_CRASH,
        DEADLY_COUNT * DEADLY_PERIOD_MILLISECONDS,
      );
      void traffic.playSound(waitMilliseconds, FIRST_PARTS);
      await sleep(waitMilliseconds);
      await kill(system);
      await deadly;
      const sound = traffic.playSound(AFTER_MILLISECONDS, FIRST_PARTS);
      await sleep(NOTICE_MILLISECONDS);
      const arrived = deadlyArrivals.length;
      const deadlyAfter = await playDeadly('own-after');
      const after = await sound;
      expect(deadlyArrivals.length - arrived).toBeLessThanOrEqual(
        ALLOWED_LATER,
      );
      expect(refusedForPrompt(deadlyAfter)).not.toEqual([]);
      expect(refusedForPrompt(after)).toEqual([]);
      expect(await traffic.servedShare(after)).toBeGreaterThanOrEqual(
        LEAST_SHARE * (await traffic.servedShare(before)),
      );
    },
  );

  it('is forgotten by running instances on the operators’ command', async () => {
    void traffic.playSound(CALM_MILLISECONDS, FIRST_PARTS);
    system.engines.deadlyParts.add('deadly');
    await playDeadly('own-before');
    system.engines.deadlyParts.clear();
    const [instance] = system.instances;
    const program = builtProgramPath(BUNDLED_ROUTER);
    const command = await promisify(execFile)(process.execPath, [
      program,
      instance!.settingsFile,
      '--forget-crashes',
    ]);
    expect(command.stdout).toContain('forgot crashes');
    await waitFor(async () => {
      const tries = system.instances.map(() =>
        traffic.send(['first-0', 'deadly']),
      );
      return (await traffic.servedShare(tries)) === 1;
    }, FORGET_MILLISECONDS);
  });
});
