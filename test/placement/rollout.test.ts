import {afterAll, beforeAll, expect, it} from 'vitest';

import {SeededRandomSource} from '../../src/base/common/randomSource.js';
import {checkWholeOwnReply} from '../prove/checks/wholeOwnReply.js';
import {Submission} from '../prove/observations.js';
import {TestClient} from '../prove/testClient.js';
import {launchSystemUnderTest} from '../prove/systemUnderTest.js';
import {randomWork} from '../prove/work.js';
import {LaunchedSystem} from '../support/launcher.js';
import {callJson, EngineHandle} from '../support/systemParts.js';

/** A version is rolled out by the real programs while requests go on; seeds and counts are printed. */

const LAYER_COUNT = 8;
const CALLERS = 4;
const ROLLOUT_MILLISECONDS = 90_000;
/** Far more than a reply takes, so that the verdict doesn't depend on the machine's speed. */
const DEADLINE_MILLISECONDS = 30_000;
const AFTERWARDS_MILLISECONDS = 2_000;
const SEED = Number(process.env['ROLLOUT_SEED'] ?? 1);

let system: LaunchedSystem;
const client = new TestClient();

beforeAll(async () => {
  const manifest = {
    model: 'assistant',
    layerCount: LAYER_COUNT,
    layerBytes: 1_000_000,
    bytesPerSecond: 100_000_000,
  };
  const manifests = ['1', '2'].map(version => ({...manifest, version}));
  system = await launchSystemUnderTest(
    {
      enginesPerProcess: 4,
      controlSettings: {placementEnabled: true},
      platformSettings: {manifests},
    },
    DEADLINE_MILLISECONDS,
  );
});

afterAll(async () => {
  await client.close();
  await system?.dispose();
});

interface Report {
  readonly version: string;
  readonly role: string;
  readonly loading: boolean;
}

async function serves(engine: EngineHandle, version: string): Promise<boolean> {
  const url = `http://${engine.settings.address}/v1/report`;
  const report = (await callJson('GET', url)).body as Report;
  return (
    report.version === version && report.role === 'both' && !report.loading
  );
}

/** Submits one piece of work after the other until told to stop. */
async function keepCalling(
  number: number,
  isWanted: () => boolean,
): Promise<readonly Submission[]> {
  const random = new SeededRandomSource(SEED * 100 + number);
  const submissions: Submission[] = [];
  while (isWanted()) {
    const piece = randomWork(random, number, submissions.length);
    const work = {...piece, kind: 'model', content: contentOf(piece)} as const;
    const place = random.nextInteger(system.instances.length);
    const address = system.instances[place]!.member.callerAddress;
    const key = work.repeatable ? undefined : work.businessKey;
    const startedAt = Date.now();
    const response = await client.submit(address, work, key);
    submissions.push({
      work,
      kind: 'work',
      idempotencyKey: key,
      address,
      startedAt,
      endedAt: Date.now(),
      response,
    });
  }
  return submissions;
}

function contentOf({businessKey}: {readonly businessKey: string}): string {
  return `[key:${businessKey}] [reply:24] please`;
}

it(
  'brings all replicas to another version without a failed request',
  {timeout: ROLLOUT_MILLISECONDS + 60_000},
  async () => {
    let wanted = true;
    const callers = Array.from({length: CALLERS}, (_, number) =>
      keepCalling(number, () => wanted),
    );
    const changedAt = Date.now();
    const response = await system.administer([
      {
        kind: 'setModel',
        value: {
          name: 'assistant',
          version: '2',
          layerCount: LAYER_COUNT,
          adapters: [],
        },
      },
    ]);
    expect(response.status).toBe(201);
    const isDone = async (): Promise<boolean> => {
      const all = await Promise.all(system.engines.map(e => serves(e, '2')));
      return all.every(done => done);
    };
    await system
      .until('version 2 is everywhere', isDone, ROLLOUT_MILLISECONDS)
      .finally(() =>
        setTimeout(() => (wanted = false), AFTERWARDS_MILLISECONDS),
      );
    const seconds = (Date.now() - changedAt) / 1000;
    const submissions = (await Promise.all(callers)).flat();
    const failed = submissions.filter(one => one.response.end !== 'whole');
    console.log(
      JSON.stringify({seed: SEED, seconds, requests: submissions.length}),
    );
    expect(failed.map(one => one.response)).toEqual([]);
    expect(checkWholeOwnReply(submissions, LAYER_COUNT)).toEqual([]);
    await expectLedgersAgree();
  },
);

/** No reply has tokens of two versions; each replica's orders grow; engines get no order twice. */
async function expectLedgersAgree(): Promise<void> {
  const versions = new Map<string, Set<string>>();
  for (const engine of system.engines) {
    const orders: string[] = [];
    for (const entry of await engine.ledger()) {
      if (entry.kind === 'completed' && entry.token !== undefined) {
        const known = versions.get(entry.requestId) ?? new Set();
        versions.set(entry.requestId, known.add(entry.version));
      } else if (entry.kind === 'ordered') {
        orders.push(`${entry.version} ${entry.role}`);
      }
    }
    expect([engine.id, orders]).toEqual([engine.id, ['1 decode', '2 both']]);
  }
  const mixed = [...versions].filter(([, seen]) => seen.size > 1);
  expect(mixed).toEqual([]);
  expect([...versions.values()].some(seen => seen.has('2'))).toBe(true);
}
