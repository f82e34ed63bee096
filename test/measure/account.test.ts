import {describe, expect, it} from 'vitest';

import {
  accountFor,
  parseDecisionLine,
} from '../../measure/common/requestAccount.js';

const TARGETS = {firstMilliseconds: 500, pauseMilliseconds: 200};

function line(fields: Readonly<Record<string, unknown>>): string {
  return `  12.5 instance-1 ${JSON.stringify({request: 'r1', ...fields})}`;
}

function ended(fields: Readonly<Record<string, unknown>>): string {
  const usual = {outcome: 'answered', events: 9, first: 80, longestPause: 60};
  return line({decision: 'requestEnded', ...usual, ...fields});
}

describe('the account of requests', () => {
  it.each([
    {name: 'in time', lines: [ended({})], row: undefined},
    {
      name: 'late at the start, for no cause that is told',
      lines: [ended({first: 600})],
      row: {outcome: 'answered', late: 'first', cause: 'nothing'},
    },
    {
      name: 'paused after a loss',
      lines: [
        line({decision: 'pathChosen', cause: 'first'}),
        line({decision: 'pathChosen', cause: 'upstreamLost'}),
        line({decision: 'pathChosen', cause: 'upstreamLost'}),
        ended({longestPause: 300}),
      ],
      row: {outcome: 'answered', late: 'pause', cause: 'upstreamLost'},
    },
    {
      name: 'refused for want of room',
      lines: [
        line({decision: 'waitingForPath', reason: 'noRoom'}),
        ended({outcome: 'notRun', reason: 'noRoom', events: 0, first: 0}),
      ],
      row: {
        outcome: 'notRun, noRoom',
        late: undefined,
        cause: 'waited, noRoom',
      },
    },
    {
      name: 'left after a move that failed and no repeat',
      lines: [
        line({decision: 'streamMoved', ok: false}),
        line({decision: 'notRestarted'}),
        ended({outcome: 'callerLeft'}),
      ],
      row: {
        outcome: 'callerLeft',
        late: undefined,
        cause: 'not moved + no repeats left',
      },
    },
  ])('has a stream that was $name', ({lines, row}) => {
    const account = accountFor(lines, TARGETS);
    expect(account.streams).toBe(1);
    expect(account.inTime).toBe(row === undefined ? 1 : 0);
    expect(account.rows).toEqual(
      row === undefined ? [] : [{...row, count: 1, examples: ['r1']}],
    );
  });

  it('adds up to all streams, with three examples a row', () => {
    const lines = [...Array(20).keys()].map(index =>
      ended({request: `r${index}`, first: index < 5 ? 900 : 80}),
    );
    const account = accountFor(lines, TARGETS);
    const late = account.rows.reduce((sum, {count}) => sum + count, 0);
    expect(late + account.inTime).toBe(account.streams);
    expect(account.rows[0]).toMatchObject({
      count: 5,
      examples: ['r0', 'r1', 'r2'],
    });
  });

  it('names streams whose log ends before they did', () => {
    const lines = [line({decision: 'pathChosen', cause: 'first'})];
    expect(accountFor(lines, TARGETS)).toMatchObject({
      streams: 0,
      withoutEnd: 1,
    });
  });

  it.each([
    {name: 'no JSON', text: 'instance-1 stopped'},
    {name: 'JSON that was cut off', text: 'x {"decision": "requ'},
    {name: 'a line about no request', text: '{"decision":"layerLease"}'},
    {name: 'a list', text: '[1]'},
  ])('passes over $name', ({text}) => {
    expect(parseDecisionLine(text)).toBeUndefined();
  });
});
