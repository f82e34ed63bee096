import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {
  makeConfiguration,
  RouterInstance,
  StandInSystem,
} from '../standins/fleet/system.js';
import {holdInTurns} from '../support/heldProcess.js';
import {sleep} from '../support/sleep.js';
import {
  eventIdsOf,
  RecordedResponse,
  sendRequest,
  waitUntilServing,
} from './sendRequest.js';

/** Instances whose event loop is late, since their process is held by signals. */

/** The users' bound: no request reaches an upstream later than this after its caller left. */
const LEFT_BOUND_MILLISECONDS = 500;
/** The users' bound at size: a version that the store has acknowledged is in force after this. */
const VERSION_BOUND_MILLISECONDS = 3_000;

const PAUSE_MILLISECONDS = 1_500;
const REQUESTS_IN_PAUSE = 60;
/** All callers have left at the end of the pause. */
const SEND_MILLISECONDS = 8;
const LEAVE_MILLISECONDS = 400;

const HELD_MILLISECONDS = 10_000;
const LOAD_PERIOD_MILLISECONDS = 25;
const PATIENCE_MILLISECONDS = 500;
const SETTLE_MILLISECONDS = 1_500;
const EVENTS_OF_STREAM = 30;

const RUN_SHARES = [
  {runMilliseconds: 30, periodMilliseconds: 330},
  {runMilliseconds: 40, periodMilliseconds: 740},
  {runMilliseconds: 60, periodMilliseconds: 1_060},
  {runMilliseconds: 100, periodMilliseconds: 1_600},
];

/** A request of a caller that leaves when it has waited too long. */
interface SentRequest {
  readonly id: string;
  readonly path: string;
  readonly leftAt: () => number | undefined;
  readonly response: Promise<RecordedResponse | undefined>;
}

let system: StandInSystem;
let requestCount = 0;

async function start(): Promise<void> {
  system = await StandInSystem.start(3);
  await waitUntilServing(system.instances);
}

/** Publishes a configuration without the route `open`; returns when the store has acknowledged it. */
function removeOpenRoute(): number {
  const {Routes, ...rest} = makeConfiguration(2);
  system.store.put('op', 'config', {
    ...rest,
    Routes: Routes.filter(({Name}) => Name !== 'open'),
  });
  return performance.now();
}

function send(
  instance: RouterInstance,
  path: string,
  patienceMilliseconds: number,
): SentRequest {
  const id = `late-${++requestCount}`;
  let leftAt: number | undefined;
  const response = sendRequest(instance, path, {
    method: path.startsWith('/look/') ? 'GET' : 'POST',
    headers: {'request-id': id},
    patienceMilliseconds,
  }).catch(() => {
    leftAt = performance.now();
    return undefined;
  });
  return {id, path, leftAt: () => leftAt, response};
}

/** Requests that reached an upstream long after their callers had left. */
function reachedTooLate(sent: readonly SentRequest[]): readonly string[] {
  return sent
    .filter(({id, leftAt}) =>
      system.upstreamLog.calls.some(
        ({requestId, arrivedAt}) =>
          requestId === id &&
          arrivedAt > (leftAt() ?? Infinity) + LEFT_BOUND_MILLISECONDS,
      ),
    )
    .map(({id, path}) => `${path} ${id}`);
}

function isServed(
  path: string,
  response: RecordedResponse | undefined,
): boolean {
  const isWhole = response?.status === 200 && response.isComplete;
  return path.startsWith('/chat/')
    ? isWhole && eventIdsOf(response).length === EVENTS_OF_STREAM
    : isWhole;
}

/** Sends requests to an instance for a time. */
async function playLoad(
  instance: RouterInstance,
  path: string,
  milliseconds: number,
): Promise<readonly SentRequest[]> {
  const sent: SentRequest[] = [];
  const end = performance.now() + milliseconds;
  while (performance.now() < end) {
    sent.push(send(instance, path, PATIENCE_MILLISECONDS));
    await sleep(LOAD_PERIOD_MILLISECONDS);
  }
  await Promise.all(sent.map(({response}) => response));
  return sent;
}

describe('an instance that was held', () => {
  beforeAll(start);
  afterAll(() => system?.stop());

  it.each(['/book/x', '/look/x', '/chat/x'])(
    'sends no request on to %s whose caller left while it waited to be read',
    async path => {
      const instance = system.instances[0]!;
      const sent: SentRequest[] = [];
      instance.process.freeze();
      const start = performance.now();
      for (let index = 0; index < REQUESTS_IN_PAUSE; index++) {
        sent.push(send(instance, path, LEAVE_MILLISECONDS));
        await sleep(SEND_MILLISECONDS);
      }
      await sleep(start + PAUSE_MILLISECONDS - performance.now());
      instance.process.resume();
      await sleep(SETTLE_MILLISECONDS);
      expect(reachedTooLate(sent)).toEqual([]);
      const next = await sendRequest(instance, path);
      expect(isServed(path, next)).toBe(true);
    },
  );
});

describe.each(RUN_SHARES)(
  'an instance that runs $runMilliseconds of $periodMilliseconds ms',
  share => {
    let sent: readonly SentRequest[];
    let sentToRemovedRoute: readonly SentRequest[];
    let removedAt: number;
    let configurationFailures: readonly unknown[];

    beforeAll(async () => {
      await start();
      const instance = system.instances[0]!;
      const held = holdInTurns(instance.process, share);
      const load = playLoad(instance, '/book/x', HELD_MILLISECONDS);
      await sleep(SETTLE_MILLISECONDS);
      removedAt = removeOpenRoute();
      await sleep(VERSION_BOUND_MILLISECONDS);
      sentToRemovedRoute = await playLoad(
        instance,
        '/open/x',
        HELD_MILLISECONDS - SETTLE_MILLISECONDS - VERSION_BOUND_MILLISECONDS,
      );
      sent = await load;
      held.dispose();
      await sleep(SETTLE_MILLISECONDS);
      configurationFailures = instance.process
        .logLines()
        .filter(({msg}) => msg === 'configuration update failed')
        .map(({detail}) => detail);
    });

    afterAll(() => system?.stop());

    it('sends no request on whose caller has left', () => {
      expect(reachedTooLate([...sent, ...sentToRemovedRoute])).toEqual([]);
    });

    it('serves some callers', async () => {
      const responses = await Promise.all(sent.map(({response}) => response));
      const served = responses.filter(response =>
        isServed('/book/x', response),
      );
      expect(served.length).toBeGreaterThan(0);
    });

    it('does not take the store for silent', () => {
      expect(configurationFailures).toEqual([]);
    });

    it('sends no request on by a route that was removed', () => {
      const ran = system.upstreamLog.calls.filter(
        ({target, arrivedAt}) =>
          target.startsWith('/open/') &&
          arrivedAt > removedAt + VERSION_BOUND_MILLISECONDS,
      );
      expect(ran).toEqual([]);
    });
  },
);
