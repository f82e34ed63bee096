import {describe, expect, it} from 'vitest';

import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {
  SuspicionReason,
  SuspicionTracker,
} from '../../fleet/common/suspicionTracker.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {makeUpstream} from '../../fleet/test/upstreams.js';
import {CrashDetector} from '../common/crashDetector.js';
import {PromptGuard} from '../common/promptGuard.js';

const UPSTREAMS = ['lost', 'other'].map((id, index) =>
  makeUpstream({id, address: `10.0.0.${index + 1}:1`}),
);

interface LossCase {
  readonly name: string;
  readonly isConnectionEnded?: boolean;
  readonly suspicion?: SuspicionReason;
  /** Milliseconds after which the upstream leaves the list. */
  readonly goneAfter?: number;
  readonly isCutOff?: boolean;
  readonly isCrash: boolean;
}

describe('a lost answer', () => {
  it.each<LossCase>([
    {name: 'whose upstream answers probes', isCrash: false},
    {
      name: 'whose upstream leaves a probe unanswered',
      suspicion: 'reset',
      isCrash: true,
    },
    {
      name: 'whose upstream refuses new work',
      suspicion: 'refusing',
      isCrash: false,
    },
    {
      name: 'whose upstream fell silent with its connection open',
      isConnectionEnded: false,
      suspicion: 'silent',
      isCrash: false,
    },
    {
      name: 'whose silent upstream leaves the list',
      isConnectionEnded: false,
      suspicion: 'silent',
      goneAfter: 4_000,
      isCrash: true,
    },
    {
      name: 'whose upstream leaves the list much later',
      goneAfter: 10_000,
      isCrash: false,
    },
    {
      name: 'of an instance that is cut off from all upstreams',
      suspicion: 'reset',
      isCutOff: true,
      isCrash: false,
    },
  ])(
    '$name counts as a crash: $isCrash',
    async ({
      isConnectionEnded = true,
      suspicion,
      goneAfter,
      isCutOff = false,
      isCrash,
    }) => {
      const clock = new FakeClock();
      clock.advance(100_000);
      const logger = new SilentLogger();
      const directory = new UpstreamDirectory(clock, logger);
      directory.replace(UPSTREAMS);
      clock.advance(2_500);
      directory.replace(UPSTREAMS);
      const suspicions = new SuspicionTracker(clock, logger);
      const guard = new PromptGuard(clock, logger, true, () => true);
      const detector = new CrashDetector(
        clock,
        directory,
        suspicions,
        guard,
        () => isCutOff,
      );
      detector.recordLoss({
        upstream: 'lost',
        isConnectionEnded,
        suspect: {request: 'r', account: 'a', promptParts: ['own']},
        phase: 'early',
        ageMilliseconds: 0,
      });
      if (suspicion !== undefined) {
        suspicions.suspect('lost', suspicion, {});
      }
      if (goneAfter !== undefined) {
        for (let passed = 0; passed < goneAfter; passed += 1_000) {
          clock.advance(1_000);
          directory.replace(UPSTREAMS);
        }
        directory.replace(UPSTREAMS.slice(1));
      }
      // Events reach their listeners asynchronously.
      await clock.advanceAsync(1);
      expect(guard.crashCount).toBe(isCrash ? 1 : 0);
    },
  );
});
