import {describe, expect, it} from 'vitest';

import {UpstreamCall} from '../standins/fleet/upstreamLog.js';
import {checks, eventsOf} from './checks.js';
import {Attempt, History, ProcessEvent} from './history.js';
import {HistoryIndex} from './historyIndex.js';

/** Each check catches a breach that was made by hand, and excuses what the rule doesn't count. */

const SIGTERM_AT = 20_000;

const attempt: Attempt = {
  requestId: 'r-1',
  requestName: 'r',
  kind: 'unsafe',
  method: 'POST',
  target: '/book/1',
  body: 'body',
  firstEvent: 0,
  lastEvent: 0,
  instance: 'a',
  isKeptConnection: true,
  startedAt: 21_000,
  timeLimitMilliseconds: 20_000,
  sentAt: 21_000,
  endedAt: 21_150,
  end: {kind: 'answered'},
  status: 200,
  stamp: 'u.r-1',
  response: 'u did r-1',
};

const call: UpstreamCall = {
  requestId: 'r-1',
  upstream: 'u',
  path: ['u:1'],
  method: 'POST',
  target: '/book/1',
  body: 'body',
  arrivedAt: 21_010,
  hasRun: true,
  status: 200,
  stamp: 'u.r-1',
  firstEvent: 1,
  endedAt: 21_140,
  end: 'finished',
};

const stream: Attempt = {
  ...attempt,
  kind: 'resumable',
  firstEvent: 1,
  lastEvent: 100,
};
const wholeStream: Attempt = {...stream, response: eventsOf(stream)};

const cut: Attempt = {
  ...attempt,
  end: {kind: 'cut', isReset: false},
  status: undefined,
  stamp: undefined,
  response: '',
};
const closed: UpstreamCall = {...call, end: 'closed'};

function signal(name: string, at: number, isOverdue = false): ProcessEvent {
  return {kind: 'signal', instance: 'a', at, signal: name, isOverdue};
}
const start: ProcessEvent = {kind: 'start', instance: 'a', at: 0};
const stop = signal('SIGTERM', SIGTERM_AT);
const stopping = {processEvents: [start, stop]};

function exit(at: number, code: number | undefined): ProcessEvent {
  return {kind: 'exit', instance: 'a', at, code};
}

/** The same attempts or calls under several identifiers. */
function times<T extends {requestId: string}>(count: number, item: T): T[] {
  return [...Array(count).keys()].map(index => ({
    ...item,
    requestId: `r-${index}`,
  }));
}

/** Four requests that failed after each of them had run at the upstreams. */
function lostAtUpstreams(upstreams: readonly string[]): Partial<History> {
  const failed: Attempt = {
    ...attempt,
    kind: 'safe',
    stamp: undefined,
    status: 502,
  };
  return {
    attempts: times(4, failed),
    calls: upstreams.flatMap(upstream => times(4, {...call, upstream})),
  };
}

const LOST = 'LOST around planned work';
const LOST_ANY = 'LOST at any time';
const STREAMS = 'MIXED and ORDER of streams';
const EXITS = 'exit codes';

/** Names of the checks that find a breach. */
function findBroken(fields: Partial<History>): readonly string[] {
  const history: History = {
    bounds: {
      stopMilliseconds: 8_000,
      contactMilliseconds: 3_000,
      configurationMilliseconds: 2_000,
      lossSlackMilliseconds: 200,
      drainMilliseconds: 2_000,
      attempts: 2,
      eventIntervalMilliseconds: 40,
    },
    attempts: [attempt],
    calls: [call],
    processEvents: [start],
    impairments: [],
    departures: [],
    ...fields,
  };
  const index = new HistoryIndex(history);
  return checks
    .filter(({judge}) => judge(index).violations.length > 0)
    .map(({name}) => name);
}

const late: Attempt = {...cut, startedAt: 22_990, sentAt: 22_990};
const lostAt = (endedAt: number): Partial<History> => ({
  ...stopping,
  attempts: [{...late, endedAt}],
  calls: [{...closed, arrivedAt: 23_000, endedAt}],
});

/** Requests that reach upstreams over half a second after their callers left. */
const fourLate: Partial<History> = {
  attempts: times(4, {
    ...attempt,
    end: {kind: 'left', why: 'early'},
    endedAt: 20_500,
  }),
  calls: times(4, call),
};

describe('checks', () => {
  it.each<{name: string; history: Partial<History>; broken: string[]}>([
    {name: 'an answered request', history: stopping, broken: []},
    {
      name: 'a request cut in a stop once it was passed on',
      history: {...stopping, attempts: [cut], calls: [closed]},
      broken: [LOST],
    },
    {
      name: 'a request cut in a stop without being passed on, within the slack',
      history: {...stopping, attempts: [cut], calls: []},
      broken: [],
    },
    {
      name: 'a request cut in a stop without being passed on, after the slack',
      history: {
        ...stopping,
        attempts: [{...cut, endedAt: 21_201}],
        calls: [],
      },
      broken: [LOST],
    },
    {
      name: 'a request that was left unread',
      history: {
        ...stopping,
        attempts: [
          {...cut, endedAt: 21_201, end: {kind: 'cut', isReset: true}},
        ],
        calls: [],
      },
      broken: [],
    },
    {
      name: 'a request cut after the window of the stop',
      history: lostAt(SIGTERM_AT + 9_001),
      broken: [],
    },
    {
      name: 'work that was cut in the last sixth of the stop',
      history: lostAt(26_667),
      broken: [],
    },
    {
      name: 'work that was cut before the last sixth of the stop',
      history: lostAt(26_665),
      broken: [LOST],
    },
    {
      name: 'work in the last sixth on a request sent over 3 s after SIGTERM',
      history: {
        ...stopping,
        attempts: [{...late, sentAt: 23_001, endedAt: 27_000}],
        calls: [{...closed, arrivedAt: 23_010, endedAt: 27_000}],
      },
      broken: [LOST],
    },
    {
      name: 'a request whose upstream broke off',
      history: {
        ...stopping,
        attempts: [cut],
        calls: [{...closed, end: 'brokeOff'}],
      },
      broken: [],
    },
    {
      name: 'a request cut by a kill in the stop',
      history: {
        processEvents: [start, stop, signal('SIGKILL', 21_140)],
        attempts: [cut],
        calls: [closed],
      },
      broken: [],
    },
    {
      name: 'a request cut by the kill at the end of the stop',
      history: {
        ...lostAt(28_001),
        processEvents: [start, stop, signal('SIGKILL', 28_000, true)],
        attempts: [{...late, sentAt: 23_100, endedAt: 28_001}],
      },
      broken: [LOST],
    },
    {
      name: 'a request cut after SIGHUP',
      history: {
        processEvents: [start, signal('SIGHUP', 20_900)],
        attempts: [cut],
        calls: [closed],
      },
      broken: [LOST],
    },
    {
      name: 'an unsafe request cut in a stop while the store is away',
      history: {
        ...stopping,
        attempts: [cut],
        calls: [closed],
        impairments: [{subject: 'store', from: 19_000, until: 22_000}],
      },
      broken: [LOST],
    },
    {
      name: 'four requests closed on kept connections at calm times',
      history: {attempts: times(4, cut), calls: times(4, closed)},
      broken: [LOST_ANY],
    },
    {
      name: 'three requests closed on kept connections',
      history: {attempts: times(3, cut), calls: times(3, closed)},
      broken: [],
    },
    {
      name: 'an unsafe request that ran twice',
      history: {calls: [call, {...call, upstream: 'v'}]},
      broken: ['TWICE'],
    },
    {
      name: 'an unsafe request that was refused and ran',
      history: {attempts: [{...attempt, status: 503, stamp: undefined}]},
      broken: ['REFUSED'],
    },
    {
      name: 'the body of another request',
      history: {attempts: [{...attempt, response: 'u did r-2'}]},
      broken: ['MIXED answers'],
    },
    {
      name: 'a success without a stamp',
      history: {attempts: [{...attempt, stamp: undefined}]},
      broken: ['MIXED answers'],
    },
    {
      name: 'a failure that was answered as a success',
      history: {calls: [{...call, status: 500}]},
      broken: ['MIXED answers'],
    },
    {name: 'a whole stream', history: {attempts: [wholeStream]}, broken: []},
    {
      name: 'a stream that ends early and looks whole',
      history: {
        attempts: [{...stream, response: eventsOf({...stream, lastEvent: 99})}],
      },
      broken: [STREAMS],
    },
    {
      name: 'a stream with an event that comes twice',
      history: {
        attempts: [
          {
            ...wholeStream,
            response: eventsOf({...stream, lastEvent: 1}) + eventsOf(stream),
          },
        ],
      },
      broken: [STREAMS],
    },
    {
      name: 'a cut stream with an event of another request',
      history: {
        attempts: [
          {
            ...stream,
            end: {kind: 'cut', isReset: false},
            response: eventsOf({...stream, requestId: 'r-2', lastEvent: 1}),
          },
        ],
      },
      broken: [STREAMS],
    },
    {
      name: 'a run that no caller asked for',
      history: {calls: [call, {...call, requestId: 'r-9'}]},
      broken: ['UNASKED'],
    },
    {
      name: 'a run with another body',
      history: {calls: [{...call, body: 'bod'}]},
      broken: ['UNASKED'],
    },
    {
      name: 'four requests that ran on three upstreams',
      history: lostAtUpstreams(['u', 'v', 'w']),
      broken: ['BUDGET of attempts'],
    },
    {
      name: 'four requests that ran three times on two upstreams',
      history: lostAtUpstreams(['u', 'v', 'u']),
      broken: [],
    },
    {
      name: 'a request at an upstream after its departure',
      history: {departures: [{upstream: 'u', at: 19_009}]},
      broken: ['DRAIN'],
    },
    {
      name: 'a request at an upstream in time after its departure',
      history: {departures: [{upstream: 'u', at: 19_011}]},
      broken: [],
    },
    {
      name: 'four requests that reach upstreams after their callers left',
      history: fourLate,
      broken: ['GONE', 'GONE at any time'],
    },
    {
      name: 'four requests that an instance sends on late after it was held',
      history: {
        ...fourLate,
        processEvents: [
          start,
          {kind: 'freeze', instance: 'a', at: 20_200, until: 21_000},
        ],
      },
      broken: ['GONE at any time'],
    },
    {
      name: 'streams at which upstreams work on after their callers left',
      history: {
        attempts: times(8, {
          ...stream,
          response: '',
          end: {kind: 'left', why: 'early'},
        }),
        calls: times(8, {...call, endedAt: 22_000}),
      },
      broken: ['GONE'],
    },
    {
      name: 'a process that ends by itself',
      history: {processEvents: [start, exit(30_000, 0)]},
      broken: [EXITS],
    },
    {
      name: 'a process that SIGHUP ends',
      history: {
        processEvents: [start, signal('SIGHUP', 100), exit(101, undefined)],
      },
      broken: [EXITS],
    },
    {
      name: 'a process that SIGTERM ends before its handlers stand',
      history: {
        processEvents: [start, signal('SIGTERM', 100), exit(101, undefined)],
      },
      broken: [],
    },
    {
      name: 'a process that a second SIGTERM ends',
      history: {
        processEvents: [
          start,
          stop,
          signal('SIGTERM', 21_500),
          exit(21_501, undefined),
        ],
      },
      broken: [EXITS],
    },
    {
      name: 'a process that is killed at the end of its time for a stop',
      history: {
        processEvents: [
          start,
          stop,
          signal('SIGKILL', 28_000, true),
          exit(28_001, undefined),
        ],
      },
      broken: [EXITS],
    },
    {
      name: 'a process that is killed',
      history: {
        processEvents: [
          start,
          signal('SIGKILL', 30_000),
          exit(30_001, undefined),
        ],
      },
      broken: [],
    },
  ])('judge $name', ({history, broken}) => {
    expect(findBroken(history)).toEqual(broken);
  });
});
