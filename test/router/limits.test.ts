import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {RouterInstance, StandInSystem} from '../standins/fleet/system.js';
import {sleep} from '../support/sleep.js';
import {sendRequest, waitUntilServing} from './sendRequest.js';

/** Upstreams that name a limit of requests a second for all instances together. */

const INSTANCE_COUNT = 4;

/** Load on all instances together. */
const REQUEST_PERIOD_MILLISECONDS = 50;
const LOAD_MILLISECONDS = 9_000;

/** Requests a second that the limited upstreams take. */
const LIMIT_PER_SECOND = 1.9;

/** The published bound: from this long after the limit was first named, in each window no more than its share and slack. */
const NOTICE_MILLISECONDS = 3_000;
const WINDOW_MILLISECONDS = 4_000;
const ALLOWED_SHARE = 1.5;
const ALLOWED_SLACK = 5;

interface LimitedUpstream {
  readonly arrivedAt: readonly number[];
  requestLimit: number | undefined;
}

/** The most arrivals in any window that begins after a time. */
function mostArrivalsInWindow(
  arrivedAt: readonly number[],
  from: number,
): number {
  const counted = arrivedAt.filter(at => at >= from);
  const counts = counted.map(
    start =>
      counted.filter(at => at >= start && at < start + WINDOW_MILLISECONDS)
        .length,
  );
  return Math.max(0, ...counts);
}

/** The most requests in one window that the published bound allows at a limit. */
function allowedInWindow(requestsPerSecond: number): number {
  const named = (requestsPerSecond * WINDOW_MILLISECONDS) / 1_000;
  return ALLOWED_SHARE * named + ALLOWED_SLACK;
}

function expectWithinLimit(
  {arrivedAt, requestLimit}: LimitedUpstream,
  namedAt: number,
): void {
  const most = mostArrivalsInWindow(arrivedAt, namedAt + NOTICE_MILLISECONDS);
  expect(most).toBeLessThanOrEqual(allowedInWindow(requestLimit ?? Infinity));
}

describe('an upstream that names a limit', () => {
  let system: StandInSystem;

  beforeEach(async () => {
    system = await StandInSystem.start(INSTANCE_COUNT);
    await waitUntilServing(system.instances);
  });

  afterEach(() => system.stop());

  /** Sends requests to the instances in turn; resolves with the share that was served. */
  async function playLoad(
    path: string,
    instances: () => readonly RouterInstance[],
  ): Promise<number> {
    const statuses: Array<Promise<number>> = [];
    const end = performance.now() + LOAD_MILLISECONDS;
    for (let index = 0; performance.now() < end; index++) {
      const available = instances();
      const instance = available[index % available.length]!;
      const response = sendRequest(instance, path).then(({status}) => status);
      statuses.push(response.catch(() => 0));
      await sleep(REQUEST_PERIOD_MILLISECONDS);
    }
    const all = await Promise.all(statuses);
    return all.filter(status => status === 200).length / all.length;
  }

  function limitEntryEngine(): LimitedUpstream {
    const entry = system.engines.engines.find(
      ({firstLayer}) => firstLayer === 0,
    )!;
    entry.requestLimit = LIMIT_PER_SECOND;
    return entry;
  }

  function limitPlainReplica(): LimitedUpstream {
    const [replica] = system.plainReplicas;
    replica!.requestLimit = LIMIT_PER_SECOND;
    return replica!;
  }

  it.each<{
    name: string;
    path: string;
    limit: () => LimitedUpstream;
  }>([
    {
      name: 'an entry engine',
      path: '/chat/x',
      limit: limitEntryEngine,
    },
    {
      name: 'a plain replica',
      path: '/look/',
      limit: limitPlainReplica,
    },
  ])(
    'gets no more than it named from all instances together, and the other upstreams serve the rest: $name',
    async ({path, limit}) => {
      const limited = limit();
      const namedAt = performance.now();
      const served = await playLoad(path, () => system.instances);
      expectWithinLimit(limited, namedAt);
      expect(served).toBeGreaterThan(0.98);
    },
  );

  it('is used up to about its limit, not left idle, while it names one', async () => {
    const limited = limitEntryEngine();
    const namedAt = performance.now();
    await playLoad('/chat/x', () => system.instances);
    const from = namedAt + NOTICE_MILLISECONDS;
    const counted = limited.arrivedAt.filter(at => at >= from);
    const seconds = (LOAD_MILLISECONDS - NOTICE_MILLISECONDS) / 1_000;
    expect(counted.length / seconds).toBeGreaterThan(LIMIT_PER_SECOND / 2);
    expect(counted.length / seconds).toBeLessThan(
      ALLOWED_SHARE * LIMIT_PER_SECOND,
    );
  });

  it('gets no more than it named while an instance is restarted', async () => {
    const limited = limitEntryEngine();
    const namedAt = performance.now();
    const restart = sleep(NOTICE_MILLISECONDS).then(async () => {
      const [stopping] = system.instances.splice(1, 1);
      await stopping!.process.terminate();
      system.instances.push(system.startInstance('south'));
    });
    await playLoad('/chat/x', () => system.instances.slice(0, 3));
    await restart;
    expectWithinLimit(limited, namedAt);
  });

  it('makes callers come back later when no other upstream can serve them', async () => {
    const limited = system.engines.engines;
    limited.forEach(engine => (engine.requestLimit = LIMIT_PER_SECOND));
    const namedAt = performance.now();
    await playLoad('/chat/x', () => system.instances);
    limited.forEach(upstream => expectWithinLimit(upstream, namedAt));
    const startedAt = performance.now();
    const responses = await Promise.all(
      [...Array(12).keys()].map(index =>
        sendRequest(system.instances[index % INSTANCE_COUNT]!, '/chat/x'),
      ),
    );
    const refused = responses.filter(({status}) => status === 503);
    expect(refused.length).toBeGreaterThan(6);
    expect(performance.now() - startedAt).toBeLessThan(2_000);
    for (const {headers} of refused) {
      expect(Number(headers['retry-after'])).toBeGreaterThan(0);
    }
  });
});
