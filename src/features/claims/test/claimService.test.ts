import {once} from 'node:events';
import {AddressInfo, createServer} from 'node:net';

import {afterEach, describe, expect, test} from 'vitest';

import {neverCancelled} from '../../../base/common/cancellation.js';
import {Logger, SilentLogger} from '../../../platform/logging/common/logger.js';
import {SilentMetrics} from '../../../platform/metrics/common/metrics.js';
import {createRpcClient, serveRpc} from '../../../platform/rpc/node/rpc.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {InMemoryPlatform} from '../../../../test/support/inMemoryPlatform.js';
import {ClaimAgeing} from '../common/claimAgeing.js';
import {claimRowKey, formatClaimRecord} from '../common/claimRecord.js';
import {ClaimSettings, defaultClaimSettings} from '../common/claimSettings.js';
import {OutcomeRecorder} from '../common/outcomeRecorder.js';
import {RowWriter} from '../common/rowWriter.js';
import {ClaimRouter, createClaimRouter} from '../node/claimRouter.js';
import {GrantSigner} from '../node/grantSigner.js';
import {RpcClaimPeers} from '../node/rpcClaimPeers.js';
import {
  ACCOUNT,
  ClaimWorld,
  completed,
  notRun,
  testSettings,
} from './claimWorld.js';

const worlds: ClaimWorld[] = [];

function newWorld(count: number, settings: ClaimSettings = testSettings) {
  const world = new ClaimWorld(count, {}, settings);
  worlds.push(world);
  return world;
}

afterEach(() => {
  worlds.splice(0).forEach(world => world.dispose());
});

async function claim(
  world: ClaimWorld,
  slot: number,
  key: string,
  wait = 500,
  fingerprint?: string,
) {
  const {service} = world.slots[slot]!;
  const decision = service.claim(ACCOUNT, key, neverCancelled, fingerprint);
  await world.advance(wait);
  return decision;
}

describe('grants', () => {
  const signer = new GrantSigner('new', ['old']);
  const grant = signer.sign('inc', 5000, 'desk');

  test.each([
    {name: 'own', account: 'desk', key: `${grant}.a`, kind: 'bound'},
    {
      name: 'suffix with dots',
      account: 'desk',
      key: `${grant}.a.b`,
      kind: 'bound',
    },
    {
      name: 'other account',
      account: 'yard',
      key: `${grant}.a`,
      kind: 'invalid',
    },
    {name: 'no suffix', account: 'desk', key: `${grant}.`, kind: 'invalid'},
    {
      name: 'other incarnation',
      account: 'desk',
      key: `${grant.replace('inc', 'inx')}.a`,
      kind: 'invalid',
    },
    {
      name: 'other expiry',
      account: 'desk',
      key: `${grant.replace('.3uw.', '.3uz.')}.a`,
      kind: 'invalid',
    },
    {
      name: 'former peer key',
      account: 'desk',
      key: `${new GrantSigner('old').sign('inc', 5000, 'desk')}.a`,
      kind: 'bound',
    },
    {
      name: 'unknown peer key',
      account: 'desk',
      key: `${new GrantSigner('bad').sign('inc', 5000, 'desk')}.a`,
      kind: 'invalid',
    },
    {name: 'no grant', account: 'desk', key: 'order-7', kind: 'plain'},
  ])('$name: $kind', ({account, key, kind}) => {
    expect(signer.read(account, key).kind).toBe(kind);
  });

  test('an incarnation that could not be read back is refused', () => {
    expect(() => signer.sign('a.b', 1, 'desk')).toThrow('incarnation');
  });
});

describe('bound keys', () => {
  test('are granted, completed and found everywhere while the table is down', async () => {
    const world = newWorld(3);
    world.fault({kind: 'down'}, Number.POSITIVE_INFINITY);
    const key = `${world.slots[0]!.service.issueGrant(ACCOUNT)}.a`;
    expect(await claim(world, 0, key)).toEqual({kind: 'granted'});
    world.slots[0]!.service.complete(ACCOUNT, key, completed);
    expect(await claim(world, 0, key)).toEqual({
      kind: 'duplicate',
      outcome: completed,
    });
    expect(await claim(world, 1, key)).toMatchObject({
      kind: 'heldElsewhere',
      outcome: completed,
    });
  });

  test('of a dead incarnation: the recorded outcome, else unknown', async () => {
    const world = newWorld(2);
    const {service} = world.slots[0]!;
    const [ran, lost] = ['a', 'b'].map(
      suffix => `${service.issueGrant(ACCOUNT)}.${suffix}`,
    );
    await claim(world, 0, ran!);
    await claim(world, 0, lost!);
    service.complete(ACCOUNT, ran!, completed);
    await world.advance(200);
    world.restart(world.slots[0]!);
    expect(await claim(world, 1, ran!)).toMatchObject({
      kind: 'heldElsewhere',
      outcome: completed,
    });
    expect(await claim(world, 1, lost!)).toMatchObject({
      kind: 'heldElsewhere',
      outcome: {kind: 'unknown'},
    });
  });

  test('beyond the limit are refused, and none is forgotten', async () => {
    const world = newWorld(1, {...testSettings, boundKeyLimit: 2});
    const grant = world.slots[0]!.service.issueGrant(ACCOUNT);
    const decisions = [];
    for (const suffix of ['a', 'b', 'c', 'a']) {
      decisions.push(await claim(world, 0, `${grant}.${suffix}`, 20));
    }
    expect(decisions.map(({kind}) => kind)).toEqual([
      'granted',
      'granted',
      'noRoom',
      'duplicate',
    ]);
    const [, , full] = decisions;
    const wait = full?.kind === 'noRoom' ? full.retryAfterMilliseconds : 0;
    // The time to come back is when room is due, also for a key with a new grant.
    for (const [after, kind] of [
      [wait - 100, 'noRoom'],
      [200, 'granted'],
    ] as const) {
      await world.advance(after);
      const later = `${world.slots[0]!.service.issueGrant(ACCOUNT)}.c`;
      expect((await claim(world, 0, later, 0)).kind).toBe(kind);
    }
  });

  test('are not granted again when the wall clock goes back', async () => {
    const world = newWorld(1);
    const key = `${world.slots[0]!.service.issueGrant(ACCOUNT)}.a`;
    await claim(world, 0, key);
    await world.advance(6000);
    world.slots[0]!.clock.shiftWall(-6000);
    expect(await claim(world, 0, key)).toEqual({
      kind: 'duplicate',
      outcome: {kind: 'unknown'},
    });
  });
});

describe('plain keys', () => {
  test.each([
    {
      name: 'answer lost',
      fault: {kind: 'answerLost'},
      times: 1,
      expected: 'granted',
    },
    {
      name: 'request lost',
      fault: {kind: 'requestLost'},
      times: 1,
      expected: 'granted',
    },
    {
      name: 'rate limited once',
      fault: {kind: 'rateLimited', retryAfterMilliseconds: 50},
      times: 1,
      expected: 'granted',
    },
    {name: 'down', fault: {kind: 'down'}, times: 99, expected: 'undecided'},
    {
      name: 'all answers lost',
      fault: {kind: 'answerLost'},
      times: 99,
      expected: 'undecided',
    },
    {
      name: 'slower than the wait',
      fault: {kind: 'slow', milliseconds: 700},
      times: 99,
      expected: 'undecided',
    },
  ] as const)('$name: $expected, decided afterwards', async each => {
    const world = newWorld(2);
    world.fault(each.fault, each.times);
    expect((await claim(world, 0, 'order')).kind).toBe(each.expected);
    world.platform.clearFaults();
    await world.advance(1500);
    const again = await claim(world, 1, 'order');
    expect(again.kind).toBe(
      each.expected === 'granted' ? 'duplicate' : 'granted',
    );
  });

  test('can be claimed again after an outcome that says not run, and only then', async () => {
    const world = newWorld(2);
    await claim(world, 0, 'order');
    expect(await claim(world, 1, 'order')).toEqual({
      kind: 'duplicate',
      outcome: {kind: 'running'},
    });
    world.slots[0]!.service.complete(ACCOUNT, 'order', notRun);
    await world.advance(200);
    expect(await claim(world, 1, 'order')).toEqual({kind: 'granted'});
    expect((await claim(world, 0, 'order')).kind).toBe('duplicate');
  });

  test('whose end without a run is still being recorded can be asked for again later', async () => {
    const world = newWorld(2);
    await claim(world, 0, 'order');
    world.platform.addFault({kind: 'down'}, {part: 'table', instance: 'slot0'});
    world.slots[0]!.service.complete(ACCOUNT, 'order', notRun);
    expect(await claim(world, 1, 'order')).toEqual({
      kind: 'duplicate',
      outcome: {kind: 'running'},
    });
    world.platform.clearFaults();
    await world.advance(500);
    expect(await claim(world, 1, 'order')).toEqual({kind: 'granted'});
  });

  test('a reply over the limit is recorded as run, not cut', async () => {
    const world = newWorld(2, {...testSettings, recordedBodyLimit: 3});
    await claim(world, 0, 'order');
    world.slots[0]!.service.complete(ACCOUNT, 'order', completed);
    await world.advance(200);
    expect(await claim(world, 1, 'order')).toMatchObject({
      kind: 'duplicate',
      outcome: {kind: 'failed', failure: {executed: 'yes'}},
    });
  });
});

describe('a key that comes with another request', () => {
  const other = {kind: 'keyReused', sameWork: false};
  test.each([
    {at: 'its holder, running', key: 'plain', slot: 0, end: undefined},
    {at: 'its holder, ended', key: 'plain', slot: 0, end: completed},
    {at: 'its holder, not run', key: 'plain', slot: 0, end: notRun},
    {at: 'another, running', key: 'plain', slot: 1, end: undefined},
    {at: 'another, ended', key: 'plain', slot: 1, end: completed},
    {at: 'another, not run', key: 'plain', slot: 1, end: notRun},
    {at: 'its holder, running', key: 'bound', slot: 0, end: undefined},
    {at: 'its holder, ended', key: 'bound', slot: 0, end: completed},
    {at: 'its holder, not run', key: 'bound', slot: 0, end: notRun},
    {at: 'another, running', key: 'bound', slot: 1, end: undefined},
    {at: 'another, ended', key: 'bound', slot: 1, end: completed},
    {at: 'one after its holder died', key: 'bound', slot: 1, end: completed},
    {at: 'its holder, forgotten', key: 'bound', slot: 0, end: completed},
  ])('$key key at $at', async ({at, key: kind, slot, end}) => {
    const world = newWorld(4);
    const {service} = world.slots[0]!;
    const key = kind === 'bound' ? `${service.issueGrant(ACCOUNT)}.a` : 'order';
    expect(await claim(world, 0, key, 200, 'x.order')).toEqual({
      kind: 'granted',
    });
    if (end !== undefined) {
      service.complete(ACCOUNT, key, end);
      await world.advance(at.includes('forgotten') ? 6000 : 200);
    }
    if (at.includes('died')) {
      world.restart(world.slots[0]!);
    }
    const decide = (fingerprint?: string) =>
      claim(world, slot, key, 200, fingerprint);
    expect(await decide('y.order')).toEqual(other);
    expect(await decide('x.query')).toEqual({...other, sameWork: true});
    expect((await decide('x.order')).kind).not.toBe('keyReused');
    expect((await decide()).kind).not.toBe('keyReused');
  });
});

test.each([
  {key: 'plain', before: undefined, after: completed},
  {key: 'bound', before: undefined, after: completed},
])('a look-up of a $key key at another instance', async each => {
  const world = newWorld(2);
  const [first, second] = world.slots.map(slot => slot.service);
  const grant = first!.issueGrant(ACCOUNT);
  const key = each.key === 'bound' ? `${grant}.a` : 'order';
  const lookUp = async () => {
    const found = second!.lookUp(ACCOUNT, key, neverCancelled);
    await world.advance(100);
    return found;
  };
  expect(await lookUp()).toEqual(each.before);
  await claim(world, 0, key);
  expect(await lookUp()).toEqual({kind: 'running'});
  first!.complete(ACCOUNT, key, completed);
  await world.advance(200);
  expect(await lookUp()).toEqual(each.after);
  world.fault({kind: 'down'}, 99);
  expect((await lookUp())?.kind).toBe(
    each.key === 'bound' ? 'completed' : 'unknown',
  );
});

test('outcomes outlast an outage; beyond the buffer the oldest are dropped and counted', async () => {
  const clock = new FakeClock();
  const platform = new InMemoryPlatform(clock);
  const {table} = platform.portsOf();
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

test('ageing deletes what has expired, a page of one slice a step', async () => {
  const clock = new FakeClock();
  const platform = new InMemoryPlatform(clock);
  const {table} = platform.portsOf();
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
  const ageing = new ClaimAgeing(
    table,
    clock,
    new SilentMetrics(),
    settings,
    'inc',
  );
  clock.shiftWall(1e9);
  let deleted = 0;
  for (let step = 0; step < 256; step++) {
    deleted += await ageing.step();
  }
  expect([
    deleted,
    platform.rows.scan('claim/', undefined, 999).length,
  ]).toEqual([256, 256]);
  ageing.dispose();
});

describe('between processes', () => {
  test('ask and gather over the network; a wrong peer key is refused', async () => {
    const world = newWorld(1);
    const {service, incarnation, clock} = world.slots[0]!;
    const address = `127.0.0.1:${await freePort()}`;
    const server = await serveRpc(
      createClaimRouter(service),
      address,
      'secret',
    );
    const peers = new RpcClaimPeers('secret');
    const stranger = createRpcClient<ClaimRouter>(address, 'wrong');
    const message = {
      incarnation,
      keyHash: 'ab',
      grantExpiresAt: clock.wallMilliseconds() + 1e6,
    };
    try {
      expect(await peers.ask(address, message, neverCancelled)).toEqual({
        kind: 'notSeen',
        closed: false,
      });
      const warnings: Error[] = [];
      const keep = (warning: Error) => void warnings.push(warning);
      process.on('warning', keep);
      // Many calls at once share the token that is never cancelled.
      const asks = Array.from({length: 20}, () =>
        peers.ask(address, message, neverCancelled),
      );
      expect(await Promise.all(asks)).toHaveLength(20);
      process.off('warning', keep);
      expect(warnings).toEqual([]);
      const write = {
        key: claimRowKey('ab'),
        value: '{}',
        condition: {kind: 'absent'},
      } as const;
      const written = peers.gather(address, [write], neverCancelled);
      const polling = setInterval(() => void world.advance(20), 5);
      const results = await written.finally(() => clearInterval(polling));
      expect(results).toEqual([
        {ok: true, value: {kind: 'written', version: 1}},
      ]);
      await expect(stranger.call.claims.ask.query(message)).rejects.toThrow(
        'peer key',
      );
    } finally {
      stranger.dispose();
      peers.dispose();
      server.dispose();
    }
  });
});

/** A port that was free a moment ago. */
async function freePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

/** Claims and outcomes at a steady rate over many instances; writes are transactions that took effect. */
async function writesPerRequest(
  instances: number,
  aboveInstances: number,
  requestsPerSecond: number,
) {
  const gather = {...defaultClaimSettings.gather, aboveInstances};
  const world = newWorld(instances, {...defaultClaimSettings, gather});
  const requests = requestsPerSecond * 2;
  const answers: Array<Promise<unknown>> = [];
  for (let index = 0; index < requests; index++) {
    const slot = world.slots[index % instances]!;
    answers.push(world.submit(slot, `order-${index}`, 40, 5000, completed));
    if (index % Math.ceil(requestsPerSecond / 50) === 0) {
      await world.advance(20);
    }
  }
  await world.advance(600);
  const granted = await Promise.all(answers);
  expect(granted.every(answer => answer === 'yes')).toBe(true);
  return world.platform.counts.writes / requests;
}

test('gatherers keep the writes of many instances under one write for two requests', async () => {
  const direct = await writesPerRequest(40, 1000, 400);
  const gathered = await writesPerRequest(40, 16, 400);
  expect(gathered).toBeLessThan(0.5);
  expect(gathered).toBeLessThan(direct / 2);
});
