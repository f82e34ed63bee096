import {afterEach, beforeEach, expect, test} from 'vitest';

import {ClaimDecision} from '../../claims/common/claimService.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {notExecuted} from '../common/failureBody.js';
import {CallerFixture, chatBody, chatPath} from './callerFakes.js';
import {order, parseEvents} from './callerServerSetup.js';

let fixture: CallerFixture;

beforeEach(async () => {
  fixture = await new CallerFixture().start();
});

afterEach(() => fixture.server.close());

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
  const deltas = parseEvents(text).map(
    event => event.choices[0]?.delta.content,
  );
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
