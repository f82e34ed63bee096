import {sleep} from './sleep.js';
import {ManagedProcess} from './managedProcess.js';
import {StartStage} from './startSignals.js';

/** Cases of signals that hold for all programs, and what each process has to do. */

/** Signals that a process sends to itself while it starts. */
export interface StartCase {
  readonly stage: StartStage;
  readonly signals: readonly NodeJS.Signals[];
  /** Whether the process has to exit, with code 0. */
  readonly exits: boolean;
}

/** A signal and the time after the first one at which it is sent. */
export interface TimedSignal {
  readonly signal: NodeJS.Signals;
  readonly atMilliseconds: number;
}

/** Signals to a process that serves. */
export interface ServingCase {
  readonly name: string;
  readonly signals: readonly TimedSignal[];
  /** Whether the process has to exit, with code 0. */
  readonly exits: boolean;
}

export const startCases: readonly StartCase[] = [
  {stage: 'loading', signals: ['SIGTERM'], exits: true},
  {stage: 'loading', signals: ['SIGINT'], exits: true},
  {stage: 'loading', signals: ['SIGHUP'], exits: false},
  {stage: 'loading', signals: ['SIGHUP', 'SIGTERM', 'SIGINT'], exits: true},
  {stage: 'listening', signals: ['SIGTERM'], exits: true},
  {stage: 'listening', signals: ['SIGINT'], exits: true},
  {stage: 'listening', signals: ['SIGHUP'], exits: false},
  {stage: 'listening', signals: ['SIGTERM', 'SIGHUP', 'SIGINT'], exits: true},
];

export const servingCases: readonly ServingCase[] = [
  at('one SIGTERM', true, ['SIGTERM', 0]),
  at('one SIGINT', true, ['SIGINT', 0]),
  at('one SIGHUP', false, ['SIGHUP', 0]),
  at('one SIGPIPE', false, ['SIGPIPE', 0]),
  at('two SIGTERM', true, ['SIGTERM', 0], ['SIGTERM', 100]),
  at('two SIGINT', true, ['SIGINT', 0], ['SIGINT', 100]),
  at('SIGINT after SIGTERM', true, ['SIGTERM', 0], ['SIGINT', 100]),
  at('SIGTERM after SIGINT', true, ['SIGINT', 0], ['SIGTERM', 100]),
  at('SIGHUP after SIGTERM', true, ['SIGTERM', 0], ['SIGHUP', 100]),
  at('SIGTERM after SIGHUP', true, ['SIGHUP', 0], ['SIGTERM', 20]),
  at(
    'three SIGTERM in quick succession',
    true,
    ['SIGTERM', 0],
    ['SIGTERM', 20],
    ['SIGTERM', 40],
  ),
  at(
    'all signals mixed',
    true,
    ['SIGHUP', 0],
    ['SIGINT', 20],
    ['SIGHUP', 40],
    ['SIGTERM', 60],
    ['SIGINT', 200],
    ['SIGTERM', 300],
  ),
];

function at(
  name: string,
  exits: boolean,
  ...signals: ReadonlyArray<readonly [NodeJS.Signals, number]>
): ServingCase {
  return {
    name,
    exits,
    signals: signals.map(([signal, atMilliseconds]) => ({
      signal,
      atMilliseconds,
    })),
  };
}

/** How a process ended: with an exit code, by a signal, or not at all within the time. */
export type ProcessEnd = number | 'signal' | 'running';

/** Sends the signals to each process at the same times; resolves after the last one. */
export async function sendSignals(
  processes: readonly ManagedProcess[],
  signals: readonly TimedSignal[],
): Promise<void> {
  const start = performance.now();
  for (const {signal, atMilliseconds} of signals) {
    await sleep(Math.max(0, start + atMilliseconds - performance.now()));
    processes.forEach(target => target.signal(signal));
  }
}

/** Resolves when the process has ended or the time is over. */
export function endWithin(
  target: ManagedProcess,
  milliseconds: number,
): Promise<ProcessEnd> {
  return Promise.race([
    target.exitCode.then(code => code ?? ('signal' as const)),
    sleep(milliseconds).then(() => 'running' as const),
  ]);
}

/** The signals that the process has logged, in their order. */
export function loggedSignals(target: ManagedProcess): readonly unknown[] {
  return target
    .logLines()
    .filter(({msg}) => msg === 'signal received')
    .map(({signal}) => signal);
}
