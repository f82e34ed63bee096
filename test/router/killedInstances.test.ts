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
import {
  eventIdsOf,
  RecordedResponse,
  sendRequest,
  waitUntilServing,
} from './sendRequest.js';

/** Requests with a prompt part under which upstreams crash, before and after all instances were killed. */

const INSTANCE_COUNT = 4;
const EVENT_COUNT = 30;
const FIRST_PARTS = ['first-0', 'first-1', 'first-2'];
const SOUND_PERIOD_MILLISECONDS = 25;
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
  let sentCount = 0;

  beforeEach(async () => {
    system = await StandInSystem.start(INSTANCE_COUNT);
    system.engines.followsTokenCount = true;
    await waitUntilServing(system.instances);
  });

  afterEach(() => system.stop());

  function send(
    promptParts: readonly string[],
  ): Promise<RecordedResponse | undefined> {
    const instance = system.instances[sentCount++ % INSTANCE_COUNT]!;
    const prompt = promptParts.map(part => `${part}:10`).join(',');
    return sendRequest(instance, '/chat/x', {
      headers: {'prefix-hash': prompt, 'token-count': `100,${EVENT_COUNT}`},
    }).catch(() => undefined);
  }

  /** Sends sound requests; resolves with the responses. */
  async function playSound(
    milliseconds: number,
    name: string,
  ): Promise<ReadonlyArray<RecordedResponse | undefined>> {
    const responses: Array<Promise<RecordedResponse | undefined>> = [];
    const end = performance.now() + milliseconds;
    for (let index = 0; performance.now() < end; index++) {
      responses.push(send([FIRST_PARTS[index % 3]!, `${name}-${index}`]));
      await sleep(SOUND_PERIOD_MILLISECONDS);
    }
    return Promise.all(responses);
  }

  /** Sends requests with the part, the first ones at once. */
  async function playDeadly(name: string): Promise<void> {
    const responses: Array<Promise<unknown>> = [];
    for (let index = 0; index < DEADLY_COUNT; index++) {
      const first = FIRST_PARTS[index % 3]!;
      responses.push(send([first, 'deadly', `${name}-${index}`]));
      if (index >= FIRST_PARTS.length - 1) {
        await sleep(DEADLY_PERIOD_MILLISECONDS);
      }
    }
    await Promise.all(responses);
  }

  function isServed(response: RecordedResponse | undefined): boolean {
    return (
      response?.status === 200 && eventIdsOf(response).length === EVENT_COUNT
    );
  }

  /** Responses to requests that were refused for their prompts. */
  function refusedForPrompt(
    responses: ReadonlyArray<RecordedResponse | undefined>,
  ): ReadonlyArray<RecordedResponse | undefined> {
    const blocked = system.instances
      .flatMap(({process: running}) => running.log().split('\n'))
      .filter(line => line.includes('"requestBlocked"'));
    return responses.filter(response => {
      const id = response?.headers['request-id'];
      return blocked.some(line => line.includes(`"request":"${String(id)}"`));
    });
  }

  it.each(cases)(
    'is known, and sound requests go on, after all instances were killed $name',
    async ({waitMilliseconds, kill}) => {
      const before = await playSound(CALM_MILLISECONDS, 'sound-before');
      await sleep(QUIET_MILLISECONDS);
      system.engines.deadlyParts.add('deadly');
      const {crashedAt, deadlyArrivals} = system.engines;
      const deadly = playDeadly('own-before');
      await waitFor(
        () => crashedAt.length >= COUNTED_CRASH,
        DEADLY_COUNT * DEADLY_PERIOD_MILLISECONDS,
      );
      void playSound(waitMilliseconds, 'sound-between');
      await sleep(waitMilliseconds);
      await kill(system);
      await deadly;
      const sound = playSound(AFTER_MILLISECONDS, 'sound-after');
      await sleep(NOTICE_MILLISECONDS);
      const arrived = deadlyArrivals.length;
      await playDeadly('own-after');
      const after = await sound;
      expect(deadlyArrivals.length - arrived).toBeLessThanOrEqual(
        ALLOWED_LATER,
      );
      expect(refusedForPrompt(after)).toEqual([]);
      const shareBefore = before.filter(isServed).length / before.length;
      const shareAfter = after.filter(isServed).length / after.length;
      expect(shareAfter).toBeGreaterThanOrEqual(LEAST_SHARE * shareBefore);
    },
  );

  it('is forgotten by running instances on the operators’ command', async () => {
    void playSound(CALM_MILLISECONDS, 'sound');
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
      const responses = system.instances.map(() => send(['first-0', 'deadly']));
      return (await Promise.all(responses)).every(isServed);
    }, FORGET_MILLISECONDS);
  });
});
