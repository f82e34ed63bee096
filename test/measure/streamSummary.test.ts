import {describe, expect, it} from 'vitest';

import {
  summarizeStreams,
  parseDecisionLine,
} from '../../measure/common/streamSummary.js';

const TARGETS = {firstEventMilliseconds: 500, longestPauseMilliseconds: 200};

function formatLine(fields: Readonly<Record<string, unknown>>): string {
  return `  12.5 instance-1 ${JSON.stringify({request: 'r1', ...fields})}`;
}

function formatEndLine(fields: Readonly<Record<string, unknown>>): string {
  const usual = {outcome: 'answered', events: 9, first: 80, longestPause: 60};
  return formatLine({decision: 'requestEnded', ...usual, ...fields});
}

describe('summarizeStreams', () => {
  it.each([
    {name: 'in time', lines: [formatEndLine({})], row: undefined},
    {
      name: 'late with its first event, without a logged cause',
      lines: [formatEndLine({first: 600})],
      row: {outcome: 'answered', late: 'first', cause: 'nothing'},
    },
    {
      name: 'paused after the loss of an upstream',
      lines: [
        formatLine({decision: 'pathChosen', cause: 'first'}),
        formatLine({decision: 'pathChosen', cause: 'upstreamLost'}),
        formatLine({decision: 'pathChosen', cause: 'upstreamLost'}),
        formatEndLine({longestPause: 300}),
      ],
      row: {outcome: 'answered', late: 'pause', cause: 'upstreamLost'},
    },
    {
      name: 'refused for lack of capacity',
      lines: [
        formatLine({decision: 'waitingForPath', reason: 'noRoom'}),
        formatEndLine({
          outcome: 'notRun',
          reason: 'noRoom',
          events: 0,
          first: 0,
        }),
      ],
      row: {
        outcome: 'notRun, noRoom',
        late: undefined,
        cause: 'waited, noRoom',
      },
    },
    {
      name: 'left by its caller after a failed move and without a retry',
      lines: [
        formatLine({decision: 'streamMoved', ok: false}),
        formatLine({decision: 'notRestarted'}),
        formatEndLine({outcome: 'callerLeft'}),
      ],
      row: {
        outcome: 'callerLeft',
        late: undefined,
        cause: 'not moved + no repeats left',
      },
    },
  ])('classifies a stream that was $name', ({lines, row}) => {
    const account = summarizeStreams(lines, TARGETS);
    expect(account.streams).toBe(1);
    expect(account.inTime).toBe(row === undefined ? 1 : 0);
    expect(account.rows).toEqual(
      row === undefined ? [] : [{...row, count: 1, examples: ['r1']}],
    );
  });

  it('counts every stream once and keeps three examples per row', () => {
    const lines = [...Array(20).keys()].map(index =>
      formatEndLine({request: `r${index}`, first: index < 5 ? 900 : 80}),
    );
    const account = summarizeStreams(lines, TARGETS);
    const late = account.rows.reduce((sum, {count}) => sum + count, 0);
    expect(late + account.inTime).toBe(account.streams);
    expect(account.rows[0]).toMatchObject({
      count: 5,
      examples: ['r0', 'r1', 'r2'],
    });
  });

  it('counts streams without an end line separately', () => {
    const lines = [formatLine({decision: 'pathChosen', cause: 'first'})];
    expect(summarizeStreams(lines, TARGETS)).toMatchObject({
      streams: 0,
      withoutEnd: 1,
    });
  });

  it.each([
    {name: 'text without JSON', text: 'instance-1 stopped'},
    {name: 'truncated JSON', text: 'x {"decision": "requ'},
    {name: 'a line without a request', text: '{"decision":"layerLease"}'},
    {name: 'a JSON array', text: '[1]'},
  ])('ignores $name', ({text}) => {
    expect(parseDecisionLine(text)).toBeUndefined();
  });
});
