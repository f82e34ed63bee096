import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {DeadlyBehaviour} from '../standins/fleet/layeredEngine.js';
import {
  RouterInstance,
  StandInSystem,
  waitFor,
} from '../standins/fleet/system.js';
import {sleep} from '../support/sleep.js';
import {eventIdsOf, sendRequest, waitUntilServing} from './sendRequest.js';

/** A request under which upstreams end, and whose caller repeats it at other instances as soon as it has failed. */

const INSTANCE_COUNT = 7;
const DEADLY_EVENT_COUNT = 400;

/** Requests that are played one after the other, each with a prompt of its own. */
const PROMPTS = ['deadly-0', 'deadly-1', 'deadly-2'];
const REPEATS = 4;
const SOUND_PERIOD_MILLISECONDS = 25;

/** Upstreams that may end under a request and its repeats. */
const ALLOWED_ENDS = 3;

/** Time in which engines that have ended are back and hold layers. */
const RECOVERY_MILLISECONDS = 4_000;

interface RepeatCase extends DeadlyBehaviour {
  readonly name: string;
}

const cases: readonly RepeatCase[] = [
  {
    name: 'before they write',
    delayMilliseconds: 100,
    writes: false,
    silentMilliseconds: 0,
  },
  {
    name: 'after 100 ms of writing',
    delayMilliseconds: 100,
    writes: true,
    silentMilliseconds: 0,
  },
  {
    name: 'after 700 ms of writing',
    delayMilliseconds: 700,
    writes: true,
    silentMilliseconds: 0,
  },
  {
    name: 'that had fallen silent first',
    delayMilliseconds: 700,
    writes: true,
    silentMilliseconds: 4_000,
  },
];

/** Callers leave a stream after this long without an event. */
const PATIENCE_MILLISECONDS = 2_000;

const PLAIN_REPLICAS_PER_ZONE = 6;
const DEADLY_STREAM = '/chat/deadly?order=1';
const DEADLY_TARGET = '/look/deadly?order=1';

describe('a request under which upstreams end and that its caller repeats at once elsewhere', () => {
  let system: StandInSystem;

  beforeEach(async () => {
    system = await StandInSystem.start(INSTANCE_COUNT);
    system.engines.followsTokenCount = true;
    await waitUntilServing(system.instances);
  });

  afterEach(() => system.stop());

  /** Sends sound requests to all instances in turn until the returned function is called. */
  function startSoundLoad(): () => void {
    let index = 0;
    const timer = setInterval(() => {
      const instance = system.instances[index % INSTANCE_COUNT]!;
      const prompt = `first-${index % 3}:10,sound-${index}:10`;
      index++;
      const headers = {'prefix-hash': prompt, 'token-count': '100,30'};
      sendRequest(instance, '/chat/x', {headers}).catch(() => undefined);
    }, SOUND_PERIOD_MILLISECONDS);
    return () => clearInterval(timer);
  }

  /** Sends a request and its repeats to one instance after the other; without a part it names no prompt. */
  async function playRepeats(
    part: string | undefined,
    first: number,
    beforeRepeat: (instance: RouterInstance) => Promise<void> = async () =>
      undefined,
  ): Promise<void> {
    const prompt: Readonly<Record<string, string>> =
      part === undefined ? {} : {'prefix-hash': `first-0:10,${part}:10`};
    const target = part === undefined ? DEADLY_STREAM : '/chat/x';
    let lastEvent = 0;
    for (let index = first; index <= first + REPEATS; index++) {
      const instance = system.instances[index % INSTANCE_COUNT]!;
      if (index > first) {
        await beforeRepeat(instance);
      }
      const response = await sendRequest(instance, target, {
        headers: {
          ...prompt,
          'token-count': `100,${DEADLY_EVENT_COUNT}`,
          ...(lastEvent > 0 ? {'last-event-id': String(lastEvent)} : {}),
        },
        patienceMilliseconds: PATIENCE_MILLISECONDS,
      }).catch(() => undefined);
      const received = response === undefined ? [] : eventIdsOf(response);
      lastEvent = received.at(-1) ?? lastEvent;
    }
  }

  /** How often upstreams got the request that was played last, after three had ended under it. */
  function arrivalsAfterThirdEnd(endsBefore: number): number {
    const {deadlyArrivals, endedAt} = system.engines;
    const third = endedAt[endsBefore + ALLOWED_ENDS - 1] ?? Infinity;
    return deadlyArrivals.filter(({at}) => at > third).length;
  }

  it.each(cases)(
    'reaches no upstream after three have ended $name',
    async ({name: _, ...behaviour}) => {
      system.engines.deadlyBehaviour = behaviour;
      const stopSoundLoad = startSoundLoad();
      const later: number[] = [];
      for (const [index, part] of PROMPTS.entries()) {
        system.engines.deadlyParts.add(part);
        const endsBefore = system.engines.endedAt.length;
        await playRepeats(part, index);
        later.push(arrivalsAfterThirdEnd(endsBefore));
        await sleep(RECOVERY_MILLISECONDS + behaviour.silentMilliseconds);
      }
      stopSoundLoad();
      expect(later).toEqual(PROMPTS.map(() => 0));
    },
  );

  it.each(cases)(
    'reaches no upstream after three have ended $name, without a prompt part',
    async ({name: _, ...behaviour}) => {
      system.engines.deadlyBehaviour = behaviour;
      system.engines.deadlyTargets.add(DEADLY_STREAM);
      const stopSoundLoad = startSoundLoad();
      await playRepeats(undefined, 0);
      stopSoundLoad();
      expect(arrivalsAfterThirdEnd(0)).toBe(0);
    },
  );

  it('reaches no upstream after three have ended before they write, when each instance is started again before its repeat', async () => {
    const [part] = PROMPTS;
    system.engines.deadlyParts.add(part!);
    const stopSoundLoad = startSoundLoad();
    await playRepeats(part, 0, async instance => {
      await instance.process.restart();
      await waitFor(() => system.isReady(instance), RECOVERY_MILLISECONDS);
    });
    stopSoundLoad();
    expect(arrivalsAfterThirdEnd(0)).toBe(0);
  });

  it('reaches no replica of a plain service after three have ended', async () => {
    for (const zone of ['north', 'south']) {
      for (let index = 0; index < PLAIN_REPLICAS_PER_ZONE; index++) {
        await system.startPlainReplica(`plain-${zone}-${index}`, zone);
      }
    }
    await sleep(RECOVERY_MILLISECONDS);
    system.plainReplicas.forEach(replica => {
      replica.deadlyTarget = DEADLY_TARGET;
    });
    for (const instance of system.instances) {
      await sendRequest(instance, DEADLY_TARGET, {method: 'GET'});
    }
    const executed = system.plainReplicas.flatMap(
      ({executedRequests}) => executedRequests,
    );
    const deadly = executed.filter(({target}) => target === DEADLY_TARGET);
    expect(deadly.length).toBeLessThanOrEqual(ALLOWED_ENDS);
  });
});
