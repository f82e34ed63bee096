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
import {BoundKeys} from '../common/boundKeys.js';
import {ClaimAgeing} from '../common/claimAgeing.js';
import {claimRowKey, formatClaimRecord} from '../common/claimRecord.js';
import {ClaimSettings, defaultClaimSettings} from '../common/claimSettings.js';
import {EndedKeys} from '../common/endedKeys.js';
import {GatheringWriter} from '../common/gatheringWriter.js';
import {GroupCommitter} from '../common/groupCommitter.js';
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
  WorldDirectory,
  WorldPeers,
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

function duplicateOf(outcome: RequestOutcome) {
  return {kind: 'duplicate', outcome};
}

function heldWith(outcome: RequestOutcome) {
  return {kind: 'heldElsewhere', outcome};
}

/** A table without instances around it. */
function newTable() {
  const clock = new FakeClock();
  const platform = new InMemoryPlatform(clock);
  return {clock, platform, table: platform.portsOf().table};
}

describe('grants', () => {
  const signer = new GrantSigner('new', ['old']);
  const grantOf = (by: GrantSigner) => by.sign('inc', 5000, 'desk');
  const grant = grantOf(signer);
  const former = grantOf(new GrantSigner('old'));
  const unknown = grantOf(new GrantSigner('bad'));

  test.each([
    ['own', 'bound', 'desk', `${grant}.a`],
    ['suffix with dots', 'bound', 'desk', `${grant}.a.b`],
    ['other account', 'invalid', 'yard', `${grant}.a`],
    ['no suffix', 'invalid', 'desk', `${grant}.`],
    [
      'other incarnation',
      'invalid',
      'desk',
      `${grant.replace('inc', 'inx')}.a`,
    ],
    ['other expiry', 'invalid', 'desk', `${grant.replace('.3uw.', '.3uz.')}.a`],
    ['former peer key', 'bound', 'desk', `${former}.a`],
    ['unknown peer key', 'invalid', 'desk', `${unknown}.a`],
    ['no grant', 'plain', 'desk', 'order-7'],
  ])('%s: %s', (_name, kind, account, key) => {
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
    expect(await claim(world, 0, key)).toEqual(duplicateOf(completed));
    expect(await claim(world, 1, key)).toMatchObject(heldWith(completed));
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
    expect(await claim(world, 1, ran!)).toMatchObject(heldWith(completed));
    expect(await claim(world, 1, lost!)).toMatchObject(
      heldWith({kind: 'unknown'}),
    );
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
    expect(await claim(world, 0, key)).toEqual(duplicateOf({kind: 'unknown'}));
  });
});

describe('plain keys', () => {
  const rateLimited = {
    kind: 'rateLimited',
    retryAfterMilliseconds: 50,
  } as const;
  const slow = {kind: 'slow', milliseconds: 700} as const;
  test.each([
    ['answer lost', 'granted', 1, {kind: 'answerLost'}],
    ['request lost', 'granted', 1, {kind: 'requestLost'}],
    ['rate limited once', 'granted', 1, rateLimited],
    ['down', 'undecided', 99, {kind: 'down'}],
    ['all answers lost', 'undecided', 99, {kind: 'answerLost'}],
    ['slower than the wait', 'undecided', 99, slow],
  ] as const)(
    '%s: %s, decided afterwards',
    async (_name, expected, times, fault) => {
      const world = newWorld(2);
      world.fault(fault, times);
      expect((await claim(world, 0, 'order')).kind).toBe(expected);
      world.platform.clearFaults();
      await world.advance(1500);
      const again = await claim(world, 1, 'order');
      expect(again.kind).toBe(expected === 'granted' ? 'duplicate' : 'granted');
    },
  );

  test('can be claimed again after an outcome that says not run, and only then', async () => {
    const world = newWorld(2);
    await claim(world, 0, 'order');
    expect(await claim(world, 1, 'order')).toEqual(
      duplicateOf({kind: 'running'}),
    );
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
    expect(await claim(world, 1, 'order')).toEqual(
      duplicateOf({kind: 'running'}),
    );
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
  test.each<[string, string, number, RequestOutcome | undefined]>([
    ['plain', 'its holder, running', 0, undefined],
    ['plain', 'its holder, ended', 0, completed],
    ['plain', 'its holder, not run', 0, notRun],
    ['plain', 'another, running', 1, undefined],
    ['plain', 'another, ended', 1, completed],
    ['plain', 'another, not run', 1, notRun],
    ['bound', 'its holder, running', 0, undefined],
    ['bound', 'its holder, ended', 0, completed],
    ['bound', 'its holder, not run', 0, notRun],
    ['bound', 'another, running', 1, undefined],
    ['bound', 'another, ended', 1, completed],
    ['bound', 'one after its holder died', 1, completed],
    ['bound', 'its holder, forgotten', 0, completed],
  ])('%s key at %s', async (kind, at, slot, end) => {
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

test('ageing deletes what has expired, a page of one slice a step', async () => {
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

test('replies are no longer counted when their keys are gone', () => {
  const ended = new EndedKeys(2, 1e6);
  const bound = new BoundKeys({...testSettings, boundKeyLimit: 9});
  for (const key of ['a', 'b', 'c', 'd']) {
    ended.add(key, completed, undefined);
    bound.take(key, 1, 0);
    bound.end(key, 1, completed);
  }
  bound.take('late', 1e6, 1e5);
  expect([ended.heldReplies, bound.heldReplies]).toEqual([2, 0]);
});

test.each(['committer', 'gatherer'])(
  'rows that wait at a %s are bounded by their text too',
  async kind => {
    const world = newWorld(2);
    const {worldClock: clock, platform} = world;
    const metrics = new SilentMetrics();
    const {table} = platform.portsOf();
    const bounds = {queueCharacters: 10, aboveInstances: 1};
    const commit = {...testSettings.commit, ...bounds};
    const direct = new GroupCommitter(table, clock, metrics, commit, () => 1);
    const writer =
      kind === 'committer'
        ? direct
        : new GatheringWriter({
            // Rows that find no room go there; it takes none.
            direct: new GroupCommitter(
              table,
              clock,
              metrics,
              {...commit, queueLimit: 0},
              () => 1,
            ),
            peers: new WorldPeers(world),
            directory: new WorldDirectory(world),
            clock,
            metrics,
            settings: {...testSettings.gather, ...bounds},
            incarnation: 'inc1',
          });
    const writes = ['a', 'b', 'c'].map(key =>
      writer.write({key, value: '123456', condition: {kind: 'any'}}),
    );
    await world.advance(200);
    const results = await Promise.all(writes);
    expect(results.map(({ok}) => ok)).toEqual([true, true, false]);
    writer.dispose();
  },
);

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
