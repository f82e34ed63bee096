import {describe, expect, it} from 'vitest';

import {StepReceipt, StepRequest} from '../common/engineConnection.js';
import {
  parseCancelReport,
  parseEngineError,
  parseEngineReport,
  validateOrderResponse,
  parseReceipt,
} from '../node/engineResponses.js';

const STEP: StepRequest = {
  requestId: 'request-1',
  epoch: 2,
  model: 'assistant',
  version: '1',
  layers: {from: 2, to: 4},
  layerCount: 4,
  positions: {from: 7, to: 8},
  input: {kind: 'activation', data: 'a'},
  priority: 0,
  rebuild: false,
};
const RECEIPT: StepReceipt = {
  requestId: 'request-1',
  epoch: 2,
  layers: {from: 2, to: 4},
  positions: {from: 7, to: 8},
  output: {kind: 'token', token: 'ka', endOfText: false},
  engineIncarnation: 'process-1',
  queueMilliseconds: 0,
  computeMilliseconds: 1,
  transferMilliseconds: 0,
};

describe('parseReceipt', () => {
  const cases: ReadonlyArray<readonly [object, string]> = [
    [{}, 'ok'],
    [{requestId: 'request-2'}, 'mismatch'],
    [{epoch: 1}, 'mismatch'],
    [{layers: {from: 0, to: 4}}, 'mismatch'],
    [{layers: {from: 2, to: 3}}, 'mismatch'],
    [{positions: {from: 6, to: 8}}, 'mismatch'],
    [{positions: {from: 7, to: 9}}, 'mismatch'],
    [{output: {kind: 'activation', data: 'b'}}, 'mismatch'],
    [{output: {kind: 'token', token: 'ka'}}, 'lost'],
    [{output: null}, 'lost'],
    [{epoch: '2'}, 'lost'],
    [{positions: {from: 7.5, to: 8}}, 'lost'],
    [{computeMilliseconds: -1}, 'lost'],
    [{engineIncarnation: undefined}, 'lost'],
  ];
  it.each(cases)('a receipt with %j gives %s', (change, kind) => {
    const result = parseReceipt(STEP, {...RECEIPT, ...change});
    expect(result.ok ? 'ok' : result.error.kind).toBe(kind);
  });

  it.each([undefined, null, 'text', 3, []])('the body %j gives lost', body => {
    expect(parseReceipt(STEP, body)).toMatchObject({error: {kind: 'lost'}});
  });
});

describe('other responses', () => {
  const order = {
    fencing: 3,
    order: 4,
    model: 'assistant',
    version: '1',
    adapters: [],
    layers: STEP.layers,
    role: 'both',
  } as const;
  const report = {state: 'idle', begun: true, requestId: 'request-1'};
  const cases: ReadonlyArray<readonly [string, () => {ok: boolean}, string]> = [
    [
      'a cancel report is accepted',
      () => parseCancelReport('request-1', report),
      'ok',
    ],
    [
      'a cancel report of another request is a mismatch',
      () => parseCancelReport('other', report),
      'mismatch',
    ],
    [
      'a malformed cancel report is lost',
      () => parseCancelReport('request-1', {}),
      'lost',
    ],
    [
      'an order response is accepted',
      () => validateOrderResponse(order, {fencing: 3, order: 4}),
      'ok',
    ],
    [
      'an order response with an old order number is a mismatch',
      () => validateOrderResponse(order, {fencing: 3, order: 3}),
      'mismatch',
    ],
    [
      'a malformed order response is lost',
      () => validateOrderResponse(order, {}),
      'lost',
    ],
    [
      'a malformed engine report is lost',
      () => parseEngineReport('engine-1', {}),
      'lost',
    ],
  ];
  it.each(cases)('%s', (name, check, kind) => {
    const result = check() as ReturnType<typeof validateOrderResponse>;
    expect(result.ok ? 'ok' : result.error.kind).toBe(kind);
  });

  const errors: ReadonlyArray<readonly [unknown, string]> = [
    [{error: {kind: 'stale', highest: 4}}, 'stale'],
    [{error: {kind: 'cacheMissing', coveredTo: 0}}, 'cacheMissing'],
    [{error: {kind: 'overloaded', retryAfterMilliseconds: 5}}, 'overloaded'],
    [{error: {kind: 'refused', detail: 'leaving'}}, 'refused'],
    // Only the client can tell that an engine was unreachable.
    [{error: {kind: 'unreachable', detail: ''}}, 'lost'],
    [{error: {kind: 'stale'}}, 'lost'],
    [undefined, 'lost'],
  ];
  it.each(errors)('the error body %j gives %s', (body, kind) => {
    expect(parseEngineError(409, body).kind).toBe(kind);
  });
});
