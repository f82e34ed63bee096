import {describe, expect, it} from 'vitest';

import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {chooseAddresses} from '../common/chooseAddresses.js';
import {
  InstanceNews,
  InstanceRecord,
  InstanceState,
} from '../common/instance.js';
import {InstanceTable} from '../common/instanceTable.js';

function record(
  name: string,
  dataCentre = 'north',
  startedAt = 1,
): InstanceRecord {
  return {
    name,
    startedAt,
    dataCentre,
    region: 'region',
    callerAddress: `${name}:1`,
    peerAddress: `${name}:2`,
  };
}

function news(
  name: string,
  beat: number,
  state: InstanceState = 'serving',
  startedAt = 1,
): InstanceNews {
  return {record: record(name, 'north', startedAt), state, beat};
}

function makeTable() {
  const clock = new FakeClock();
  clock.advance(10_000);
  const table = new InstanceTable(clock, new SilentLogger(), record('own'));
  return {clock, table};
}

describe('a run of an instance', () => {
  const cases = [
    {name: 'own', start: 1, ended: false},
    {name: 'own', start: 7, ended: true},
    {name: 'peer', start: 1, ended: false},
    {name: 'peer', answered: {start: 1, askedAt: 20}, start: 1, ended: false},
    {name: 'peer', answered: {start: 2, askedAt: 20}, start: 1, ended: true},
    // The wall clock was ahead when the run that ended had begun.
    {name: 'peer', answered: {start: 2, askedAt: 20}, start: 9, ended: true},
    // The question was older than the sign of life.
    {name: 'peer', answered: {start: 2, askedAt: 5}, start: 3, ended: false},
  ];

  it.each(cases)(
    '$name of $start after $answered has ended: $ended',
    ({name, answered, start, ended}) => {
      const {table} = makeTable();
      if (answered !== undefined) {
        const run = record(name, 'north', answered.start);
        table.noteAnswer(run, answered.askedAt);
      }
      expect(table.hasEnded(name, start, 10)).toBe(ended);
    },
  );
});

describe('instances that serve', () => {
  const cases: ReadonlyArray<{
    name: string;
    act: (table: InstanceTable, clock: FakeClock) => void;
    serving: readonly string[];
  }> = [
    {
      name: 'are those that say so',
      act: table => table.hear(news('a', 1)),
      serving: ['a'],
    },
    {
      name: 'hold this one once it serves',
      act: table => {
        table.state = 'serving';
      },
      serving: ['own'],
    },
    {
      name: 'leave out one that stops',
      act: table => {
        table.hear(news('a', 1));
        table.hear(news('a', 2, 'stopping'));
      },
      serving: [],
    },
    {
      name: 'take no older news',
      act: table => {
        table.hear(news('a', 2, 'stopping'));
        table.hear(news('a', 1));
      },
      serving: [],
    },
    {
      name: 'take a new start for newer than any beat',
      act: table => {
        table.hear(news('a', 99, 'stopping'));
        table.hear(news('a', 1, 'serving', 2));
      },
      serving: ['a'],
    },
    {
      name: 'leave out one that was not heard of',
      act: (table, clock) => {
        table.hear(news('a', 1));
        clock.advance(1700);
      },
      serving: [],
    },
    {
      name: 'leave out one that could not be reached, until it is heard of again',
      act: table => {
        table.hear(news('a', 1));
        table.hear(news('b', 1));
        table.noteUnreachable('a');
        table.noteUnreachable('b');
        table.hear(news('b', 2));
      },
      serving: ['b'],
    },
    {
      name: 'are not told by a list alone',
      act: table => table.learn(record('a')),
      serving: [],
    },
    {
      name: 'hold what others say of this one for nothing',
      act: table => table.hear(news('own', 99)),
      serving: [],
    },
  ];

  it.each(cases)('$name', ({act, serving}) => {
    const {clock, table} = makeTable();
    act(table, clock);
    expect(table.serving.map(({name}) => name)).toEqual(serving);
  });
});

describe('addresses for a caller', () => {
  const serving = [record('n1'), record('n2'), record('s1', 'south')];

  it.each([
    {
      dataCentre: 'north',
      region: 'region',
      limit: 64,
      addresses: ['n1:1', 'n2:1'],
    },
    {
      dataCentre: 'south',
      region: 'region',
      limit: 64,
      addresses: ['n1:1', 'n2:1', 's1:1'],
    },
    {
      dataCentre: 'none',
      region: 'none',
      limit: 64,
      addresses: ['n1:1', 'n2:1', 's1:1'],
    },
    {
      dataCentre: undefined,
      region: undefined,
      limit: 64,
      addresses: ['n1:1', 'n2:1', 's1:1'],
    },
  ])('in $dataCentre are $addresses', ({limit, addresses, ...question}) => {
    const chosen = chooseAddresses(question, serving, limit);
    expect([...chosen].sort()).toEqual(addresses);
  });

  it('keep within the limit, the same for all callers of a data centre', () => {
    const many = [...Array(100).keys()].map(index => record(`i${index}`));
    const question = {dataCentre: 'north', region: 'region'};
    const chosen = chooseAddresses(question, many, 64);
    expect(new Set(chosen).size).toBe(64);
    expect(chooseAddresses(question, [...many].reverse(), 64)).toEqual(chosen);
  });
});
