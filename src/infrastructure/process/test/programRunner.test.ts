import {EventEmitter} from 'node:events';

import {expect, it} from 'vitest';

import {blockEventLoop} from '../../../../test/support/blockEventLoop.js';
import {nextPoll} from '../../../base/node/nextPoll.js';
import {LogFields, Logger} from '../../logging/common/logger.js';
import {ProcessSignals} from '../node/processSignals.js';
import {ProgramRunner} from '../node/programRunner.js';

/** What the runner of a program does with signals, and with a start or a stop that fails or hangs. */

const STOP_LIMIT_MILLISECONDS = 60;

const done = (): Promise<void> => Promise.resolve();
const hang = (): Promise<void> => new Promise(() => undefined);
const fail = (): Promise<void> => Promise.reject(new Error('failed'));

class RecordingLogger extends Logger {
  readonly lines: string[] = [];

  override info(message: string, fields: LogFields = {}): void {
    const {signal, stage, action} = fields;
    this.lines.push(`${message}: ${signal}, ${stage}, ${action}`);
  }

  override error(message: string): void {
    this.lines.push(message);
  }

  override decision(): void {}

  override warn(): void {}

  override child(): Logger {
    return this;
  }
}

/** A stop that would end in time, of a process that is held over its end and its limit. */
async function endHeld(): Promise<void> {
  const ownEnd = new Promise(resolve => setTimeout(resolve, 40));
  setImmediate(() => blockEventLoop(2 * STOP_LIMIT_MILLISECONDS));
  await ownEnd;
  for (let step = 0; step < 5; step++) {
    await nextPoll();
  }
}

interface Case {
  readonly name: string;
  readonly before?: readonly NodeJS.Signals[];
  readonly later?: readonly NodeJS.Signals[];
  readonly start: () => Promise<void>;
  readonly stop: () => Promise<void>;
  readonly calls: readonly string[];
  readonly exitCode: number;
  readonly lines: readonly string[];
}

const cases: readonly Case[] = [
  {
    name: 'a stop signal before the start prevents it',
    before: ['SIGHUP', 'SIGTERM', 'SIGINT'],
    start: done,
    stop: done,
    calls: ['hang-up'],
    exitCode: 0,
    lines: [
      'signal received: SIGHUP, loading, checks',
      'signal received: SIGTERM, loading, exits without serving',
      'signal received: SIGINT, stopping, nothing; already stopping',
    ],
  },
  {
    name: 'a stop signal interrupts a start that takes long',
    later: ['SIGINT'],
    start: hang,
    stop: done,
    calls: ['start'],
    exitCode: 0,
    lines: ['signal received: SIGINT, starting, exits without serving'],
  },
  {
    name: 'later stop signals change nothing',
    later: ['SIGTERM', 'SIGTERM', 'SIGINT'],
    start: done,
    stop: done,
    calls: ['start', 'stop'],
    exitCode: 0,
    lines: [
      'signal received: SIGTERM, serving, stops',
      'signal received: SIGTERM, stopping, nothing; already stopping',
      'signal received: SIGINT, stopping, nothing; already stopping',
    ],
  },
  {
    name: 'a start that fails ends the run',
    start: fail,
    stop: done,
    calls: ['start'],
    exitCode: 1,
    lines: ['could not start'],
  },
  {
    name: 'a stop that fails ends at its limit',
    later: ['SIGTERM'],
    start: done,
    stop: fail,
    calls: ['start', 'stop'],
    exitCode: 1,
    lines: [
      'signal received: SIGTERM, serving, stops',
      'stop failed; exiting at its time limit',
      'stop has not ended in time; exiting',
    ],
  },
  {
    name: 'a stop takes its last steps when the process was held over its limit',
    later: ['SIGTERM'],
    start: done,
    stop: endHeld,
    calls: ['start', 'stop'],
    exitCode: 0,
    lines: ['signal received: SIGTERM, serving, stops'],
  },
  {
    name: 'a stop that hangs ends at its limit',
    later: ['SIGTERM'],
    start: done,
    stop: hang,
    calls: ['start', 'stop'],
    exitCode: 1,
    lines: [
      'signal received: SIGTERM, serving, stops',
      'stop has not ended in time; exiting',
    ],
  },
];

it.each(cases)('$name', async testCase => {
  const {before = [], later = [], exitCode, calls, lines} = testCase;
  const source = new EventEmitter();
  const logger = new RecordingLogger();
  const made: string[] = [];
  const record = (call: string, result: () => Promise<void>) => () => {
    made.push(call);
    return result();
  };
  const runner = new ProgramRunner(
    {
      start: record('start', testCase.start),
      stop: record('stop', testCase.stop),
    },
    createSignals(source, before),
    logger,
    {
      stopLimitMilliseconds: STOP_LIMIT_MILLISECONDS,
      hangUpAction: {name: 'checks', run: () => made.push('hang-up')},
    },
  );
  setTimeout(() => later.forEach(signal => source.emit(signal)), 20);
  expect(await runner.run()).toBe(exitCode);
  expect(made).toEqual(calls);
  expect(logger.lines).toEqual(lines);
});

/** Signals that have been received before a runner listens. */
function createSignals(
  source: EventEmitter,
  received: readonly NodeJS.Signals[],
): ProcessSignals {
  const signals = new ProcessSignals(source);
  received.forEach(signal => source.emit(signal));
  return signals;
}
