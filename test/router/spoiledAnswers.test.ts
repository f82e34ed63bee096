import {readFileSync, statSync} from 'node:fs';
import {IncomingMessage} from 'node:http';
import process from 'node:process';

import {afterAll, beforeAll, beforeEach, describe, expect, it} from 'vitest';

import {SeededRandomSource} from '../../src/base/common/randomSource.js';
import {
  AnswerSpoiler,
  ByteChange,
  Spoiling,
} from '../standins/fleet/answerSpoiler.js';
import {StandInSystem} from '../standins/fleet/system.js';
import {
  eventIdsOf,
  RecordedResponse,
  sendRequest,
  waitUntilServing,
} from './sendRequest.js';

/**
 * Router programs in front of upstreams that spoil one to three bytes of some answers, at any place and to any value.
 * `SPOILED_SEED` and `SPOILED_ANSWERS` set the seed and the number of requests of a longer run.
 */

const DEFAULT_SEED = 20_261_204;
const DEFAULT_REQUESTS = 2_400;

/** Requests in progress at the same time. */
const CONCURRENCY = 48;

const EVENT_COUNT = 30;

/** Bytes of a whole answer, so that places are spread over all of it. */
const PLAIN_ANSWER_BYTES = 200;
const STREAM_ANSWER_BYTES = 1_400;

/** Share of the changes that fall into the head of the answer. */
const HEAD_SHARE = 0.4;
const HEAD_BYTES = 180;

const HELD_SHARE = 0.3;
const HELD_MILLISECONDS = 60;

/** `TimeoutMs` of the configuration's routes, and the time by which an answer may be later. */
const STREAM_LIMIT_MILLISECONDS = 10_000;
const PLAIN_LIMIT_MILLISECONDS = 3_000;
const LIMIT_SLACK_MILLISECONDS = 500;

/** Period at which an instance checks its event loop, and the processor time by which one turn may prolong it. */
const LOOP_CHECK_MILLISECONDS = 100;
const TURN_LIMIT_MILLISECONDS = 50;

const TEST_TIMEOUT_MILLISECONDS = 900_000;

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

interface Exchange {
  readonly id: string;
  readonly path: string;
  readonly spoiling: Spoiling;
}

/** Requests with the spoiled answers that they get, the first of each. */
class SpoiledRequests {
  private readonly pending = new Map<string, Spoiling>();

  constructor(private readonly random: SeededRandomSource) {}

  readonly spoiler = new AnswerSpoiler((request: IncomingMessage) => {
    const id = String(request.headers['request-id']);
    const spoiling = this.pending.get(id);
    this.pending.delete(id);
    return spoiling;
  });

  /** Chooses a request whose first answer is spoiled. */
  next(index: number): Exchange {
    const path = ['/chat/x', '/book/x', '/look/x'][index % 3]!;
    const bytes = path === '/chat/x' ? STREAM_ANSWER_BYTES : PLAIN_ANSWER_BYTES;
    const count = 1 + this.below(3);
    const changes = [...Array(count).keys()].map(() => this.change(bytes));
    const isHeld = this.random.next() < HELD_SHARE;
    return this.add(`spoiled-${index}`, path, {
      changes,
      heldMilliseconds: isHeld ? HELD_MILLISECONDS : 0,
    });
  }

  /** Registers how the first answer to a request is spoiled. */
  add(id: string, path: string, spoiling: Spoiling): Exchange {
    this.pending.set(id, spoiling);
    return {id, path, spoiling};
  }

  private change(bytes: number): ByteChange {
    const isHead = this.random.next() < HEAD_SHARE;
    const kinds = ['replace', 'replace', 'omit', 'insert'] as const;
    return {
      offset: this.below(isHead ? HEAD_BYTES : bytes),
      kind: kinds[this.below(kinds.length)]!,
      value: this.below(256),
    };
  }

  private below(limit: number): number {
    return Math.floor(this.random.next() * limit);
  }
}

describe('answers with spoiled bytes', () => {
  let system: StandInSystem;
  let requests: SpoiledRequests;
  let logStarts: readonly number[] = [];
  const seed = Number(process.env['SPOILED_SEED'] ?? DEFAULT_SEED);

  beforeAll(async () => {
    system = await StandInSystem.start(2);
    await waitUntilServing(system.instances);
    requests = new SpoiledRequests(new SeededRandomSource(seed));
    for (const {server} of [
      ...system.engines.engines,
      ...system.plainReplicas,
    ]) {
      requests.spoiler.attach(server);
    }
  });

  beforeEach(() => {
    logStarts = system.instances.map(
      instance => statSync(instance.process.logFile).size,
    );
  });

  afterAll(() => system.stop());

  /** Sends a request; returns what is wrong with what the caller and the upstreams saw. */
  async function check({
    id,
    path,
    spoiling,
  }: Exchange): Promise<string | undefined> {
    const index = Number(id.split('-').at(-1)) % system.instances.length;
    const startedAt = performance.now();
    const response = await sendRequest(system.instances[index]!, path, {
      headers: {'request-id': id},
    }).catch(() => undefined);
    const elapsed = performance.now() - startedAt;
    const runs = runsOf(id, path);
    const problem = findProblem(path, response, elapsed, runs);
    return problem === undefined
      ? undefined
      : `${id} ${path} ${JSON.stringify(spoiling)}: ${problem}`;
  }

  function runsOf(id: string, path: string): number {
    const ids =
      path === '/chat/x'
        ? system.engines.engines.flatMap(({runs}) =>
            runs.map(({requestId}) => requestId),
          )
        : system.plainReplicas.flatMap(({executedRequests}) =>
            executedRequests.map(({headers}) =>
              headerOf(headers, 'request-id'),
            ),
          );
    return ids.filter(found => found === id).length;
  }

  /** Log lines since the start of the test that no spoiled answer may cause. */
  function findLogLines(): readonly string[] {
    return system.instances
      .flatMap(({process: {logFile}}, index) =>
        readFileSync(logFile).subarray(logStarts[index]).toString().split('\n'),
      )
      .filter(line => isUnexpectedError(line) || isLongTurn(line));
  }

  // Guards against an assertion of a library, whose message Node.js builds by parsing the whole bundle for seconds.
  it('whose status is below 100 or switches protocols hold up no other request', async () => {
    const statusOffset = 'HTTP/1.1 '.length;
    const exchanges = ['099', '101', '000', '199'].flatMap((status, index) =>
      ['/chat/x', '/book/x'].map((path, kind) =>
        requests.add(`status-${index}${kind}`, path, {
          changes: [...status].map((digit, place) => ({
            offset: statusOffset + place,
            kind: 'replace',
            value: digit.charCodeAt(0),
          })),
          heldMilliseconds: 0,
        }),
      ),
    );
    expect((await Promise.all(exchanges.map(check))).filter(isDefined)).toEqual(
      [],
    );
    expect(findLogLines()).toEqual([]);
  });

  it(
    'are answered in time, without gap, and run once where they must not be repeated',
    async () => {
      const total = Number(process.env['SPOILED_ANSWERS'] ?? DEFAULT_REQUESTS);
      const problems: string[] = [];
      let started = 0;
      const work = async (): Promise<void> => {
        while (started < total) {
          const problem = await check(requests.next(started++));
          if (problem !== undefined) {
            problems.push(problem);
          }
        }
      };
      await Promise.all([...Array(CONCURRENCY).keys()].map(work));
      expect(problems).toEqual([]);
      expect(findLogLines()).toEqual([]);
    },
    TEST_TIMEOUT_MILLISECONDS,
  );
});

function findProblem(
  path: string,
  response: RecordedResponse | undefined,
  elapsed: number,
  runs: number,
): string | undefined {
  const limit =
    path === '/chat/x' ? STREAM_LIMIT_MILLISECONDS : PLAIN_LIMIT_MILLISECONDS;
  if (elapsed > limit + LIMIT_SLACK_MILLISECONDS) {
    return `answered after ${Math.round(elapsed)} ms`;
  }
  if (response === undefined) {
    return 'connection closed without an answer';
  }
  if (path === '/chat/x') {
    return findStreamProblem(response);
  }
  if (path === '/book/x' && runs > 1) {
    return `ran ${runs} times`;
  }
  if (path === '/book/x' && runs > 0 && NOT_RUN_STATUSES.has(response.status)) {
    return `answered ${response.status} although it ran`;
  }
  return undefined;
}

/** A whole stream has every event once, in order; one that is broken off has no gap and does not look complete. */
function findStreamProblem(response: RecordedResponse): string | undefined {
  if (response.status < 200 || response.status >= 300) {
    return undefined;
  }
  const ids = eventIdsOf(response);
  const isSequence = ids.every((id, index) => id === index + 1);
  const isWhole = !response.isComplete || ids.length === EVENT_COUNT;
  const events = response.body.split('\n\n').slice(0, -1);
  const isJoined = events.length !== ids.length;
  return isSequence && isWhole && !isJoined
    ? undefined
    : `${response.isComplete ? 'complete' : 'broken off'} with ${ids.join(' ')} in ${events.length} events`;
}

function isUnexpectedError(line: string): boolean {
  return /uncaught exception|unhandled rejection|unexpected error/.test(line);
}

/** Whether an instance computed for too long without a pause; one that waited for a processor did not. */
function isLongTurn(line: string): boolean {
  const processorTime = /event loop delayed/.test(line)
    ? Number(/"processorMilliseconds":(\d+)/.exec(line)?.[1])
    : 0;
  return processorTime > LOOP_CHECK_MILLISECONDS + TURN_LIMIT_MILLISECONDS;
}

function headerOf(headers: readonly string[], name: string): string {
  const index = headers.findIndex(header => header.toLowerCase() === name);
  return headers[index + 1] ?? '';
}

function isDefined(text: string | undefined): text is string {
  return text !== undefined;
}
