import {request} from 'undici';

import {SeededRandomSource} from '../../src/base/common/randomSource.js';
import {hashKey} from '../../test/support/launcher.js';
import {sleep} from '../../test/support/sleep.js';
import {Caller} from './caller.js';
import {runClosedLoop} from './closedLoop.js';
import {MeasuredSystem} from './measuredSystem.js';

/** Measures the calls to the platform's table that non-repeatable requests cause. */

/** Table calls for one number of instances and one form of idempotency key. */
export interface ClaimReport {
  readonly instances: number;
  /** Whether each idempotency key started with a grant of the instance that received the request. */
  readonly withGrants: boolean;
  readonly requestsPerSecond: number;
  readonly completed: number;
  readonly failed: number;
  /** Calls to the table; one call can carry many rows. */
  readonly tableWritesPerRequest: number;
  readonly tableReadsPerRequest: number;
  /** Calls that the table's rate limit refused. */
  readonly refused: number;
}

const CLASS_NAME = 'once';
const MODEL = 'assistant';
const OUTPUT_TOKENS = 2;
const CONCURRENCY = 24;
const RECORDING_DELAY_MILLISECONDS = 400;
const ACCOUNT = {name: 'claimer', bearerKey: 'key-claimer'};

/** Runs the same load on one, two and four instances, with plain keys and with keys that contain a grant. */
export async function measureClaims(
  measured: MeasuredSystem,
  options: {readonly seed: number; readonly seconds: number},
): Promise<readonly ClaimReport[]> {
  await activateConfiguration(measured);
  const reports: ClaimReport[] = [];
  for (const withGrants of [false, true]) {
    for (const instances of [1, 2, 4]) {
      reports.push(
        await measureRound(measured, instances, withGrants, options),
      );
    }
  }
  return reports;
}

async function activateConfiguration({system}: MeasuredSystem): Promise<void> {
  await system.proposeConfiguration([
    {
      kind: 'setClass',
      value: {
        name: CLASS_NAME,
        firstTokenMilliseconds: 3000,
        betweenTokensMilliseconds: 500,
        deadlineMilliseconds: 20_000,
        requestsPerSecond: 500,
        repeatable: false,
      },
    },
    {
      kind: 'setClientAccount',
      value: {name: ACCOUNT.name, keyHash: hashKey(ACCOUNT.bearerKey)},
    },
  ]);
}

async function measureRound(
  measured: MeasuredSystem,
  instances: number,
  withGrants: boolean,
  options: {readonly seed: number; readonly seconds: number},
): Promise<ClaimReport> {
  const {platform} = measured.system;
  const callers = measured.callers.slice(0, instances);
  const grants = await Promise.all(callers.map(fetchGrant));
  const random = new SeededRandomSource(options.seed);
  await platform.resetCounts();
  const startedAt = performance.now();
  let index = 0;
  let failed = 0;
  const {requests} = await runClosedLoop(
    CONCURRENCY,
    options.seconds * 1000,
    random,
    async () => {
      const callerIndex = index++ % instances;
      const key = `${withGrants ? `${grants[callerIndex]}.` : ''}${instances}-${withGrants}-${index}`;
      const isComplete = await sendClaimedRequest(callers[callerIndex], key);
      failed += isComplete ? 0 : 1;
      return 0;
    },
  );
  const seconds = (performance.now() - startedAt) / 1000;
  // The router records outcomes shortly after it has sent the replies.
  await sleep(RECORDING_DELAY_MILLISECONDS);
  const counts = await platform.counts();
  return {
    instances,
    withGrants,
    requestsPerSecond: Math.round(requests / seconds),
    completed: requests - failed,
    failed,
    tableWritesPerRequest: ratePerRequest(
      counts['table write'].total,
      requests,
    ),
    tableReadsPerRequest: ratePerRequest(counts['table read'].total, requests),
    refused: counts['table write'].refused + counts['table read'].refused,
  };
}

async function sendClaimedRequest(
  caller: Caller,
  key: string,
): Promise<boolean> {
  const outcome = await caller.stream({
    classOfWork: CLASS_NAME,
    bearerKey: ACCOUNT.bearerKey,
    model: MODEL,
    prompt: `[reply:${OUTPUT_TOKENS}] pour ${key.slice(-12)}`,
    maximumOutputTokens: OUTPUT_TOKENS,
    idempotencyKey: key,
    deadlineMilliseconds: undefined,
  });
  return outcome.whole;
}

async function fetchGrant(caller: Caller): Promise<string | null> {
  const response = await request(`http://${caller.address}/v1/entrypoints`, {
    headers: {authorization: `Bearer ${ACCOUNT.bearerKey}`},
  });
  return ((await response.body.json()) as {grant: string | null}).grant;
}

function ratePerRequest(count: number, requests: number): number {
  return Math.round((1000 * count) / Math.max(1, requests)) / 1000;
}
