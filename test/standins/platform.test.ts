import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  CancellationSource,
  neverCancelled,
} from '../../src/base/common/cancellation.js';
import {Member} from '../../src/infrastructure/membership/common/membershipList.js';
import {HttpMembershipList} from '../../src/infrastructure/membership/node/httpMembershipList.js';
import {HttpObjectStore} from '../../src/infrastructure/objects/node/httpObjectStore.js';
import {
  RowCondition,
  RowWrite,
  TableService,
} from '../../src/infrastructure/table/common/tableService.js';
import {HttpTableService} from '../../src/infrastructure/table/node/httpTableService.js';
import {HttpWeightStore} from '../../src/infrastructure/weights/node/httpWeightStore.js';
import {
  InMemoryPlatform,
  PlatformFault as MemoryFault,
} from '../support/inMemoryPlatform.js';
import {freeAddresses} from '../support/ports.js';
import {
  PlatformFault,
  PlatformStandIn,
  PlatformStandInSettings,
  startPlatform,
} from './platformStandIn.js';

const ANY: RowCondition = {kind: 'any'};
const ABSENT: RowCondition = {kind: 'absent'};
const MANIFEST = {
  model: 'assistant',
  version: '1',
  layerCount: 8,
  layerBytes: 1000,
  bytesPerSecond: 5000,
};
const MEMBER: Member = {
  role: 'engine',
  id: 'engine-1',
  dataCentre: 'west-1',
  region: 'west',
  address: '127.0.0.1:1',
  group: 'replica-1',
  state: 'live',
};

let settings: PlatformStandInSettings;
let platform: PlatformStandIn;
let table: HttpTableService;
let otherTable: HttpTableService;

beforeEach(async () => {
  const [a, b, c, d, e] = await freeAddresses(5);
  settings = {
    tableAddress: a!,
    objectsAddress: b!,
    weightsAddress: c!,
    membershipAddress: d!,
    faultAddress: e!,
    manifests: [MANIFEST],
    members: [MEMBER],
  };
  platform = await startPlatform(settings);
  table = new HttpTableService(settings.tableAddress, 'instance-1');
  otherTable = new HttpTableService(settings.tableAddress, 'instance-2');
});

afterEach(() => {
  table.dispose();
  otherTable.dispose();
  platform.dispose();
});

function put(key: string, value: string, condition = ANY): RowWrite {
  return {key, value, condition};
}

async function values(store: TableService, ...keys: string[]) {
  const rows = await store.read(keys, neverCancelled);
  return rows.ok ? rows.value.map(row => row?.value) : rows.error.kind;
}

describe('table transactions follow the same rules in memory and over HTTP', () => {
  const stores: ReadonlyArray<readonly [string, () => TableService]> = [
    ['in memory', () => new InMemoryPlatform().servicesFor().table],
    ['over HTTP', () => table],
  ];
  it.each(stores)('%s', async (name, create) => {
    const store = create();
    const transact = async (writes: RowWrite[], mode: 'all' | 'each') => {
      const result = await store.transact(writes, mode, neverCancelled);
      return result.ok ? result.value : result.error;
    };
    expect(await transact([put('a', '1', ABSENT)], 'all')).toEqual([
      {kind: 'written', version: 1},
    ]);
    const current = {key: 'a', version: 1, value: '1'};
    expect(
      await transact([put('b', '2'), put('a', '3', ABSENT)], 'all'),
    ).toEqual([
      {kind: 'conflict', current: undefined},
      {kind: 'conflict', current},
    ]);
    expect(await values(store, 'b', 'a')).toEqual([undefined, '1']);
    expect(
      await transact([put('b', '2'), put('a', '3', ABSENT)], 'each'),
    ).toEqual([
      {kind: 'written', version: 1},
      {kind: 'conflict', current},
    ]);
    const version: RowCondition = {kind: 'version', version: 1};
    await transact([{key: 'a', value: undefined, condition: version}], 'all');
    expect(await transact([put('a', '4', ABSENT)], 'all')).toEqual([
      {kind: 'written', version: 3},
    ]);
    const scan = await store.scan('', 'a', 5, neverCancelled);
    expect(scan.ok && scan.value.map(row => row.key)).toEqual(['b']);
    await expect(transact([], 'all')).rejects.toThrow('1 to 100 rows');
  });
});

describe('outcomes of table requests under faults', () => {
  const cases: ReadonlyArray<
    readonly [PlatformFault, string, string | undefined]
  > = [
    [{kind: 'down'}, 'unavailable', undefined],
    [{kind: 'unavailable'}, 'unavailable', undefined],
    [{kind: 'answerLost'}, 'outcomeUnknown', 'v'],
    [{kind: 'requestLost'}, 'outcomeUnknown', undefined],
    [
      {kind: 'rateLimited', retryAfterMilliseconds: 70},
      'rateLimited',
      undefined,
    ],
  ];
  it.each(cases)(
    'a write under fault %j has the outcome %s, then reads %s',
    async (fault, kind, value) => {
      await platform.setFault({fault, part: 'table'});
      const result = await table.transact(
        [put('k', 'v')],
        'all',
        neverCancelled,
      );
      expect(!result.ok && result.error.kind).toBe(kind);
      await platform.setFault({fault: {kind: 'clear'}});
      expect(await values(table, 'k')).toEqual([value]);
    },
  );

  it.each(cases.filter(([fault]) => fault.kind !== 'unavailable'))(
    'in memory: a write under fault %j has the outcome %s, then reads %s',
    async (fault, kind, value) => {
      const shared = new InMemoryPlatform();
      const store = shared.servicesFor('a').table;
      shared.addFault(fault as MemoryFault, {instance: 'a', times: 1});
      const result = await store.transact(
        [put('k', 'v')],
        'all',
        neverCancelled,
      );
      expect(!result.ok && result.error.kind).toBe(kind);
      expect(await values(shared.servicesFor('b').table, 'k')).toEqual([value]);
    },
  );

  it('a fault applies only to its instance, and as often as requested', async () => {
    const fault = {kind: 'requestLost'} as const;
    await platform.setFault({fault, instance: 'instance-1', times: 1});
    expect(await values(table, 'k')).toBe('outcomeUnknown');
    expect(await values(table, 'k')).toEqual([undefined]);
    await platform.setFault({fault, instance: 'instance-1'});
    expect(await values(otherTable, 'k')).toEqual([undefined]);
  });

  it('a slow write takes effect after its caller has cancelled', async () => {
    // With its single connection already open, a request is sent as soon as it is made.
    const single = new HttpTableService(settings.tableAddress, 'instance-1', {
      connections: 1,
    });
    await values(single, 'k');
    const fault = {kind: 'slow', milliseconds: 300} as const;
    await platform.setFault({fault, access: 'write'});
    const source = new CancellationSource();
    source.cancelAfter(20, 'impatient');
    const result = await single.transact([put('k', 'v')], 'all', source.token);
    expect(!result.ok && result.error.kind).toBe('outcomeUnknown');
    await expect.poll(() => values(table, 'k')).toEqual(['v']);
    const later = await single.read(['k'], source.token);
    expect(!later.ok && later.error.kind).toBe('unavailable');
    single.dispose();
  });
});

describe('objects, manifests and membership', () => {
  it('objects can be stored, listed and deleted', async () => {
    const store = new HttpObjectStore(settings.objectsAddress, 'instance-1');
    const name = 'configuration/1 ü';
    await store.put(name, '{"a":1}', neverCancelled);
    expect(await store.get(name, neverCancelled)).toMatchObject({
      value: '{"a":1}',
    });
    expect(await store.list('configuration/', neverCancelled)).toMatchObject({
      value: [name],
    });
    await store.delete(name, neverCancelled);
    expect(await store.get(name, neverCancelled)).toEqual({
      ok: true,
      value: undefined,
    });
    store.dispose();
  });

  it('an existing manifest is found and a missing one is undefined', async () => {
    const store = new HttpWeightStore(settings.weightsAddress, 'instance-1');
    const found = await store.manifest('assistant', '1', neverCancelled);
    expect(found).toEqual({ok: true, value: MANIFEST});
    const missing = await store.manifest('assistant', '2', neverCancelled);
    expect(missing).toEqual({ok: true, value: undefined});
    store.dispose();
  });

  it('changes of the membership list become visible after the lag', async () => {
    const list = new HttpMembershipList(settings.membershipAddress, 'i');
    const states = async () => {
      const result = await list.read(neverCancelled);
      return result.ok && result.value.members.map(member => member.state);
    };
    platform.setMembers({
      set: [{...MEMBER, state: 'leaving'}],
      lagMilliseconds: 40,
    });
    expect(await states()).toEqual(['live']);
    await expect.poll(states).toEqual(['leaving']);
    list.dispose();
  });
});
