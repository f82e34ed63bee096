import {expect, it} from 'vitest';

import {promptTokens} from '../../../src/features/callers/common/tokenText.js';
import {expectedReply} from '../../standins/referenceModel.js';
import {expectedServiceBody} from '../../standins/serviceStandIn.js';
import {checkLedgers} from '../checks/checkLedgers.js';
import {checkConfigurationInForce} from '../checks/configurationInForce.js';
import {checkLeavingGetsNothing} from '../checks/leavingGetsNothing.js';
import {checkPlannedStopCutsNothing} from '../checks/plannedStopCutsNothing.js';
import {LedgerIndex} from '../ledgerIndex.js';
import {
  ConfigurationSample,
  EngineStep,
  Invariant,
  RecordedResponse,
  ServiceExecution,
  Submission,
  Work,
} from '../observations.js';

/** Constructed ledgers: correct ones, and ones with a single fault that a check must detect. */

const LAYER_COUNT = 4;
const LAYERS_PER_STAGE = 2;
const work: Work = {
  round: 0,
  businessKey: 'k',
  kind: 'model',
  repeatable: false,
  stream: true,
  content: '[key:k] [reply:2] pour',
  maximumOutputTokens: 8,
};
const prompt = promptTokens([{role: 'user', content: work.content}]);
const {tokens} = expectedReply(prompt, LAYER_COUNT, work.maximumOutputTokens);
const complete: RecordedResponse = {
  requestId: 'a',
  status: 200,
  end: 'whole',
  text: tokens.join(' '),
  executed: undefined,
  errorKind: undefined,
  addresses: [],
  retryAfterMilliseconds: undefined,
};
const incomplete: RecordedResponse = {...complete, end: 'cut', text: ''};
const notRun: RecordedResponse = {
  ...incomplete,
  requestId: 'b',
  status: 503,
  end: 'failure',
  executed: 'no',
};

function makeSubmission(
  response: RecordedResponse,
  startedAt = 0,
  endedAt = 100,
  ofWork: Work = work,
): Submission {
  const idempotencyKey = 'key';
  const fields = {
    work: ofWork,
    kind: 'work',
    idempotencyKey,
    address: 'x',
  } as const;
  return {...fields, startedAt, endedAt, response};
}

/** Creates the begin and completion entries of the step that a stage runs for one token. */
function step(
  index: number,
  stage: number,
  overrides: Partial<EngineStep> = {},
): readonly EngineStep[] {
  const to = prompt.length + index;
  const isLastStage = stage === 1;
  const begun: EngineStep = {
    kind: 'begun',
    upstream: `e${stage}`,
    incarnation: '1',
    requestId: 'a',
    epoch: 1,
    layers: {
      from: stage * LAYERS_PER_STAGE,
      to: (stage + 1) * LAYERS_PER_STAGE,
    },
    positions: {from: index === 0 ? 0 : to - 1, to},
    rebuild: false,
    version: '1',
    key: index === 0 && stage === 0 ? 'k' : undefined,
    sequence: 0,
    at: 10 * (index * 2 + stage),
    ...overrides,
  };
  const token = isLastStage ? tokens[index] : undefined;
  const completed: EngineStep = {...begun, kind: 'completed', at: begun.at + 5};
  return [begun, {...completed, token: overrides.token ?? token}];
}

const correctSteps = [
  ...step(0, 0),
  ...step(0, 1),
  ...step(1, 0),
  ...step(1, 1),
];

interface LedgerCase {
  readonly name: string;
  readonly submissions: readonly Submission[];
  readonly steps?: readonly EngineStep[];
  readonly executions?: readonly ServiceExecution[];
  readonly invariants: readonly Invariant[];
}

const call: Work = {...work, kind: 'service', content: '{"key":"k"}'};
const callBody = JSON.stringify(
  expectedServiceBody('stock', 'POST', '/bookings', call.content),
);
const execution: ServiceExecution = {
  upstream: 's',
  requestId: 'a',
  key: 'k',
  method: 'POST',
  path: '/bookings',
  sequence: 1,
  at: 10,
  receivedAt: 0,
};

const ledgerCases: readonly LedgerCase[] = [
  {
    name: 'accepts a correct reply',
    submissions: [makeSubmission(complete)],
    invariants: [],
  },
  {
    name: 'accepts a recorded reply that is replayed to a second submission',
    submissions: [
      makeSubmission(complete),
      makeSubmission({...complete, requestId: 'b'}, 200),
    ],
    invariants: [],
  },
  {
    name: 'accepts a rebuild under a higher epoch',
    submissions: [makeSubmission(complete)],
    steps: [
      ...step(0, 0),
      ...step(0, 1),
      ...step(1, 0),
      ...step(1, 0, {epoch: 2, at: 40, positions: {from: 0, to: 5}}),
      ...step(1, 1, {epoch: 2, at: 50, positions: {from: 0, to: 5}}),
    ],
    invariants: [],
  },
  {
    name: 'rejects a skipped layer',
    submissions: [makeSubmission(complete)],
    steps: [...step(0, 0), ...step(0, 1), ...step(1, 1)],
    invariants: ['layersOnceInOrder'],
  },
  {
    name: 'rejects a layer that runs twice in one epoch',
    submissions: [makeSubmission(complete)],
    steps: [...correctSteps, ...step(1, 1, {upstream: 'e2', at: 90})],
    invariants: ['layersOnceInOrder', 'layersOnceInOrder'],
  },
  {
    name: 'rejects stages that run out of order',
    submissions: [makeSubmission(complete)],
    steps: [
      ...step(0, 0),
      ...step(0, 1),
      ...step(1, 0, {at: 40}),
      ...step(1, 1, {at: 30}),
    ],
    invariants: ['layersOnceInOrder'],
  },
  {
    name: 'rejects a token whose stages ran in different epochs',
    submissions: [makeSubmission(complete)],
    steps: [
      ...step(0, 0),
      ...step(0, 1),
      ...step(1, 0),
      ...step(1, 1, {epoch: 2}),
    ],
    invariants: ['layersOnceInOrder'],
  },
  {
    name: 'rejects a token that the last stage did not produce',
    submissions: [makeSubmission(complete)],
    steps: [...step(0, 0), ...step(0, 1), ...step(1, 0)].concat(
      step(1, 1, {token: 'other'}),
    ),
    invariants: ['layersOnceInOrder'],
  },
  {
    name: 'rejects a truncated reply that ends like a complete one',
    submissions: [makeSubmission({...complete, text: tokens[0]!})],
    invariants: ['wholeOwnReply'],
  },
  {
    name: 'accepts a prefix of the reply in an incomplete response',
    submissions: [makeSubmission({...complete, end: 'cut', text: tokens[0]!})],
    invariants: [],
  },
  {
    name: 'rejects the response of a service to another call',
    submissions: [
      makeSubmission(
        {...complete, text: callBody.replace('"k"', '"j"')},
        0,
        9,
        call,
      ),
    ],
    steps: [],
    executions: [execution],
    invariants: ['wholeOwnReply'],
  },
  {
    name: 'accepts the correct response of a service',
    submissions: [makeSubmission({...complete, text: callBody}, 0, 9, call)],
    steps: [],
    executions: [execution],
    invariants: [],
  },
  {
    name: 'rejects `executed: no` for a request that ran',
    submissions: [makeSubmission({...notRun, requestId: 'a'})],
    invariants: ['notRunMeansNotRun', 'notRunMeansNotRun'],
  },
  {
    name: 'rejects `executed: no` for a request that runs after the response',
    submissions: [makeSubmission({...notRun, requestId: 'a'}, 0, 5)],
    invariants: ['notRunMeansNotRun', 'notRunMeansNotRun'],
  },
  {
    name: 'rejects `executed: no` at a second instance after the first one ran the work',
    submissions: [makeSubmission(incomplete), makeSubmission(notRun, 200, 210)],
    invariants: ['notRunMeansNotRun'],
  },
  {
    name: 'accepts `executed: no` while another submission is open',
    submissions: [makeSubmission(complete), makeSubmission(notRun, 20, 30)],
    invariants: [],
  },
  {
    name: 'accepts `executed: no` when a later submission runs the work',
    submissions: [makeSubmission(notRun, -20, -10), makeSubmission(complete)],
    invariants: [],
  },
  {
    name: 'rejects work that ran under two requests',
    submissions: [
      makeSubmission(incomplete),
      makeSubmission({...complete, requestId: 'b'}, 200),
    ],
    steps: [
      ...correctSteps,
      ...correctSteps.map(entry => ({...entry, requestId: 'b'})),
    ],
    invariants: ['atMostOnce'],
  },
  {
    name: 'rejects a non-repeatable service call that ran twice',
    submissions: [makeSubmission({...complete, text: callBody}, 0, 9, call)],
    steps: [],
    executions: [execution, {...execution, upstream: 't', requestId: 'b'}],
    invariants: ['atMostOnce'],
  },
  {
    name: 'accepts a repeatable service call that ran twice',
    submissions: [
      makeSubmission(incomplete, 0, 9, {...call, repeatable: true}),
    ],
    steps: [],
    executions: [execution, {...execution, upstream: 't', requestId: 'b'}],
    invariants: [],
  },
];

it.each(ledgerCases)(
  'checkLedgers $name',
  ({submissions, steps, executions, invariants}) => {
    const ledger = new LedgerIndex(steps ?? correctSteps, executions);
    const found = checkLedgers(submissions, ledger, LAYER_COUNT);
    expect(found.map(({invariant}) => invariant)).toEqual(invariants);
  },
);

it.each([
  {name: 'rejects new work long after the notice', at: 9000, count: 1},
  {name: 'accepts new work within the grace period', at: 3500, count: 0},
  {
    name: 'accepts new work after the upstream has returned',
    at: 20_000,
    count: 0,
  },
  {
    name: 'accepts work that was received within the grace period and waited at the upstream',
    at: 9000,
    waited: 6000,
    count: 0,
  },
  {
    name: 'rejects new work that was received late and waited',
    at: 9000,
    waited: 900,
    count: 1,
  },
])('checkLeavingGetsNothing $name', ({at, waited = 0, count}) => {
  const receivedAt = at - waited;
  const ledger = new LedgerIndex(
    [
      ...step(0, 0, {at: 100}),
      ...step(1, 0, {at: 9500}),
      ...step(0, 0, {requestId: 'c', at, receivedAt}),
    ],
    [{...execution, upstream: 'e0', requestId: 'b', at, receivedAt}],
  );
  const lagMilliseconds = 1000;
  const window = {upstream: 'e0', from: 0, to: 10_000, lagMilliseconds};
  const found = checkLeavingGetsNothing([window], ledger);
  expect(found).toHaveLength(count);
  const arrivals = ledger.arrivalTimesAt('e0').filter(time => time > 4000);
  expect(arrivals.filter(time => time < 10_000)).toHaveLength(2 * count);
});

it.each([
  {
    name: 'accepts exit code 0 without failed work',
    exitCode: 0,
    failedWork: [],
    count: 0,
  },
  {name: 'rejects failed work', exitCode: 0, failedWork: ['k'], count: 1},
  {
    name: 'rejects a process that was killed',
    exitCode: undefined,
    failedWork: [],
    count: 1,
  },
])('checkPlannedStopCutsNothing $name', ({exitCode, failedWork, count}) => {
  const stop = {round: 0, instance: 'i', exitCode, failedWork};
  expect(checkPlannedStopCutsNothing([stop])).toHaveLength(count);
});

const sample: ConfigurationSample = {
  instance: 'i',
  pid: 1,
  at: 0,
  revision: 2,
  digest: 'd2',
  names: new Set(['one', 'two']),
};
const previousSample: ConfigurationSample = {
  ...sample,
  revision: 1,
  digest: 'd1',
  names: new Set(['one']),
};
const accepted = [{name: 'two', revision: 2}];

it.each([
  {
    name: 'accepts a change that is in force',
    samples: [previousSample, sample],
    finalSamples: [sample],
    count: 0,
  },
  {
    name: 'rejects a missing change',
    samples: [previousSample],
    finalSamples: [previousSample],
    count: 1,
  },
  {
    name: 'rejects a change that is missing in its revision',
    samples: [sample],
    finalSamples: [{...sample, names: previousSample.names}],
    count: 1,
  },
  {
    name: 'rejects a revision that decreases',
    samples: [sample, previousSample],
    finalSamples: [sample],
    count: 1,
  },
  {
    name: 'accepts an older revision in a restarted process',
    samples: [sample, {...previousSample, pid: 2}],
    finalSamples: [sample],
    count: 0,
  },
  {
    name: 'rejects one revision with two contents',
    samples: [sample, {...sample, instance: 'j', digest: 'other'}],
    finalSamples: [sample],
    count: 1,
  },
])('checkConfigurationInForce $name', ({samples, finalSamples, count}) => {
  const found = checkConfigurationInForce({accepted, samples, finalSamples});
  expect(found).toHaveLength(count);
});
