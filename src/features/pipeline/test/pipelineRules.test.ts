import {describe, expect, test} from 'vitest';

import {ChartInstance} from '../../../infrastructure/stateChart/common/stateChart.js';
import {
  StepReceipt,
  StepRequest,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {
  EngineExecutionRecord,
  decideExecuted,
} from '../common/executionTracker.js';
import {isExportDue} from '../common/exportPolicy.js';
import {LineageChecker} from '../common/lineageChecker.js';
import {ReplyLengthEstimator} from '../common/replyLengthEstimator.js';
import {createAttemptChart} from '../common/pipelineAttempt.js';
import definition from '../common/pipelineAttempt.chart.json' with {type: 'json'};
import {defaultPipelineSettings} from '../common/pipelineSettings.js';
import {coversAllLayers} from '../common/layerCoverage.js';
import {StepTimeouts, UpstreamHistory} from '../common/stepTimeouts.js';

describe('executed value of a failure', () => {
  const begun = {begun: true, inDoubt: false};
  const doubt = {begun: false, inDoubt: true};
  const refused = {begun: false, inDoubt: false};
  test.each([
    {records: [], released: 0, executed: 'no'},
    {records: [refused, refused], released: 0, executed: 'no'},
    {records: [refused, doubt], released: 0, executed: 'unknown'},
    {records: [begun, refused], released: 0, executed: 'unknown'},
    {records: [begun], released: 1, executed: 'yes'},
    {records: [begun, doubt], released: 1, executed: 'unknown'},
  ])(
    'is $executed for the records $records and $released released tokens',
    row => {
      expect(decideExecuted(row.records, row.released)).toBe(row.executed);
    },
  );

  test.each([
    ['a', 'a', false, 1, 'no'],
    ['a', 'a', true, 1, 'unknown'],
    ['a', 'b', false, 1, 'unknown'],
    [undefined, 'a', false, 1, 'unknown'],
    [undefined, undefined, false, 1, 'unknown'],
    ['a', 'a', false, 0, 'unknown'],
  ])(
    'after a step lost at process %s and an idle report of process %s with begun %s up to epoch %s is %s',
    (before, after, hasBegun, epoch, expected) => {
      const record = new EngineExecutionRecord('one');
      record.stepSent(1, before);
      record.lost();
      record.idle(epoch, {begun: hasBegun, engineIncarnation: after});
      expect(decideExecuted([record], 0)).toBe(expected);
    },
  );
});

describe('lineage checker', () => {
  const step: StepRequest = {
    requestId: 'q',
    epoch: 2,
    model: 'm',
    version: '1',
    layers: {from: 0, to: 2},
    layerCount: 4,
    positions: {from: 3, to: 4},
    input: {kind: 'tokens', tokens: ['a']},
    priority: 1,
    rebuild: false,
  };
  const receipt: StepReceipt = {
    requestId: 'q',
    epoch: 2,
    layers: {from: 0, to: 2},
    positions: {from: 3, to: 4},
    output: {kind: 'activation', data: ''},
    engineIncarnation: 'one',
    queueMilliseconds: 0,
    computeMilliseconds: 0,
    transferMilliseconds: 0,
  };
  const token = {kind: 'token', token: 't', endOfText: false} as const;
  const lastLayers = {layers: {from: 2, to: 4}};

  test.each([
    {change: {}, fault: undefined},
    {change: {requestId: 'r'}, fault: 'crossedRequest'},
    {change: {epoch: 1}, fault: 'otherEpoch'},
    {change: {epoch: 3}, fault: 'otherEpoch'},
    {change: {layers: {from: 0, to: 1}}, fault: 'otherLayers'},
    {change: {positions: {from: 2, to: 3}}, fault: 'otherPositions'},
    {change: {output: token}, fault: 'wrongOutput'},
  ])('a receipt with $change gives fault $fault', ({change, fault}) => {
    const lineage = new LineageChecker();
    lineage.startToken();
    expect(lineage.addReceipt(step, {...receipt, ...change})).toBe(fault);
    expect(lineage.checkComplete()).toBe('incomplete');
  });

  test.each([
    {name: 'all layers covered', second: lastLayers, fault: undefined},
    {name: 'same layers again', second: {}, fault: 'layersOutOfOrder'},
    {
      name: 'layer skipped',
      second: {layers: {from: 3, to: 4}},
      fault: 'layersOutOfOrder',
    },
    {
      name: 'another epoch',
      second: {...lastLayers, epoch: 3},
      fault: 'otherEpoch',
    },
    {
      name: 'another position',
      second: {...lastLayers, positions: {from: 4, to: 5}},
      fault: 'otherPositions',
    },
    {
      name: 'another request',
      second: {...lastLayers, requestId: 'r'},
      fault: 'crossedRequest',
    },
  ])('two receipts with $name give fault $fault', ({second, fault}) => {
    const lineage = new LineageChecker();
    lineage.startToken();
    lineage.addReceipt(step, receipt);
    const output = second === lastLayers ? token : receipt.output;
    const secondReceipt = {
      ...receipt,
      ...second,
      output: 'layers' in second ? token : output,
    };
    expect(lineage.addReceipt({...step, ...second}, secondReceipt)).toBe(fault);
    expect(lineage.checkComplete()).toBe(
      fault === undefined ? undefined : 'incomplete',
    );
  });
});

test.each([
  {ranges: ['0-2', '2-4'], covers: true},
  {ranges: ['0-2'], covers: false},
  {ranges: ['0-2', '3-4'], covers: false},
  {ranges: ['0-3', '2-4'], covers: false},
  {ranges: ['0-0', '0-4'], covers: false},
  {ranges: [], covers: false},
])('a plan of $ranges covers four layers: $covers', ({ranges, covers}) => {
  const stages = ranges.map((range, index) => {
    const [from, to] = range.split('-').map(Number);
    return {upstream: `u${index}`, address: '', layers: {from: from!, to: to!}};
  });
  expect(coversAllLayers(stages, 4)).toBe(covers);
});

describe('step time-outs', () => {
  const timeouts = new StepTimeouts(defaultPipelineSettings.watch);
  test.each([
    {observed: [], target: 10, limit: 500},
    {observed: [], target: 200, limit: 1200},
    {observed: Array(20).fill(100), target: 10, limit: 500},
    {observed: Array(60).fill(900), target: 10, limit: 900},
  ])(
    'a decode step after $observed.length steps with target $target ms times out after about $limit ms',
    row => {
      const {decodeTimes} = new UpstreamHistory();
      row.observed.forEach(value => decodeTimes.observe(value));
      const limit = timeouts.decodeTimeoutMilliseconds(decodeTimes, row.target);
      expect(limit).toBeGreaterThanOrEqual(row.limit);
      expect(limit).toBeLessThan(row.limit + 200);
    },
  );
  test.each([
    {positions: 10, prompt: 1000, limit: 1500},
    {positions: 1000, prompt: 1000, limit: 3000},
    {positions: 2000, prompt: 1000, limit: 6000},
  ])(
    'a prefill of $positions positions of a prompt of $prompt times out after $limit ms',
    row => {
      const expected = row.positions < 100 ? 100 : 1000;
      const {positions, prompt, limit} = row;
      expect(
        timeouts.prefillTimeoutMilliseconds(positions, prompt, expected),
      ).toBe(limit);
    },
  );
});

test('upstream histories and reply lengths are limited in number', () => {
  const settings = {...defaultPipelineSettings.watch, trackedUpstreams: 2};
  const timeouts = new StepTimeouts(settings);
  const first = timeouts.historyOf('a');
  timeouts.historyOf('b');
  timeouts.historyOf('c');
  expect(timeouts.historyOf('a')).not.toBe(first);
  const estimator = new ReplyLengthEstimator(1, 1);
  Array.from({length: 9}, () => estimator.observe('x', 'one', 5));
  expect(estimator.estimate('x', 'one', 50)).toBeLessThan(10);
  Array.from({length: 9}, () => estimator.observe('y', 'two', 5));
  expect(estimator.estimate('x', 'one', 50)).toBe(50);
});

test.each([
  {released: 32, context: 400, expected: 200, due: true},
  {released: 33, context: 400, expected: 200, due: false},
  {released: 32, context: 100, expected: 200, due: false},
  {released: 32, context: 400, expected: 40, due: false},
])(
  'an export after $released of $expected tokens with context $context is due: $due',
  row => {
    const progress = {
      contextTokens: row.context,
      releasedTokens: row.released,
      expectedTokens: row.expected,
      maximumTokens: 1000,
    };
    expect(isExportDue(progress, defaultPipelineSettings.exports)).toBe(
      row.due,
    );
  },
);

test('every state of the chart is reachable and is final or has transitions', () => {
  const reached = new Set<string>();
  const visit = (path: readonly string[]): void => {
    const instance = new ChartInstance(createAttemptChart());
    for (const event of path) {
      expect(instance.send(event as never).handled).toBe(true);
    }
    if (reached.has(instance.state)) {
      return;
    }
    reached.add(instance.state);
    const state = definition.states[instance.state];
    const events = 'on' in state ? Object.keys(state.on) : [];
    expect(events.length > 0 || 'type' in state).toBe(true);
    events.forEach(event => visit([...path, event]));
  };
  visit([]);
  expect([...reached].sort()).toEqual(Object.keys(definition.states).sort());
});
