import {connect} from 'node:net';

import {afterEach, beforeEach, describe, expect, test} from 'vitest';

import {failure, success} from '../../../base/common/result.js';
import {maybeExecuted, notExecuted} from '../common/failureBody.js';
import {
  bearer,
  CallerFixture,
  chatBody,
  chatPath,
  AcceleratedClock,
  replyOf,
} from './callerFakes.js';
import {
  query,
  order,
  sendBytes,
  whenClosed,
  readUntilClose,
  chatBytes,
  chatRequestBytes,
  parseEvents,
} from './callerServerSetup.js';

let fixture: CallerFixture;

beforeEach(async () => {
  fixture = await new CallerFixture().start();
});

afterEach(() => fixture.server.close());

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
      event => event.choices[0]?.delta.content,
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
    expect(parseEvents(text).at(-1)?.error).toMatchObject({
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
    const socket = sendBytes(fixture.port, chatRequestBytes(true));
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
  const text = await readUntilClose(sendBytes(fixture.port, bytes));
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
  const socket = sendBytes(
    fixture.port,
    chatBytes('Transfer-Encoding: chunked'),
  );
  const chunk = `400\r\n${'x'.repeat(1024)}\r\n`;
  for (let index = 0; index < 4; index += 1) {
    socket.write(chunk);
  }
  const text = await readUntilClose(socket);
  expect(text).toContain('413 Payload Too Large');
  expect(text).toContain('"kind":"tooLarge"');
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
    const socket = sendBytes(fixture.port, chatRequestBytes().repeat(requests));
    const closed = whenClosed(socket);
    if (closes) {
      await expect.poll(() => fixture.driver.requests.length).toBe(2);
      socket.destroy();
    }
    await closed;
    await expect.poll(() => fixture.gate.count).toBe(0);
  },
);
