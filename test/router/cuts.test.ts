import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {CutMode} from '../standins/fleet/cut.js';
import {RouterInstance, StandInSystem} from '../standins/fleet/system.js';
import {sleep} from '../support/sleep.js';
import {
  eventIdsOf,
  RecordedResponse,
  sendRequest,
  waitUntilServing,
} from './sendRequest.js';

/** Instances that lose their links to all upstreams while callers, the store and the other instances reach them. */

const INSTANCE_COUNT = 4;
const REQUEST_PERIOD_MILLISECONDS = 40;
const EVENT_COUNT = 30;

/** The published bound: from this long after the cut, callers are served at least this share as often as elsewhere. */
const NOTICE_MILLISECONDS = 3_000;
const CUT_MILLISECONDS = 7_000;
const LEAST_SHARE = 2 / 3;

/** The published bound: from half a second after an upstream asked an instance for rest, two requests of it. */
const REST_SECONDS = 4;
const REST_NOTICE_MILLISECONDS = 500;
const REQUESTS_IN_REST = 2;

/** Time in which each instance sends the upstream a request. */
const ALL_ASKED_MILLISECONDS = 1_000;

const PATHS = ['/chat/x', '/chat/y', '/book/', '/look/'];

interface FirstTry {
  readonly instance: RouterInstance;
  readonly path: string;
  readonly response: Promise<RecordedResponse | undefined>;
}

/** Share of the first tries that were served whole. */
async function servedShare(tries: readonly FirstTry[]): Promise<number> {
  const served = await Promise.all(
    tries.map(async ({path, response}) => {
      const received = await response;
      const isWhole = received?.status === 200 && received.isComplete;
      return path.startsWith('/chat/')
        ? isWhole && eventIdsOf(received).length === EVENT_COUNT
        : isWhole;
    }),
  );
  return served.filter(Boolean).length / Math.max(1, served.length);
}

describe('instances that are cut off from all upstreams', () => {
  let system: StandInSystem;

  beforeEach(async () => {
    system = await StandInSystem.startCuttable(INSTANCE_COUNT);
    await waitUntilServing(system.instances);
  });

  afterEach(() => system.stop());

  /** Sends requests to all instances in turn for a time. */
  async function playLoad(milliseconds: number): Promise<readonly FirstTry[]> {
    const tries: FirstTry[] = [];
    const end = performance.now() + milliseconds;
    for (let index = 0; performance.now() < end; index++) {
      const instance = system.instances[index % INSTANCE_COUNT]!;
      const turn = Math.floor(index / INSTANCE_COUNT);
      const path = PATHS[turn % PATHS.length]!;
      const response = sendRequest(instance, path).catch(() => undefined);
      tries.push({instance, path, response});
      await sleep(REQUEST_PERIOD_MILLISECONDS);
    }
    return tries;
  }

  /** Cuts off instances under load; resolves with the first tries there and elsewhere after the notice. */
  async function playCut(cutOff: readonly RouterInstance[], mode: CutMode) {
    await playLoad(500);
    system.cut(cutOff, mode);
    const early = await playLoad(NOTICE_MILLISECONDS);
    const late = await playLoad(CUT_MILLISECONDS - NOTICE_MILLISECONDS);
    const isCutOff = ({instance}: FirstTry): boolean =>
      cutOff.includes(instance);
    return {
      early,
      there: await servedShare(late.filter(isCutOff)),
      elsewhere: await servedShare(late.filter(tried => !isCutOff(tried))),
    };
  }

  /** Ids of the requests that may run once at most and ran more often. */
  function repeatedBookings(): readonly string[] {
    const ids = system.plainReplicas
      .flatMap(({executedRequests}) => executedRequests)
      .filter(({target}) => target === '/book/')
      .map(({headers}) => headers[headers.indexOf('request-id') + 1]!);
    return ids.filter((id, index) => ids.indexOf(id) !== index);
  }

  it.each<{mode: CutMode; indexes: readonly number[]; whom: string}>([
    {mode: 'reset', indexes: [0, 2], whom: 'a whole data centre'},
    {mode: 'hang', indexes: [0, 2], whom: 'a whole data centre'},
    {mode: 'refuseNew', indexes: [0, 2], whom: 'a whole data centre'},
    {mode: 'hang', indexes: [0, 1, 2], whom: 'all but one instance'},
  ])(
    'serve callers about as often as the others when links $mode for $whom',
    async ({mode, indexes}) => {
      const cutOff = indexes.map(index => system.instances[index]!);
      const {there, elsewhere} = await playCut(cutOff, mode);
      expect(there).toBeGreaterThanOrEqual(LEAST_SHARE * elsewhere);
      expect(elsewhere).toBeGreaterThan(0.9);
      expect(repeatedBookings()).toEqual([]);
    },
  );

  it.each<{mode: CutMode}>([{mode: 'reset'}, {mode: 'hang'}])(
    'finish the streams that were running when links $mode',
    async ({mode}) => {
      const cutOff = [system.instances[0]!, system.instances[2]!];
      const requests = [...Array(8).keys()].map(index =>
        sendRequest(cutOff[index % cutOff.length]!, '/chat/x'),
      );
      await sleep(100);
      system.cut(cutOff, mode);
      for (const response of await Promise.all(requests)) {
        expect(response).toMatchObject({status: 200, isComplete: true});
        expect(eventIdsOf(response)).toHaveLength(EVENT_COUNT);
      }
    },
  );

  it('keep off an upstream that asked for rest, and so do the peers that relay for them', async () => {
    const cutOff = [system.instances[0]!, system.instances[2]!];
    system.cut(cutOff, 'reset');
    await playLoad(NOTICE_MILLISECONDS);
    const [resting] = system.plainReplicas;
    resting!.behaviour = 'refuse';
    resting!.restSeconds = REST_SECONDS;
    const arrivalsBefore = resting!.arrivedAt.length;
    await playLoad(REST_SECONDS * 1_000);
    const arrivals = resting!.arrivedAt.slice(arrivalsBefore);
    const [askedAt = 0] = arrivals;
    const inRest = arrivals.filter(
      at =>
        at > askedAt + ALL_ASKED_MILLISECONDS + REST_NOTICE_MILLISECONDS &&
        at < askedAt + REST_SECONDS * 1_000,
    );
    expect(arrivals.length).toBeGreaterThan(0);
    expect(inRest.length).toBeLessThanOrEqual(
      REQUESTS_IN_REST * INSTANCE_COUNT,
    );
  });

  it('serve callers again over their own links after the cut', async () => {
    const cutOff = [system.instances[0]!, system.instances[2]!];
    await playCut(cutOff, 'hang');
    system.cut(cutOff, 'none');
    await sleep(NOTICE_MILLISECONDS);
    const others = system.instances.filter(
      instance => !cutOff.includes(instance),
    );
    await Promise.all(others.map(({process}) => process.kill()));
    await sleep(NOTICE_MILLISECONDS);
    const responses = await Promise.all(
      cutOff.map(instance => sendRequest(instance, '/look/')),
    );
    expect(responses.map(({status}) => status)).toEqual([200, 200]);
  });
});
