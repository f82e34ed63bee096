import {expect, it} from 'vitest';

import {reserveCallSchema} from '../../common/cellSchemas.js';
import {WorkEstimate} from '../../common/routing.js';

const work: Required<WorkEstimate> = {
  requestId: 'r',
  classOfWork: 'c',
  clientAccount: 'a',
  adapter: 'x',
  promptTokens: 40,
  outputTokens: 8,
  prefixKey: 'p',
  prefixTokens: 32,
  version: '2',
  firstTokenWithin: 500,
  betweenTokensTarget: 60,
  deadlineWithin: 4000,
  priority: 1,
  inProgress: true,
};

it('a call for capacity keeps every field of the work on the wire', () => {
  const call = {
    cell: 'one',
    model: 'm',
    reservationId: 'i',
    work,
    excluded: [],
    releases: [],
  };
  const text = JSON.stringify(call);
  expect(reserveCallSchema.parse(JSON.parse(text)).work).toEqual(work);
});
