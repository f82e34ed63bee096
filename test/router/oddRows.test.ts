import {describe, expect, it, onTestFinished} from 'vitest';

import {StandInSystem, waitFor} from '../standins/fleet/system.js';
import {sleep} from '../support/sleep.js';
import {eventIdsOf, sendRequest, waitUntilServing} from './sendRequest.js';

/** Router instances beside rows of another writer among those of the upstreams. */

const EVENT_COUNT = 30;
const STREAM_COUNT = 40;
/** Instances read the list once a second. */
const LIST_READ_MILLISECONDS = 2_000;
const USE_TIMEOUT_MILLISECONDS = 8_000;
const CHANGE_PERIOD_MILLISECONDS = 100;
const NESTED_LEVELS = 200_000;
const LONG_TEXT_CHARACTERS = 200_000;

const soundRow = {
  Service: 'model',
  Addr: '127.9.9.9:1',
  Zone: 'north',
  Version: 'v1',
  Slots: 100,
  State: 'ready',
  ColdLeftMs: 0,
  Kind: 'small',
  Layers: {From: 0, To: 6},
  Models: [],
  Seq: 1,
  born: 1,
};

function rowWith(fields: Readonly<Record<string, unknown>>): string {
  return JSON.stringify({...soundRow, ...fields});
}

/** A row with a number that JSON writes but that JavaScript doesn't print. */
function rowWithNumber(field: string, digits: string): string {
  return rowWith({[field]: '@'}).replace('"@"', digits);
}

const nested = '['.repeat(NESTED_LEVELS) + ']'.repeat(NESTED_LEVELS);

const rowGroups: ReadonlyArray<{name: string; rows: readonly string[]}> = [
  {
    name: 'layers without end',
    rows: [
      rowWith({Layers: {From: 0, To: Number.MAX_SAFE_INTEGER}}),
      rowWith({Layers: {From: Number.MAX_SAFE_INTEGER - 1, To: 1e15}}),
      rowWithNumber('Layers', '{"From":0,"To":1e400}'),
    ],
  },
  {
    name: 'addresses that are none',
    rows: ['127.9.9.9:65536', '127.9.9.9:0', '999.1.1.1:80', '1.1:9', '...:1']
      .concat(`127.9.9.9:${'9'.repeat(400)}`)
      .map(Addr => rowWith({Addr})),
  },
  {
    name: 'bytes that cannot be read',
    rows: [
      '',
      'no JSON',
      nested,
      rowWith({Unknown: '@'}).replace('"@"', nested),
      rowWith({Models: '@'}).replace('"@"', nested),
      rowWith({Layers: '@'}).replace('"@"', nested),
      '{"__proto__": {"Service": "model"}}',
      'null',
      '[]',
    ],
  },
  {
    name: 'numbers that are too large',
    rows: ['Slots', 'Seq', 'ColdLeftMs', 'born'].flatMap(field =>
      ['1e400', '1e308', '-1e308', '9007199254740993'].map(digits =>
        rowWithNumber(field, digits),
      ),
    ),
  },
  {
    name: 'long texts and lists',
    rows: [
      ...['Service', 'Zone', 'Kind', 'Version'].map(field =>
        rowWith({[field]: 'x'.repeat(LONG_TEXT_CHARACTERS)}),
      ),
      rowWith({Models: Array(5_000).fill({Name: 'x'.repeat(100)})}),
    ],
  },
];

describe('router instances beside rows of another writer', () => {
  async function start(): Promise<StandInSystem> {
    const system = await StandInSystem.start(2);
    onTestFinished(() => system.stop());
    await waitUntilServing(system.instances);
    return system;
  }

  /** Streams at all instances in turn that were not answered whole. */
  async function countUnserved(system: StandInSystem): Promise<number> {
    const {instances} = system;
    const served = await Promise.all(
      [...Array(STREAM_COUNT).keys()].map(async index => {
        const instance = instances[index % instances.length]!;
        const response = await sendRequest(instance, '/chat/x').catch(
          () => undefined,
        );
        return (
          response?.status === 200 &&
          eventIdsOf(response).length === EVENT_COUNT
        );
      }),
    );
    return served.filter(isServed => !isServed).length;
  }

  async function expectServing(system: StandInSystem): Promise<void> {
    await sleep(LIST_READ_MILLISECONDS);
    expect(await countUnserved(system)).toBe(0);
    const [engine] = system.engines.engines;
    engine!.leave();
    await engine!.restart();
    const added = system.engines.engines.at(-1)!;
    await waitFor(
      async () => (await countUnserved(system)) === 0 && added.isLoaded,
      USE_TIMEOUT_MILLISECONDS,
    );
  }

  it.each(rowGroups)(
    'with $name serve all streams and use an upstream that is added',
    async ({rows}) => {
      const system = await start();
      rows.forEach((row, index) =>
        system.store.putText('servers', `odd-${index}`, row),
      );
      await expectServing(system);
    },
  );

  it('that change all the time serve all streams and use an upstream that is added', async () => {
    const system = await start();
    const rows = rowGroups.flatMap(group => group.rows);
    let count = 0;
    const timer = setInterval(() => {
      system.store.putText('servers', 'odd', rows[count % rows.length]!);
      count++;
    }, CHANGE_PERIOD_MILLISECONDS);
    onTestFinished(() => clearInterval(timer));
    await expectServing(system);
  });
});
