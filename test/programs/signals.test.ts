import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {afterAll, beforeAll, beforeEach, describe, expect, it} from 'vitest';

import {FaultTestFixture} from '../prove/faultTestFixture.js';
import {ManagedProcess, ProcessSupervisor} from '../support/managedProcess.js';
import {
  endWithin,
  loggedSignals,
  sendSignals,
  servingCases,
  startCases,
} from '../support/signalCases.js';
import {signalAtStart} from '../support/startSignals.js';
import {InstanceHandle} from '../support/systemHandles.js';

/** Signals to the programs of an instance at every stage: none may end work or a program before its time. */

const REPLY_TOKENS = 150;
const STREAM_COUNT = 3;
const DRAIN_SECONDS = 10;
/** Time of a stop: the drain, the recording of outcomes and the announcement. */
const STOP_MILLISECONDS = (DRAIN_SECONDS + 4) * 1000;
const START_TIMEOUT_MILLISECONDS = 10_000;
/** Time for a process to end that must not end. */
const OBSERVATION_MILLISECONDS = 500;

const programs = [
  {program: 'entry', startedMessage: 'entry program started'},
  {program: 'control', startedMessage: 'listening'},
] as const;

let fixture: FaultTestFixture;

beforeAll(async () => {
  fixture = await FaultTestFixture.launch({
    entrySettings: {drainSeconds: DRAIN_SECONDS},
  });
});

afterAll(() => fixture?.dispose());

beforeEach(() => fixture.startCase());

describe.each(programs)('$program', ({program, startedMessage}) => {
  let instance: InstanceHandle;

  describe('signals while it starts', () => {
    let supervisor: ProcessSupervisor;

    beforeAll(async () => {
      instance = fixture.instance(2);
      await instance[program].kill();
      supervisor = new ProcessSupervisor(
        mkdtempSync(join(tmpdir(), 'signals-')),
      );
    });

    afterAll(async () => {
      await supervisor?.dispose();
      await instance[program].restart();
      await fixture.system.waitUntilReady();
    });

    it.each(startCases)(
      '$stage, $signals: exits $exits',
      async ({stage, signals, exits}) => {
        const started = supervisor.start(
          `${program}-${stage}-${signals.join('-')}`,
          `src/programs/${program}/main.js`,
          join(fixture.system.directory, `${instance.id}-${program}.json`),
          signalAtStart(stage, signals),
        );
        if (exits) {
          expect(await endWithin(started, STOP_MILLISECONDS)).toBe(0);
        } else {
          await expectStarted(started);
        }
        expect.soft(new Set(loggedSignals(started))).toEqual(new Set(signals));
        await started.kill();
      },
    );

    async function expectStarted(started: ManagedProcess): Promise<void> {
      await fixture.system.waitUntil(
        `${started.name} has started or ended`,
        async () =>
          !started.isRunning || started.log().includes(startedMessage),
        START_TIMEOUT_MILLISECONDS,
      );
      expect(await endWithin(started, OBSERVATION_MILLISECONDS)).toBe(
        'running',
      );
    }
  });

  describe('signals with streams in progress', () => {
    beforeAll(() => {
      instance = fixture.instance(0);
    });

    it.each(servingCases)('$name', async ({signals, exits}) => {
      const target = instance[program];
      // A control program stops within milliseconds unless its peers don't answer.
      const paused = program === 'control' && signals.length > 1;
      const peers = [1, 2].map(index => fixture.instance(index).control);
      const workItems = Array.from({length: STREAM_COUNT}, () =>
        fixture.newWork(REPLY_TOKENS),
      );
      const streams = workItems.map(work =>
        fixture.submitUntilAccepted(instance, work, work.businessKey),
      );
      await Promise.all(workItems.map(work => fixture.awaitBegun(work)));
      peers.filter(() => paused).forEach(peer => peer.freeze());
      const loggedBefore = loggedSignals(target).length;
      const end = endWithin(
        target,
        exits ? STOP_MILLISECONDS : OBSERVATION_MILLISECONDS,
      );
      await sendSignals([target], signals);
      try {
        expect(await end).toBe(exits ? 0 : 'running');
        const responses = await Promise.all(streams);
        expect(responses.map(response => response.end)).toEqual(
          workItems.map(() => 'whole'),
        );
        expect
          .soft(loggedSignals(target).slice(loggedBefore))
          .toEqual(
            signals
              .filter(({signal}) => signal !== 'SIGPIPE')
              .map(({signal}) => signal),
          );
      } finally {
        peers.forEach(peer => peer.resume());
        if (!target.isRunning) {
          await target.restart();
        }
        await fixture.system.waitUntilReady();
      }
    });
  });
});
