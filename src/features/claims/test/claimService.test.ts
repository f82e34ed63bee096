import {once} from 'node:events';
import {AddressInfo, createServer} from 'node:net';

import {afterEach, describe, expect, test} from 'vitest';

import {neverCancelled} from '../../../base/common/cancellation.js';
import {
  Logger,
  SilentLogger,
} from '../../../infrastructure/logging/common/logger.js';
import {SilentMetrics} from '../../../infrastructure/metrics/common/metrics.js';
import {
  createRpcClient,
  serveRpc,
} from '../../../infrastructure/rpc/node/rpc.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {InMemoryPlatform} from '../../../../test/support/inMemoryPlatform.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {BoundKeyRegistry} from '../common/boundKeyRegistry.js';
import {ClaimRowSweeper} from '../common/claimRowSweeper.js';
import {claimRowKey, formatClaimRecord} from '../common/claimRecord.js';
import {ClaimSettings, defaultClaimSettings} from '../common/claimSettings.js';
import {EndedKeyCache} from '../common/endedKeyCache.js';
import {GatheringWriter} from '../common/gatheringWriter.js';
import {GroupCommitter} from '../common/groupCommitter.js';
import {OutcomeRecorder} from '../common/outcomeRecorder.js';
import {RowWriter} from '../common/rowWriter.js';
import {ClaimRouter, createClaimRouter} from '../node/claimRouter.js';
import {GrantSigner} from '../node/grantSigner.js';
import {RpcClaimPeers} from '../node/rpcClaimPeers.js';
import {
  ACCOUNT,
  ClaimSimulation,
  completed,
  notRun,
  testSettings,
  SimulatedClaimPeers,
  SimulatedPeerDirectory,
} from './claimSimulation.js';

const simulations: ClaimSimulation[] = [];

function newSimulation(count: number, settings: ClaimSettings = testSettings) {
  const simulation = new ClaimSimulation(count, {}, settings);
  simulations.push(simulation);
  return simulation;
}

afterEach(() => {
  simulations.splice(0).forEach(simulation => simulation.dispose());
});

async function claim(
  simulation: ClaimSimulation,
  slot: number,
  key: string,
  wait = 500,
  fingerprint?: string,
) {
  const {service} = simulation.slots[slot]!;
  const decision = service.claim(ACCOUNT, key, neverCancelled, fingerprint);
  await simulation.advance(wait);
  return decision;
}

function duplicateOf(outcome: RequestOutcome) {
  return {kind: 'duplicate', outcome};
}

function heldElsewhereWith(outcome: RequestOutcome) {
  return {kind: 'heldElsewhere', outcome};
}

/** A table without claim services. */
function newTable() {
  const clock = new FakeClock();
  const platform = new InMemoryPlatform(clock);
  return {clock, platform, table: platform.servicesFor().table};
}

describe('grants', () => {
  const signer = new GrantSigner('new', ['old']);
  const grantOf = (by: GrantSigner) => by.sign('inc', 5000, 'desk');
  const grant = grantOf(signer);
  const former = grantOf(new GrantSigner('old'));
  const unknown = grantOf(new GrantSigner('bad'));

  test.each([
    ['valid grant', 'bound', 'desk', `${grant}.a`],
    ['a suffix with dots', 'bound', 'desk', `${grant}.a.b`],
    ['another account', 'invalid', 'yard', `${grant}.a`],
    ['no suffix', 'invalid', 'desk', `${grant}.`],
    [
      'another incarnation',
      'invalid',
      'desk',
      `${grant.replace('inc', 'inx')}.a`,
    ],
    [
      'another expiry',
      'invalid',
      'desk',
      `${grant.replace('.3uw.', '.3uz.')}.a`,
    ],
    ['a grant of a former peer key', 'bound', 'desk', `${former}.a`],
    ['a grant of an unknown peer key', 'invalid', 'desk', `${unknown}.a`],
    ['no grant', 'plain', 'desk', 'order-7'],
  ])('a key with %s is %s', (_name, kind, account, key) => {
    expect(signer.parseKey(account, key).kind).toBe(kind);
  });

  test('an incarnation that could not be parsed from a key is refused', () => {
    expect(() => signer.sign('a.b', 1, 'desk')).toThrow('incarnation');
  });
});

describe('bound keys', () => {
  test('are granted, completed and found on all instances while the table is down', async () => {
    const simulation = newSimulation(3);
    simulation.addTableFault({kind: 'down'}, Number.POSITIVE_INFINITY);
    const key = `${simulation.slots[0]!.service.issueGrant(ACCOUNT)}.a`;
    expect(await claim(simulation, 0, key)).toEqual({kind: 'granted'});
    simulation.slots[0]!.service.complete(ACCOUNT, key, completed);
    expect(await claim(simulation, 0, key)).toEqual(duplicateOf(completed));
    expect(await claim(simulation, 1, key)).toMatchObject(
      heldElsewhereWith(completed),
    );
  });

  test('of a terminated incarnation have the recorded outcome, else unknown', async () => {
    const simulation = newSimulation(2);
    const {service} = simulation.slots[0]!;
    const [recorded, unrecorded] = ['a', 'b'].map(
      suffix => `${service.issueGrant(ACCOUNT)}.${suffix}`,
    );
    await claim(simulation, 0, recorded!);
    await claim(simulation, 0, unrecorded!);
    service.complete(ACCOUNT, recorded!, completed);
    await simulation.advance(200);
    simulation.restart(simulation.slots[0]!);
    expect(await claim(simulation, 1, recorded!)).toMatchObject(
      heldElsewhereWith(completed),
    );
    expect(await claim(simulation, 1, unrecorded!)).toMatchObject(
      heldElsewhereWith({kind: 'unknown'}),
    );
  });

  test('over the limit are refused, and none is evicted early', async () => {
    const simulation = newSimulation(1, {...testSettings, boundKeyLimit: 2});
    const grant = simulation.slots[0]!.service.issueGrant(ACCOUNT);
    const decisions = [];
    for (const suffix of ['a', 'b', 'c', 'a']) {
      decisions.push(await claim(simulation, 0, `${grant}.${suffix}`, 20));
    }
    expect(decisions.map(({kind}) => kind)).toEqual([
      'granted',
      'granted',
      'noRoom',
      'duplicate',
    ]);
    const [, , full] = decisions;
    const wait = full?.kind === 'noRoom' ? full.retryAfterMilliseconds : 0;
    // Capacity is freed after the reported retry time, also for a key with a new grant.
    for (const [after, kind] of [
      [wait - 100, 'noRoom'],
      [200, 'granted'],
    ] as const) {
      await simulation.advance(after);
      const later = `${simulation.slots[0]!.service.issueGrant(ACCOUNT)}.c`;
      expect((await claim(simulation, 0, later, 0)).kind).toBe(kind);
    }
  });

  test('are not granted again when the wall clock goes back', async () => {
    const simulation = newSimulation(1);
    const key = `${simulation.slots[0]!.service.issueGrant(ACCOUNT)}.a`;
    await claim(simulation, 0, key);
    await simulation.advance(6000);
    simulation.slots[0]!.clock.shiftWallClock(-6000);
    expect(await claim(simulation, 0, key)).toEqual(
      duplicateOf({kind: 'unknown'}),
    );
  });
});

describe('plain keys', () => {
  const rateLimited = {
    kind: 'rateLimited',
    retryAfterMilliseconds: 50,
  } as const;
  const slow = {kind: 'slow', milliseconds: 700} as const;
  test.each([
    ['one response lost', 'granted', 1, {kind: 'answerLost'}],
    ['one request lost', 'granted', 1, {kind: 'requestLost'}],
    ['one request rate limited', 'granted', 1, rateLimited],
    ['table down', 'undecided', 99, {kind: 'down'}],
    ['all responses lost', 'undecided', 99, {kind: 'answerLost'}],
    ['responses later than the timeout', 'undecided', 99, slow],
  ] as const)(
    'with %s are %s, and are decided once the fault is cleared',
    async (_name, expected, times, fault) => {
      const simulation = newSimulation(2);
      simulation.addTableFault(fault, times);
      expect((await claim(simulation, 0, 'order')).kind).toBe(expected);
      simulation.platform.clearFaults();
      await simulation.advance(1500);
      const again = await claim(simulation, 1, 'order');
      expect(again.kind).toBe(expected === 'granted' ? 'duplicate' : 'granted');
    },
  );

  test('can be claimed again only after an outcome that says that nothing ran', async () => {
    const simulation = newSimulation(2);
    await claim(simulation, 0, 'order');
    expect(await claim(simulation, 1, 'order')).toEqual(
      duplicateOf({kind: 'running'}),
    );
    simulation.slots[0]!.service.complete(ACCOUNT, 'order', notRun);
    await simulation.advance(200);
    expect(await claim(simulation, 1, 'order')).toEqual({kind: 'granted'});
    expect((await claim(simulation, 0, 'order')).kind).toBe('duplicate');
  });

  test('are reported as running while an outcome that nothing ran is being recorded, and can be claimed after it', async () => {
    const simulation = newSimulation(2);
    await claim(simulation, 0, 'order');
    simulation.platform.addFault(
      {kind: 'down'},
      {part: 'table', instance: 'slot0'},
    );
    simulation.slots[0]!.service.complete(ACCOUNT, 'order', notRun);
    expect(await claim(simulation, 1, 'order')).toEqual(
      duplicateOf({kind: 'running'}),
    );
    simulation.platform.clearFaults();
    await simulation.advance(500);
    expect(await claim(simulation, 1, 'order')).toEqual({kind: 'granted'});
  });

  /** Guards against a final `unknown` for a key whose attempt ends while another instance asks for it. */
  describe('whose attempt ends while another instance asks for it', () => {
    /** The owner records the outcome and forgets the key before it answers. */
    const simulationWithEndBeforeAnswer = (outcome: RequestOutcome) => {
      const simulation = new ClaimSimulation(2, {
        ask: async (request, owner) => {
          owner.service.complete(ACCOUNT, 'order', outcome);
          await new Promise<void>(resolve => {
            owner.clock.setTimer(60, resolve);
          });
          return owner.service.answer(request);
        },
      });
      simulations.push(simulation);
      return simulation;
    };

    test.each([
      ['as not run are granted to it', notRun, {kind: 'granted'}],
      ['as completed have that outcome', completed, duplicateOf(completed)],
    ])('%s', async (_name, outcome, expected) => {
      const simulation = simulationWithEndBeforeAnswer(outcome);
      await claim(simulation, 0, 'order');
      expect(await claim(simulation, 1, 'order')).toEqual(expected);
    });

    test('as not run are looked up as not run', async () => {
      const simulation = simulationWithEndBeforeAnswer(notRun);
      await claim(simulation, 0, 'order');
      const found = simulation.slots[1]!.service.findOutcome(
        ACCOUNT,
        'order',
        neverCancelled,
      );
      await simulation.advance(500);
      expect(await found).toEqual(notRun);
    });
  });

  test('of a listed instance that does not answer are reported as running, so that their callers ask again', async () => {
    const simulation = newSimulation(2);
    await claim(simulation, 0, 'order');
    simulation.pause(simulation.slots[0]!);
    expect(await claim(simulation, 1, 'order')).toEqual(
      duplicateOf({kind: 'running'}),
    );
    await simulation.resume(simulation.slots[0]!);
    simulation.slots[0]!.service.complete(ACCOUNT, 'order', completed);
    await simulation.advance(200);
    expect(await claim(simulation, 1, 'order')).toEqual(duplicateOf(completed));
  });

  test('a response body over the limit is omitted, not truncated', async () => {
    const simulation = newSimulation(2, {
      ...testSettings,
      recordedBodyLimit: 3,
    });
    await claim(simulation, 0, 'order');
    simulation.slots[0]!.service.complete(ACCOUNT, 'order', completed);
    await simulation.advance(200);
    expect(await claim(simulation, 1, 'order')).toMatchObject({
      kind: 'duplicate',
      outcome: {kind: 'failed', failure: {executed: 'yes'}},
    });
  });
});

describe('a key reused for a different request', () => {
  const other = {kind: 'keyReused', sameWork: false};
  test.each<[string, string, number, RequestOutcome | undefined]>([
    ['plain', 'its owner, running', 0, undefined],
    ['plain', 'its owner, ended', 0, completed],
    ['plain', 'its owner, not run', 0, notRun],
    ['plain', 'another instance, running', 1, undefined],
    ['plain', 'another instance, ended', 1, completed],
    ['plain', 'another instance, not run', 1, notRun],
    ['bound', 'its owner, running', 0, undefined],
    ['bound', 'its owner, ended', 0, completed],
    ['bound', 'its owner, not run', 0, notRun],
    ['bound', 'another instance, running', 1, undefined],
    ['bound', 'another instance, ended', 1, completed],
    ['bound', 'another instance, owner restarted', 1, completed],
    ['bound', 'its owner, evicted', 0, completed],
  ])('a %s key is refused at %s', async (kind, at, slot, end) => {
    const simulation = newSimulation(4);
    const {service} = simulation.slots[0]!;
    const key = kind === 'bound' ? `${service.issueGrant(ACCOUNT)}.a` : 'order';
    expect(await claim(simulation, 0, key, 200, 'x.order')).toEqual({
      kind: 'granted',
    });
    if (end !== undefined) {
      service.complete(ACCOUNT, key, end);
      await simulation.advance(at.includes('evicted') ? 6000 : 200);
    }
    if (at.includes('restarted')) {
      simulation.restart(simulation.slots[0]!);
    }
    const decide = (fingerprint?: string) =>
      claim(simulation, slot, key, 200, fingerprint);
    expect(await decide('y.order')).toEqual(other);
    expect(await decide('x.query')).toEqual({...other, sameWork: true});
    expect((await decide('x.order')).kind).not.toBe('keyReused');
    expect((await decide()).kind).not.toBe('keyReused');
  });
});

test.each([
  {key: 'plain', before: undefined, after: completed},
  {key: 'bound', before: undefined, after: completed},
])(
  'a $key key is looked up at another instance before, during and after its run',
  async testCase => {
    const simulation = newSimulation(2);
    const [first, second] = simulation.slots.map(slot => slot.service);
    const grant = first!.issueGrant(ACCOUNT);
    const key = testCase.key === 'bound' ? `${grant}.a` : 'order';
    const lookUp = async () => {
      const found = second!.findOutcome(ACCOUNT, key, neverCancelled);
      await simulation.advance(100);
      return found;
    };
    expect(await lookUp()).toEqual(testCase.before);
    await claim(simulation, 0, key);
    expect(await lookUp()).toEqual({kind: 'running'});
    first!.complete(ACCOUNT, key, completed);
    await simulation.advance(200);
    expect(await lookUp()).toEqual(testCase.after);
    simulation.addTableFault({kind: 'down'}, 99);
    expect((await lookUp())?.kind).toBe(
      testCase.key === 'bound' ? 'completed' : 'unknown',
    );
  },
);

test('outcomes are recorded after an outage; when the buffer is full the oldest are dropped and counted', async () => {
  const {clock, platform, table} = newTable();
  platform.addFault({kind: 'down'});
  const writer = new (class extends RowWriter {
    override async write(write: Parameters<RowWriter['write']>[0]) {
      const result = await table.transact([write], 'each', neverCancelled);
      return result.ok ? {ok: true as const, value: result.value[0]!} : result;
    }
  })();
  const warnings: unknown[] = [];
  const logger: Logger = new (class extends SilentLogger {
    override warn(_message?: string, fields?: unknown) {
      warnings.push(fields);
    }
  })();
  const settings = {...testSettings, outcomeBufferLimit: 2};
  const recorder = new OutcomeRecorder(
    writer,
    clock,
    logger,
    new SilentMetrics(),
    settings,
  );
  const done: string[] = [];
  for (const keyHash of ['a', 'b', 'c']) {
    recorder.record({
      keyHash,
      record: {
        nonce: keyHash,
        incarnation: 'inc',
        expiresAt: 1,
        outcome: completed,
      },
      condition: {kind: 'absent'},
      done: recorded => done.push(`${keyHash} ${recorded}`),
    });
  }
  await clock.advanceAsync(5000);
  platform.clearFaults();
  const emptied = recorder.whenEmpty(1000);
  await clock.advanceAsync(500);
  await emptied;
  expect(done).toEqual(['a false', 'b true', 'c true']);
  expect(warnings).toEqual([{dropped: 1}]);
});

test('the sweeper deletes expired rows only, one page of one slice per step', async () => {
  const {clock, platform, table} = newTable();
  const now = clock.wallMilliseconds();
  for (let index = 0; index < 512; index++) {
    const keyHash = (index % 256).toString(16).padStart(2, '0') + index;
    const record = {
      nonce: 'n',
      incarnation: 'i',
      expiresAt: now + (index < 256 ? -1 : 1e6),
    };
    await table.transact(
      [
        {
          key: claimRowKey(keyHash),
          value: formatClaimRecord(record),
          condition: {kind: 'any'},
        },
      ],
      'each',
      neverCancelled,
    );
  }
  const settings = {...testSettings.ageing, clockMarginMilliseconds: 0};
  const sweeper = new ClaimRowSweeper(
    table,
    clock,
    new SilentMetrics(),
    settings,
    'inc',
  );
  clock.shiftWallClock(1e9);
  let deleted = 0;
  for (let step = 0; step < 256; step++) {
    deleted += await sweeper.step();
  }
  expect([
    deleted,
    platform.rows.scan('claim/', undefined, 999).length,
  ]).toEqual([256, 256]);
  sweeper.dispose();
});

test('response bodies of evicted keys no longer count towards the memory budget', () => {
  const endedKeys = new EndedKeyCache(2, 1e6);
  const boundKeys = new BoundKeyRegistry({...testSettings, boundKeyLimit: 9});
  for (const key of ['a', 'b', 'c', 'd']) {
    endedKeys.add(key, completed, undefined);
    boundKeys.tryClaim(key, 1, 0);
    boundKeys.end(key, 1, completed);
  }
  boundKeys.tryClaim('late', 1e6, 1e5);
  expect([endedKeys.retainedBodyCount, boundKeys.retainedBodyCount]).toEqual([
    2, 0,
  ]);
});

test.each(['committer', 'gatherer'])(
  'the queue of a %s is limited by the total length of its row values too',
  async kind => {
    const simulation = newSimulation(2);
    const {platformClock: clock, platform} = simulation;
    const metrics = new SilentMetrics();
    const {table} = platform.servicesFor();
    const limits = {queueCharacters: 10, aboveInstances: 1};
    const commit = {...testSettings.commit, ...limits};
    const committer = new GroupCommitter(
      table,
      clock,
      metrics,
      commit,
      () => 1,
    );
    const writer =
      kind === 'committer'
        ? committer
        : new GatheringWriter({
            // Receives rows that exceed the queue, and accepts none.
            directWriter: new GroupCommitter(
              table,
              clock,
              metrics,
              {...commit, queueLimit: 0},
              () => 1,
            ),
            peers: new SimulatedClaimPeers(simulation),
            directory: new SimulatedPeerDirectory(simulation),
            clock,
            metrics,
            settings: {...testSettings.gather, ...limits},
            incarnation: 'inc1',
          });
    const writes = ['a', 'b', 'c'].map(key =>
      writer.write({key, value: '123456', condition: {kind: 'any'}}),
    );
    await simulation.advance(200);
    const results = await Promise.all(writes);
    expect(results.map(({ok}) => ok)).toEqual([true, true, false]);
    writer.dispose();
  },
);

describe('requests between processes', () => {
  test('ask and gather work over the network, and a wrong peer key is refused', async () => {
    const simulation = newSimulation(1);
    const {service, incarnation, clock} = simulation.slots[0]!;
    const address = `127.0.0.1:${await freePort()}`;
    const server = await serveRpc(
      createClaimRouter(service),
      address,
      'secret',
    );
    const peers = new RpcClaimPeers('secret');
    const unauthorized = createRpcClient<ClaimRouter>(address, 'wrong');
    const request = {
      incarnation,
      keyHash: 'ab',
      grantExpiresAt: clock.wallMilliseconds() + 1e6,
    };
    try {
      expect(await peers.ask(address, request, neverCancelled)).toEqual({
        kind: 'notSeen',
        closed: false,
      });
      const warnings: Error[] = [];
      const onWarning = (warning: Error) => void warnings.push(warning);
      process.on('warning', onWarning);
      // Concurrent requests share one token; their listeners on it must not cause a leak warning.
      const asks = Array.from({length: 20}, () =>
        peers.ask(address, request, neverCancelled),
      );
      expect(await Promise.all(asks)).toHaveLength(20);
      process.off('warning', onWarning);
      expect(warnings).toEqual([]);
      const write = {
        key: claimRowKey('ab'),
        value: '{}',
        condition: {kind: 'absent'},
      } as const;
      const written = peers.gather(address, [write], neverCancelled);
      const polling = setInterval(() => void simulation.advance(20), 5);
      const results = await written.finally(() => clearInterval(polling));
      expect(results).toEqual([
        {ok: true, value: {kind: 'written', version: 1}},
      ]);
      await expect(unauthorized.call.claims.ask.query(request)).rejects.toThrow(
        'peer key',
      );
    } finally {
      unauthorized.dispose();
      peers.dispose();
      server.dispose();
    }
  });
});

/** Finds a port that is currently free. */
async function freePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

/** Transactions that took effect per request, for claims and outcomes at a constant rate. */
async function writesPerRequest(
  instances: number,
  aboveInstances: number,
  requestsPerSecond: number,
) {
  const gather = {...defaultClaimSettings.gather, aboveInstances};
  const simulation = newSimulation(instances, {
    ...defaultClaimSettings,
    gather,
  });
  const requests = requestsPerSecond * 2;
  const submissions: Array<Promise<unknown>> = [];
  for (let index = 0; index < requests; index++) {
    const slot = simulation.slots[index % instances]!;
    submissions.push(
      simulation.submit(slot, `order-${index}`, 40, 5000, completed),
    );
    if (index % Math.ceil(requestsPerSecond / 50) === 0) {
      await simulation.advance(20);
    }
  }
  await simulation.advance(600);
  const statuses = await Promise.all(submissions);
  expect(statuses.every(status => status === 'yes')).toBe(true);
  return simulation.platform.counts.writes / requests;
}

test('with gatherers, many instances need less than one write per two requests', async () => {
  const direct = await writesPerRequest(40, 1000, 400);
  const gathered = await writesPerRequest(40, 16, 400);
  expect(gathered).toBeLessThan(0.5);
  expect(gathered).toBeLessThan(direct / 2);
});
