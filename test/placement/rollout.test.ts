import {afterAll, beforeAll, expect, it} from 'vitest';

import {SeededRandomSource} from '../../src/base/common/randomSource.js';
import {checkWholeOwnReply} from '../prove/checks/wholeOwnReply.js';
import {Submission} from '../prove/observations.js';
import {launchSystemUnderTest} from '../prove/systemUnderTest.js';
import {TestClient} from '../prove/testClient.js';
import {randomWork} from '../prove/work.js';
import {LaunchedSystem} from '../support/launcher.js';
import {callJson, EngineHandle} from '../support/systemHandles.js';

/** The real programs roll out a model version while callers send requests; prints seed, seconds and request count. */

const LAYER_COUNT = 8;
const CALLER_COUNT = 4;
const ROLLOUT_TIMEOUT_MILLISECONDS = 90_000;
/** Far longer than a reply takes, so that the result doesn't depend on the machine's speed. */
const DEADLINE_MILLISECONDS = 30_000;
const LOAD_AFTER_ROLLOUT_MILLISECONDS = 2_000;
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

interface EngineReport {
  readonly version: string;
  readonly role: string;
  readonly loading: boolean;
}

async function servesVersion(
  engine: EngineHandle,
  version: string,
): Promise<boolean> {
  const url = `http://${engine.settings.address}/v1/report`;
  const report = (await callJson('GET', url)).body as EngineReport;
  return (
    report.version === version && report.role === 'both' && !report.loading
  );
}

/** Submits pieces of work one after the other while `isLoadWanted` returns true. */
async function submitWhile(
  callerNumber: number,
  isLoadWanted: () => boolean,
): Promise<readonly Submission[]> {
  const random = new SeededRandomSource(SEED * 100 + callerNumber);
  const submissions: Submission[] = [];
  while (isLoadWanted()) {
    const piece = randomWork(random, callerNumber, submissions.length);
    const work = {...piece, kind: 'model', content: contentOf(piece)} as const;
    const index = random.nextInteger(system.instances.length);
    const address = system.instances[index]!.member.callerAddress;
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
  'rolls out a version to all replicas without a failed request',
  {timeout: ROLLOUT_TIMEOUT_MILLISECONDS + 60_000},
  async () => {
    let isLoadWanted = true;
    const callers = Array.from({length: CALLER_COUNT}, (_, number) =>
      submitWhile(number, () => isLoadWanted),
    );
    const changedAt = Date.now();
    const response = await system.proposeConfiguration([
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
      const all = await Promise.all(
        system.engines.map(engine => servesVersion(engine, '2')),
      );
      return all.every(isServing => isServing);
    };
    await system
      .waitUntil(
        'version 2 is everywhere',
        isDone,
        ROLLOUT_TIMEOUT_MILLISECONDS,
      )
      .finally(() =>
        setTimeout(
          () => (isLoadWanted = false),
          LOAD_AFTER_ROLLOUT_MILLISECONDS,
        ),
      );
    const seconds = (Date.now() - changedAt) / 1000;
    const submissions = (await Promise.all(callers)).flat();
    const failed = submissions.filter(
      submission => submission.response.end !== 'whole',
    );
    console.log(
      JSON.stringify({seed: SEED, seconds, requests: submissions.length}),
    );
    expect(failed.map(submission => submission.response)).toEqual([]);
    expect(checkWholeOwnReply(submissions, LAYER_COUNT)).toEqual([]);
    await expectConsistentLedgers();
  },
);

/** Expects that no reply mixes versions, and that each engine got the orders of both versions once and in sequence. */
async function expectConsistentLedgers(): Promise<void> {
  const versions = new Map<string, Set<string>>();
  for (const engine of system.engines) {
    const orders: string[] = [];
    for (const entry of await engine.ledger()) {
      if (entry.kind === 'completed' && entry.token !== undefined) {
        const versionsOfRequest = versions.get(entry.requestId) ?? new Set();
        versions.set(entry.requestId, versionsOfRequest.add(entry.version));
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
