import {once} from 'node:events';
import {connect, Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, test} from 'vitest';

import {failure, success} from '../../../base/common/result.js';
import {ClaimDecision} from '../../claims/common/claimService.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {maybeExecuted, notExecuted} from '../common/failureBody.js';
import {
  bearer,
  CallerFixture,
  chatBody,
  chatPath,
  configuration,
  CountingClock,
  AcceleratedClock,
  replyOf,
} from './callerFakes.js';

const query = {'Redwing-Class': 'query'};
const order = {'Redwing-Class': 'order', 'Idempotency-Key': 'key-1'};

let fixture: CallerFixture;

beforeEach(async () => {
  fixture = await new CallerFixture().start();
});

afterEach(() => fixture.server.close());

/** Starts as many requests as may be in progress; the returned function aborts them. */
async function occupyAllSlots(): Promise<() => Promise<unknown>> {
  fixture.driver.script = () => new Promise(() => undefined);
  const caller = new AbortController();
  const held = [1, 2].map(() =>
    fixture.send(chatPath, query, chatBody(), caller.signal),
  );
  await expect.poll(() => fixture.driver.requests.length).toBe(2);
  return () => {
    caller.abort();
    return Promise.allSettled(held);
  };
}

/** Sends bytes on a new connection that the server may reset; does not read the response. */
function sendBytes(bytes: string): Socket {
  const socket = connect(fixture.port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write(bytes);
  return socket;
}

function whenClosed(socket: Socket): Promise<unknown> {
  return new Promise(resolve => socket.once('close', resolve));
}

/** Reads until the connection closes. */
async function readUntilClose(socket: Socket): Promise<string> {
  const received: Buffer[] = [];
  socket.on('data', chunk => received.push(chunk));
  await whenClosed(socket);
  return Buffer.concat(received).toString();
}

/** A chat request whose headers end with the given lines. */
function chatBytes(lines: string, body = ''): string {
  return (
    `POST ${chatPath} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${bearer}\r\n` +
    `Redwing-Class: query\r\n${lines}\r\n\r\n${body}`
  );
}

/** A complete chat request. */
function chatRequestBytes(stream = false): string {
  const body = JSON.stringify(chatBody(stream));
  return chatBytes(`Content-Length: ${body.length}`, body);
}

/** Parses the `data:` lines that contain JSON. */
function parseEvents(text: string): any[] {
  return text
    .split('\n\n')
    .map(event => /^data: (\{.*)$/m.exec(event)?.[1])
    .filter(data => data !== undefined)
    .map(data => JSON.parse(data));
}

describe('chat', () => {
  test('a complete reply is a chat completion', async () => {
    const response = await fixture.send(chatPath, query, chatBody());
    expect(response.status).toBe(200);
    const body: any = await response.json();
    expect(body).toMatchObject({
      object: 'chat.completion',
      model: 'assistant',
      choices: [
        {
          index: 0,
          message: {role: 'assistant', content: 'Hello there'},
          finish_reason: 'stop',
        },
      ],
      usage: {prompt_tokens: 4, completion_tokens: 2, total_tokens: 6},
    });
    expect(body.id).toBe(`chatcmpl-${fixture.driver.requests[0]!.requestId}`);
  });

  test('a streamed reply carries each token once and ends with [DONE]', async () => {
    const response = await fixture.send(chatPath, query, chatBody(true));
    expect(response.headers.get('content-type')).toContain('text/event-stream');
    const text = await response.text();
    const deltas = parseEvents(text).map(
      event => event.choices[0].delta.content,
    );
    expect(deltas).toEqual(['', 'Hello', ' there', undefined]);
    expect(text.endsWith('data: [DONE]\n\n')).toBe(true);
  });

  test('a truncated reply ends with an error event and not like a complete one', async () => {
    fixture.driver.script = async (_request, sink) => {
      await sink('Hel', 0);
      return failure(maybeExecuted({kind: 'upstreamFailed', detail: 'lost'}));
    };
    const response = await fixture.send(chatPath, order, chatBody(true));
    const text = await response.text();
    expect(text).not.toContain('[DONE]');
    expect(text).not.toContain('"finish_reason":"stop"');
    expect(text).toContain('event: error\n');
    expect(parseEvents(text).at(-1).error).toMatchObject({
      kind: 'upstreamFailed',
      executed: 'unknown',
    });
    expect(fixture.claims.completed).toHaveLength(1);
  });

  test('a refusal before the first token has its own status, even when the caller requested a stream', async () => {
    fixture.driver.script = async () =>
      failure(notExecuted({kind: 'overShare'}, 1200));
    const response = await fixture.send(chatPath, query, chatBody(true));
    expect(response.status).toBe(429);
    expect(response.headers.get('retry-after')).toBe('2');
    expect(await response.json()).toMatchObject({
      error: {kind: 'overShare', executed: 'no', retryAfterMilliseconds: 1200},
    });
  });

  test('the reply to another request is not sent to the caller', async () => {
    fixture.driver.script = async request =>
      success({...replyOf(request, ['x']), requestId: 'other'});
    const response = await fixture.send(chatPath, query, chatBody());
    expect(response.status).toBe(502);
  });

  test('work past its deadline is cancelled, and the caller gets an immediate response', async () => {
    fixture.driver.script = () => new Promise(() => undefined);
    const headers = {...order, 'Redwing-Deadline-Milliseconds': '20'};
    const response = await fixture.send(chatPath, headers, chatBody());
    expect(response.status).toBe(504);
    expect(await response.json()).toMatchObject({
      error: {kind: 'deadlineExceeded', executed: 'unknown'},
    });
  });

  test('a disconnect of the caller cancels the work, and the outcome is recorded', async () => {
    const callerAbort = new AbortController();
    const cancelled = new Promise<string | undefined>(resolve => {
      fixture.driver.script = (request, _sink, token) =>
        new Promise(settle => {
          token.onDidCancel(() => {
            resolve(token.reason);
            settle(success(replyOf(request, ['late'])));
          });
          callerAbort.abort();
        });
    });
    await expect(
      fixture.send(chatPath, order, chatBody(), callerAbort.signal),
    ).rejects.toThrow();
    expect(await cancelled).toBe('callerGone');
    await expect.poll(() => fixture.gate.count).toBe(0);
    expect(fixture.claims.completed).toMatchObject([{kind: 'completed'}]);
  });

  test('a caller that stops reading applies back-pressure to the work instead of filling memory', async () => {
    await fixture.server.close();
    fixture = await new CallerFixture(new AcceleratedClock()).start();
    const large = 'x'.repeat(100_000);
    let acceptedCount = 0;
    let wasCancelled = false;
    fixture.driver.script = async (request, sink, token) => {
      for (; acceptedCount < 1000 && !token.isCancelled; acceptedCount += 1) {
        await sink(large, acceptedCount);
      }
      wasCancelled = token.isCancelled;
      return success(replyOf(request, []));
    };
    const socket = sendBytes(chatRequestBytes(true));
    socket.pause();
    await expect.poll(() => acceptedCount).toBeGreaterThan(0);
    await expect.poll(() => wasCancelled, {timeout: 20_000}).toBe(true);
    expect(acceptedCount).toBeLessThan(500);
    socket.destroy();
  });
});

type InvalidCase = readonly [
  name: string,
  status: number,
  paths: readonly string[],
  headers: Record<string, string>,
  body: unknown,
];

const classHeader = 'Redwing-Class';
const deadlineHeader = 'Redwing-Deadline-Milliseconds';
const keyHeader = 'Idempotency-Key';
const chat = chatBody();
const unknownClass = {[classHeader]: 'nothing'};
const memberNameClass = {[classHeader]: 'constructor'};
const negativeDeadline = {...query, [deadlineHeader]: '-5'};
const missingKey = {[classHeader]: 'order'};
const malformedDeadline = {[deadlineHeader]: 'soon'};
const wrongKey = {...query, Authorization: 'Bearer wrong-key'};
const unknownAdapter = {...chat, model: 'assistant:none'};
const multipleFaults = {
  model: 'none',
  messages: [{role: 7, content: 'x'}],
  max_tokens: 0,
};
const multiplePaths = [
  classHeader,
  deadlineHeader,
  '$.messages[0].role',
  '$.max_tokens',
  '$.model',
];

const invalidCases: readonly InvalidCase[] = [
  ['malformed JSON', 400, ['$'], query, '{"model":'],
  ['a class that does not exist', 400, [classHeader], unknownClass, chat],
  [
    'a class named like an object member',
    400,
    [classHeader],
    memberNameClass,
    chat,
  ],
  ['a negative deadline', 400, [deadlineHeader], negativeDeadline, chat],
  ['non-repeatable work without a key', 400, [keyHeader], missingKey, chat],
  [
    'several errors at once',
    400,
    multiplePaths,
    malformedDeadline,
    multipleFaults,
  ],
  ['an unknown adapter', 400, ['$.model'], query, unknownAdapter],
  ['a missing bearer key', 401, [], {...query, Authorization: ''}, chat],
  ['a wrong bearer key', 401, [], wrongKey, chat],
  ['a body over the limit', 413, [], query, 'x'.repeat(3000)],
];

test.each(invalidCases)(
  'a request is refused for %s',
  async (_name, status, paths, headers, body) => {
    const response = await fixture.send(chatPath, headers, body);
    expect(response.status).toBe(status);
    const text = await response.text();
    const {error} = JSON.parse(text);
    expect(error.executed).toBe('no');
    expect(error.findings.map((finding: any) => finding.path)).toEqual(paths);
    expect(fixture.driver.requests).toHaveLength(0);
    const log = JSON.stringify(fixture.logger.lines);
    for (const secret of [bearer, 'wrong-key']) {
      expect(text + log).not.toContain(secret);
    }
    const next = await fixture.send(chatPath, query, chatBody());
    expect(next.status).toBe(200);
    await expect.poll(() => fixture.gate.count).toBe(0);
  },
);

test.each([
  ['a request that is not HTTP', 'nonsense\r\n\r\n', '400'],
  [
    'a request with endless headers',
    `GET / HTTP/1.1\r\nX: ${'x'.repeat(20_000)}`,
    '431',
  ],
  [
    'a request with two content lengths',
    `POST ${chatPath} HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx`,
    '400',
  ],
])('%s is refused by the HTTP server', async (_name, bytes, status) => {
  const text = await readUntilClose(sendBytes(bytes));
  expect(text.startsWith(`HTTP/1.1 ${status}`)).toBe(true);
  expect((await fixture.send('/v1/health')).status).toBe(200);
});

test.each(['Redwing-Class: order', 'Authorization: Bearer other'])(
  'a header that is sent twice is refused (%s)',
  async line => {
    const socket = connect(fixture.port, '127.0.0.1');
    socket.end(chatBytes(`${line}\r\nContent-Length: 0`));
    const text = await readUntilClose(socket);
    expect(text).toContain('400 Bad Request');
    expect(text).toContain(`"path":"${line.split(':', 1)[0]}"`);
  },
);

test('an endless body is not read past the limit', async () => {
  const socket = sendBytes(chatBytes('Transfer-Encoding: chunked'));
  const chunk = `400\r\n${'x'.repeat(1024)}\r\n`;
  for (let index = 0; index < 4; index += 1) {
    socket.write(chunk);
  }
  const text = await readUntilClose(socket);
  expect(text).toContain('413 Payload Too Large');
  expect(text).toContain('"kind":"tooLarge"');
});

const completed: RequestOutcome = {
  kind: 'completed',
  status: 200,
  contentType: 'application/json',
  body: JSON.stringify({
    id: 'chatcmpl-first',
    object: 'chat.completion',
    created: 1,
    model: 'assistant',
    choices: [
      {
        index: 0,
        message: {role: 'assistant', content: 'kept'},
        finish_reason: 'stop',
      },
    ],
    usage: {prompt_tokens: 1, completion_tokens: 1, total_tokens: 2},
  }),
};

type ClaimCase = readonly [
  name: string,
  status: number,
  decision: ClaimDecision,
  expected: Record<string, unknown>,
];

const duplicateOf = (outcome: RequestOutcome): ClaimDecision => ({
  kind: 'duplicate',
  outcome,
});

const heldElsewhereAt = (
  incarnation: string,
  outcome?: RequestOutcome,
): ClaimDecision => ({
  kind: 'heldElsewhere',
  incarnation,
  outcome,
});

/** The body of a failure. */
function failed(kind: string, executed: string, more: object = {}) {
  return {error: {kind, executed, ...more}};
}

const overShare = notExecuted({kind: 'overShare'}, 10);
const first = {id: 'chatcmpl-first'};
const expiredGrant = {
  source: 'headers',
  path: 'Idempotency-Key',
  expected:
    'a key with a grant that is in force (expired); ask for a new grant at GET /v1/entrypoints',
};
const retryAfter = (retryAfterMilliseconds: number) => ({
  retryAfterMilliseconds,
});

const claimCases: readonly ClaimCase[] = [
  [
    'a completed duplicate replays its reply',
    200,
    duplicateOf(completed),
    first,
  ],
  [
    'a running duplicate is refused',
    409,
    duplicateOf({kind: 'running'}),
    failed('duplicate', 'unknown', retryAfter(1000)),
  ],
  [
    'a failed duplicate replays its failure',
    429,
    duplicateOf({kind: 'failed', failure: overShare}),
    failed('overShare', 'no'),
  ],
  [
    'a duplicate with an unknown outcome is refused',
    409,
    duplicateOf({kind: 'unknown'}),
    failed('duplicate', 'unknown'),
  ],
  [
    'a key held by a known instance is redirected to it',
    421,
    heldElsewhereAt('b-1'),
    failed('heldElsewhere', 'unknown', {addresses: ['b:80']}),
  ],
  [
    'a key held by an unknown instance is refused',
    503,
    heldElsewhereAt('z-1'),
    failed('heldElsewhere', 'unknown', {addresses: []}),
  ],
  [
    'a key held elsewhere with a known outcome replays its reply',
    200,
    heldElsewhereAt('b-1', completed),
    first,
  ],
  [
    'a key with an expired grant is refused',
    400,
    {kind: 'refusedNotRun', detail: 'expired'},
    failed('invalidRequest', 'no', {findings: [expiredGrant]}),
  ],
  [
    'a key that can not be stored is refused',
    503,
    {kind: 'noRoom', detail: 'full', ...retryAfter(4000)},
    failed('cannotMeetTarget', 'no', retryAfter(4000)),
  ],
  [
    'a key reused for another request is refused',
    422,
    {kind: 'keyReused', sameWork: false},
    failed('keyReused', 'no'),
  ],
  [
    'a key reused for the same work in another class is refused',
    422,
    {kind: 'keyReused', sameWork: true},
    failed('keyReused', 'unknown'),
  ],
  [
    'an undecided claim is refused',
    503,
    {kind: 'undecided', detail: 'table unavailable', ...retryAfter(700)},
    failed('claimUndecided', 'unknown', retryAfter(700)),
  ],
];

test.each(claimCases)(
  'claim: %s',
  async (_name, status, decision, expected) => {
    fixture.claims.decision = decision;
    const response = await fixture.send(chatPath, order, chatBody());
    expect(response.status).toBe(status);
    expect(await response.json()).toMatchObject(expected);
    expect(fixture.driver.requests).toHaveLength(0);
    expect(fixture.claims.completed).toHaveLength(0);
  },
);

test('a recorded reply is replayed as events when the caller requests a stream', async () => {
  fixture.claims.decision = {kind: 'duplicate', outcome: completed};
  const response = await fixture.send(chatPath, order, chatBody(true));
  const text = await response.text();
  const deltas = parseEvents(text).map(event => event.choices[0].delta.content);
  expect(deltas).toEqual(['', 'kept', undefined]);
  expect(text.endsWith('data: [DONE]\n\n')).toBe(true);
});

test('a granted claim is completed once, with the body that was sent', async () => {
  const response = await fixture.send(chatPath, order, chatBody());
  const body = await response.text();
  expect(fixture.claims.claimed).toEqual(['key-1']);
  expect(fixture.claims.completed).toMatchObject([{kind: 'completed', body}]);
});

const service = '/v1/services/stock/confirm';
const longerReply = {...chatBody(), max_tokens: 9};

test.each([
  {
    name: 'the same chat as a stream',
    path: chatPath,
    body: chatBody(true),
    same: true,
  },
  {
    name: 'another limit on reply tokens',
    path: chatPath,
    body: longerReply,
    same: false,
  },
  {name: 'another call', path: service, body: chatBody(), same: false},
])(
  'fingerprint of $name: same as of the first chat: $same',
  async ({path, body, same}) => {
    await fixture.send(chatPath, order, chatBody());
    await fixture.send(path, order, body);
    await fixture.send(service, order, 'x');
    await fixture.send(`${service}?y`, order, 'x');
    const [first, second, ...calls] = fixture.claims.fingerprints;
    expect(second === first).toBe(same);
    expect(calls[0]).toMatch(/^[\w-]{43}\.order$/);
    expect(calls[1]).not.toBe(calls[0]);
  },
);

describe('services', () => {
  test.each([
    ['/levels/7?site=2', query, 200],
    ['/confirm', query, 400],
    ['/levels/reserve', query, 400],
    ['/confirm', {...query, 'Idempotency-Key': 'k'}, 200],
    ['/levels/%2e%2e/confirm', query, 400],
    ['/levels%2f..%2fconfirm', query, 400],
  ])('GET %s with headers %j has status %i', async (path, headers, status) => {
    const response = await fixture.send(`/v1/services/stock${path}`, headers);
    expect(response.status).toBe(status);
    const passed = fixture.dispatcher.requests.map(request => request.path);
    expect(passed).toEqual(status === 200 ? [path] : []);
  });

  test('a call to an unknown service is refused', async () => {
    const response = await fixture.send('/v1/services/none/x', query);
    expect(response.status).toBe(404);
  });
});

describe('instance state', () => {
  test('entrypoints return the ready instances, a cache lifetime and a grant', async () => {
    const response = await fixture.send('/v1/entrypoints');
    const body: any = await response.json();
    expect(body.addresses.toSorted()).toEqual(['a:80', 'b:80']);
    expect(body).toMatchObject({
      keepSeconds: 30,
      grant: 'grant-a-1',
      grantAddress: 'a:80',
    });
  });

  test('entrypoints include this instance as soon as it accepts work, before the view says so', async () => {
    const view = fixture.views.current!;
    const instances = view.instances.map(instance => ({
      ...instance,
      ready: false,
    }));
    fixture.views.current = {...view, instances};
    const response = await fixture.send('/v1/entrypoints');
    expect(await response.json()).toMatchObject({addresses: ['a:80']});
  });

  test.each([
    ['without a view', () => (fixture.views.current = undefined)],
    [
      'without a recent response of the control program',
      () => (fixture.views.lastResponseAt = -40_000),
    ],
    [
      'without a confirmed configuration',
      () => {
        const view = fixture.views.current!;
        fixture.views.current = {
          ...view,
          configuration: {...configuration, revision: 0},
        };
      },
    ],
  ])('%s, new work is refused', async (_name, change) => {
    change();
    const response = await fixture.send(chatPath, query, chatBody());
    expect(response.status).toBe(503);
    expect(await response.json()).toMatchObject({
      error: {kind: 'cutOff', executed: 'no'},
    });
    expect((await fixture.send('/v1/health')).status).toBe(503);
  });

  test('a shutdown refuses new work with other addresses and completes requests in progress', async () => {
    let finish = () => undefined as void;
    const begun = new Promise<void>(resolve => {
      fixture.driver.script = (request, sink) =>
        new Promise(settle => {
          finish = () => {
            void sink('whole', 0);
            settle(success(replyOf(request, ['whole'])));
          };
          resolve();
        });
    });
    const running = fixture.send(chatPath, order, chatBody(true));
    await begun;
    const drained = fixture.server.drain(60_000);
    const refused = await fixture.send(chatPath, query, chatBody());
    expect(refused.status).toBe(503);
    expect(refused.headers.get('connection')).toBe('close');
    expect(await refused.json()).toMatchObject({
      error: {kind: 'shuttingDown', executed: 'no', addresses: ['b:80']},
    });
    const entrypoints = await fixture.send('/v1/entrypoints');
    expect(await entrypoints.json()).toMatchObject({
      addresses: ['b:80'],
      grant: null,
    });
    finish();
    expect(await (await running).text()).toContain('data: [DONE]');
    expect(await drained).toBe(0);
  });

  test('a request sent on a kept-alive connection during a shutdown gets a response', async () => {
    const socket = connect(fixture.port, '127.0.0.1');
    const texts: string[] = [];
    socket.setEncoding('utf8').on('data', text => texts.push(String(text)));
    const requestHealth = () =>
      socket.write('GET /v1/health HTTP/1.1\r\nHost: callers\r\n\r\n');
    requestHealth();
    await expect.poll(() => texts.join('')).toContain('"serving":true');
    const drained = fixture.server.drain(60_000);
    requestHealth();
    await once(socket, 'close');
    expect(texts.join('')).toContain('"leaving":true');
    expect(await drained).toBe(0);
  });

  test('a shutdown with no request in progress leaves no timer that would keep the process alive', async () => {
    const clock = new CountingClock();
    const idle = await new CallerFixture(clock).start();
    await idle.send(chatPath, order, chatBody());
    expect(await idle.server.drain(60_000)).toBe(0);
    expect(clock.waiting.size).toBe(0);
  });

  test.each([
    {headers: query, provenNotRun: false, executed: 'no'},
    {headers: order, provenNotRun: false, executed: 'unknown'},
    {headers: order, provenNotRun: true, executed: 'no'},
  ])(
    'a refusal before the claim reports executed: $executed',
    async ({headers, provenNotRun, executed}) => {
      fixture.claims.provenNotRun = provenNotRun;
      const releaseSlots = await occupyAllSlots();
      const responses = [await fixture.send(chatPath, headers, chatBody())];
      const serving = fixture.views.current!;
      fixture.views.current = {
        ...serving,
        standing: {kind: 'cutOff', sinceMilliseconds: 0},
      };
      responses.push(await fixture.send(chatPath, headers, chatBody()));
      fixture.views.current = {...serving, standing: {kind: 'leaving'}};
      responses.push(await fixture.send(chatPath, headers, chatBody()));
      const bodies = await Promise.all(
        responses.map(response => response.json()),
      );
      expect(bodies).toMatchObject(
        ['cannotMeetTarget', 'cutOff', 'shuttingDown'].map(kind => ({
          error: {kind, executed},
        })),
      );
      await releaseSlots();
    },
  );

  test('requests over the limit of concurrent requests are refused', async () => {
    const releaseSlots = await occupyAllSlots();
    const response = await fixture.send(chatPath, query, chatBody());
    expect(response.status).toBe(503);
    await releaseSlots();
  });
});

test('each request writes one log line with its outcome', async () => {
  await fixture.send(chatPath, query, chatBody());
  await fixture.send(chatPath, {}, chatBody());
  await expect.poll(() => fixture.logger.lines.length).toBe(2);
  expect(fixture.logger.lines).toMatchObject([
    {
      classOfWork: 'query',
      clientAccount: 'one',
      outcome: 'completed',
      executed: 'yes',
    },
    {outcome: 'failed', error: 'invalidRequest', executed: 'no'},
  ]);
});

const outcomeCases: ReadonlyArray<
  readonly [RequestOutcome | undefined, number, Record<string, unknown>]
> = [
  [undefined, 404, {error: {kind: 'notFound', executed: 'unknown'}}],
  [{kind: 'running'}, 200, {key: 'k 1', state: 'running'}],
  [completed, 200, {state: 'completed', status: 200, body: completed.body}],
  [
    {kind: 'failed', failure: notExecuted({kind: 'overShare'})},
    200,
    {state: 'failed', error: {kind: 'overShare', executed: 'no'}},
  ],
];

test.each(outcomeCases)(
  'the outcome of a key is reported for %j',
  async (outcome, status, expected) => {
    fixture.claims.outcome = outcome;
    const response = await fixture.send('/v1/requests/k%201');
    expect(response.status).toBe(status);
    expect(await response.json()).toMatchObject(expected);
  },
);

test('lookups over the limit of concurrent lookups are refused', async () => {
  let finishLookUp = () => undefined as void;
  fixture.claims.pendingLookUp = new Promise(resolve => {
    finishLookUp = resolve;
  });
  fixture.claims.outcome = {kind: 'running'};
  const held = ['a', 'b'].map(key => fixture.send(`/v1/requests/${key}`));
  await expect.poll(() => fixture.claims.lookUps).toBe(2);
  const refused = await fixture.send('/v1/requests/c');
  expect(refused.status).toBe(503);
  expect(await refused.json()).toMatchObject({
    error: {kind: 'cannotMeetTarget', executed: 'unknown'},
  });
  finishLookUp();
  const statuses = (await Promise.all(held)).map(({status}) => status);
  expect(statuses).toEqual([200, 200]);
  expect((await fixture.send('/v1/requests/c')).status).toBe(200);
});

test.each([
  {name: 'closes', requests: 2, closes: true},
  {
    name: 'exceeds the limit of pipelined requests',
    requests: 40,
    closes: false,
  },
])(
  'pipelined requests release their slots on a connection that $name',
  async ({requests, closes}) => {
    fixture.driver.script = (request, _sink, token) =>
      new Promise(resolve =>
        token.onDidCancel(() => resolve(success(replyOf(request, [])))),
      );
    const socket = sendBytes(chatRequestBytes().repeat(requests));
    const closed = whenClosed(socket);
    if (closes) {
      await expect.poll(() => fixture.driver.requests.length).toBe(2);
      socket.destroy();
    }
    await closed;
    await expect.poll(() => fixture.gate.count).toBe(0);
  },
);
