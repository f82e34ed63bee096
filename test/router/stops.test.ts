import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {StandInSystem, waitFor} from '../standins/fleet/system.js';
import {sleep} from '../support/sleep.js';
import {
  RecordedResponse,
  sendRequest,
  waitUntilServing,
} from './sendRequest.js';

/** Router instances as separate processes that are stopped while callers go on sending streams to them. */

const SEND_PERIOD_MILLISECONDS = 40;
const LOAD_BEFORE_STOP_MILLISECONDS = 4_000;
const EXIT_TIMEOUT_MILLISECONDS = 8_000;

interface SentStream {
  /** Milliseconds from the stop signal until it was sent. */
  readonly sentAt: number;
  /** Undefined if its connection ended without a response. */
  readonly response: RecordedResponse | undefined;
}

describe('an instance that stops', () => {
  let system: StandInSystem;

  beforeEach(async () => {
    system = await StandInSystem.start(2);
    await waitUntilServing(system.instances);
  });

  afterEach(() => system.stop());

  // Streams taken until 0.55 of the stop were cut off at its end if they lasted longer than the rest.
  it.each([
    {eventMilliseconds: 30, streamMilliseconds: 900, areSomeTaken: true},
    {eventMilliseconds: 60, streamMilliseconds: 1_800, areSomeTaken: true},
    {eventMilliseconds: 100, streamMilliseconds: 3_000, areSomeTaken: false},
  ])(
    'takes no stream that it would have to cut off, with streams of $streamMilliseconds ms',
    async ({eventMilliseconds, areSomeTaken}) => {
      system.engines.eventIntervalMilliseconds = eventMilliseconds;
      const stopping = system.instances[1]!;
      const streams: Array<Promise<SentStream>> = [];
      const begunAt = performance.now();
      let exitCode: Promise<number | undefined> | undefined;
      let signalledAt = Infinity;
      while (stopping.process.isRunning) {
        const now = performance.now();
        if (
          exitCode === undefined &&
          now - begunAt > LOAD_BEFORE_STOP_MILLISECONDS
        ) {
          exitCode = stopping.process.terminate();
          signalledAt = now;
        }
        const sentAt = now - signalledAt;
        streams.push(
          sendRequest(stopping, '/chat/x').then(
            response => ({sentAt, response}),
            () => ({sentAt, response: undefined}),
          ),
        );
        await sleep(SEND_PERIOD_MILLISECONDS);
      }
      await waitFor(
        () => !stopping.process.isRunning,
        EXIT_TIMEOUT_MILLISECONDS,
      );
      const sent = await Promise.all(streams);
      const later = sent.filter(({sentAt}) => sentAt > 0);
      const cutOff = later.filter(
        ({response}) => response?.isComplete === false,
      );
      const refused = later.flatMap(({response}) =>
        response?.status === 503 ? [response] : [],
      );
      expect(cutOff.map(({sentAt}) => sentAt)).toEqual([]);
      expect(refused.length).toBeGreaterThan(0);
      expect(new Set(refused.map(({body}) => body))).toEqual(
        new Set(['{"error":"stopping"}']),
      );
      expect(later.some(({response}) => response?.status === 200)).toBe(
        areSomeTaken,
      );
      expect(await exitCode).toBe(0);
    },
  );
});
