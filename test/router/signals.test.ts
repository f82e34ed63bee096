import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {
  BUNDLED_ROUTER,
  RouterInstance,
  STOP_SECONDS,
  StandInSystem,
  waitFor,
} from '../standins/fleet/system.js';
import {ManagedProcess, ProcessSupervisor} from '../support/managedProcess.js';
import {
  endWithin,
  loggedSignals,
  sendSignals,
  ServingCase,
  servingCases,
  startCases,
} from '../support/signalCases.js';
import {signalAtStart} from '../support/startSignals.js';
import {sleep} from '../support/sleep.js';
import {eventIdsOf, sendRequest, waitUntilServing} from './sendRequest.js';

/** Signals to router instances at every stage: none may end a stream or the process before its time. */

const STOP_MILLISECONDS = STOP_SECONDS * 1000;
const START_TIMEOUT_MILLISECONDS = 10_000;
/** Time for a process to end that must not end. */
const OBSERVATION_MILLISECONDS = 500;
const STREAM_COUNT = 6;
/** Streams begin so late that they outlast the signals of all cases. */
const BEGIN_MILLISECONDS = 400;
const BEFORE_SIGNAL_MILLISECONDS = 60;
const EVENT_COUNT = 30;

let system: StandInSystem;

beforeAll(async () => {
  system = await StandInSystem.start(3);
  await waitUntilServing(system.instances);
});

afterAll(() => system?.stop());

async function isWholeStream(instance: RouterInstance): Promise<boolean> {
  try {
    const response = await sendRequest(instance, '/chat/x');
    return response.isComplete && eventIdsOf(response).length === EVENT_COUNT;
  } catch {
    return false;
  }
}

function startStreams(
  instances: readonly RouterInstance[],
): ReadonlyArray<Promise<boolean>> {
  return instances.flatMap(instance =>
    Array.from({length: STREAM_COUNT}, () => isWholeStream(instance)),
  );
}

async function restart(instances: readonly RouterInstance[]): Promise<void> {
  await Promise.all(instances.map(instance => instance.process.restart()));
  await waitFor(async () => {
    const ready = await Promise.all(instances.map(one => system.isReady(one)));
    return ready.every(Boolean);
  }, START_TIMEOUT_MILLISECONDS);
  await waitUntilServing(instances);
}

describe('signals to a router that starts', () => {
  let spare: RouterInstance;
  let supervisor: ProcessSupervisor;

  beforeAll(async () => {
    spare = system.instances[2]!;
    await spare.process.kill();
    supervisor = new ProcessSupervisor(mkdtempSync(join(tmpdir(), 'signals-')));
  });

  afterAll(async () => {
    await supervisor?.dispose();
    await restart([spare]);
  });

  it.each(startCases)(
    '$stage, $signals: exits $exits',
    async ({stage, signals, exits}) => {
      const started = supervisor.start(
        `${stage}-${signals.join('-')}`,
        BUNDLED_ROUTER,
        spare.settingsFile,
        signalAtStart(stage, signals),
      );
      if (exits) {
        expect(await endWithin(started, STOP_MILLISECONDS)).toBe(0);
        expectNoStartAfterSignal(started);
      } else {
        await expectServing(started);
      }
      expect.soft(new Set(loggedSignals(started))).toEqual(new Set(signals));
      await started.kill();
    },
  );

  /** Once it listens, a request may have been read, so that it has to stop as usual. */
  function expectNoStartAfterSignal(started: ManagedProcess): void {
    const messages = started.logLines().map(({msg}) => msg);
    const afterSignal = messages.slice(messages.indexOf('signal received'));
    expect(afterSignal).not.toContain('started');
    expect(messages.includes('stopping')).toBe(messages.includes('started'));
  }

  async function expectServing(started: ManagedProcess): Promise<void> {
    await waitFor(
      async () => !started.isRunning || (await system.isReady(spare)),
      START_TIMEOUT_MILLISECONDS,
      () => started.log(),
    );
    expect(await endWithin(started, OBSERVATION_MILLISECONDS)).toBe('running');
  }
});

describe('signals to routers with streams in progress', () => {
  beforeAll(() => {
    system.engines.beginMilliseconds = BEGIN_MILLISECONDS;
  });

  async function expectOutcome(
    instances: readonly RouterInstance[],
    {signals, exits}: ServingCase,
  ): Promise<void> {
    const streams = startStreams(instances);
    await sleep(BEFORE_SIGNAL_MILLISECONDS);
    const processes = instances.map(instance => instance.process);
    const loggedBefore = processes.map(target => loggedSignals(target).length);
    const ends = processes.map(target =>
      endWithin(target, exits ? STOP_MILLISECONDS : OBSERVATION_MILLISECONDS),
    );
    await sendSignals(processes, signals);
    expect(await Promise.all(ends)).toEqual(
      processes.map(() => (exits ? 0 : 'running')),
    );
    expect(await Promise.all(streams)).toEqual(streams.map(() => true));
    const handled = signals.filter(({signal}) => signal !== 'SIGPIPE');
    processes.forEach((target, index) =>
      expect
        .soft(loggedSignals(target).slice(loggedBefore[index]))
        .toEqual(handled.map(({signal}) => signal)),
    );
  }

  it.each(servingCases)('$name', async testCase => {
    const instances = system.instances.slice(0, 1);
    try {
      await expectOutcome(instances, testCase);
    } finally {
      await restart(instances.filter(({process}) => !process.isRunning));
    }
  });

  it.each(servingCases.filter(({signals}) => signals.length > 2))(
    '$name, at all instances at once',
    async testCase => {
      try {
        await expectOutcome(system.instances, testCase);
      } finally {
        await restart(system.instances);
      }
    },
  );
});
