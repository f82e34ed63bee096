import {expect, it} from 'vitest';

import {
  decodeResponse,
  decodeReserve,
  encodeResponse,
  encodeReserve,
} from '../../common/cellCodec.js';
import {ReserveResponse, ReserveRequest} from '../../common/cellMessages.js';
import {responseRowSchema, reserveRowSchema} from '../../common/cellSchemas.js';
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
  firstTokenWithinMilliseconds: 500,
  betweenTokensTargetMilliseconds: 60,
  deadlineWithinMilliseconds: 4000,
  priority: 1,
  inProgress: true,
};

const release = {
  cell: 'two',
  reservationId: 'j',
  observations: [
    {
      upstream: 'u1',
      outcome: 'silent' as const,
      decodeMilliseconds: undefined,
      linkMilliseconds: 0.5,
      steps: 3,
    },
  ],
};
const call: ReserveRequest = {
  cell: 'one',
  model: 'm',
  reservationId: 'i',
  work,
  excluded: ['u9'],
  releases: [release, {...release, cell: 'twos', reservationId: 'ij'}],
};

it.each([
  ['every field', work],
  [
    'an absent optional field before present ones',
    {...work, adapter: undefined},
  ],
  [
    'absent optional fields at the end',
    {...work, version: undefined, inProgress: undefined},
  ],
])(
  'a call for capacity is decoded as it was encoded, with %s',
  (_, variant) => {
    const sent = {...call, work: variant};
    const text = JSON.stringify(encodeReserve(sent));
    expect(decodeReserve(reserveRowSchema.parse(JSON.parse(text)))).toEqual(
      sent,
    );
  },
);

const stage = {
  upstream: 'u1',
  address: '10.0.0.1:80',
  layers: {from: 0, to: 4},
  checksFencing: true,
  version: '2',
};
const summary = {
  cell: 'one',
  model: 'm',
  freeSlots: 3,
  earliestStartMilliseconds: 20,
  ageMilliseconds: 7,
};
const responses: readonly ReserveResponse[] = [
  {
    kind: 'reserved',
    reservation: {
      reservationId: 'i',
      cell: 'one',
      stages: [
        stage,
        {...stage, upstream: 'u2', address: '10.0.0.12:80'},
        {...stage, version: undefined, checksFencing: undefined},
        {...stage, version: '3', checksFencing: false, probing: true},
      ],
      prediction: {
        startsInMilliseconds: 1,
        firstTokenMilliseconds: 2.5,
        betweenTokensMilliseconds: 3,
        wholeMilliseconds: 4,
        figuresAgeMilliseconds: Infinity,
      },
      candidates: 9,
      reason: 'laxity',
    },
    summaries: [summary, {...summary, cell: 'other', model: 'n'}],
  },
  {
    kind: 'refused',
    reason: 'noUpstream',
    retryAfterMilliseconds: 30,
    summaries: [summary],
  },
];

it.each(responses)(
  'a response of kind $kind is decoded as it was encoded',
  response => {
    const text = JSON.stringify(encodeResponse(call, response));
    const row = responseRowSchema.parse(JSON.parse(text));
    expect(decodeResponse(call, row)).toEqual(response);
  },
);
