import {RouterInstance} from '../standins/fleet/system.js';
import {sleep} from '../support/sleep.js';
import {RecordedResponse, RequestOptions, sendRequest} from './sendRequest.js';

/** Sends streams over connections of their own while an instance is told to stop. */

const SEND_PERIOD_MILLISECONDS = 40;

/** A stream of the load. */
export interface SentStream {
  /** Milliseconds from the stop signal until it was sent; negative before it. */
  readonly sentAt: number;
  /** Undefined if its connection ended without a response. */
  readonly response: RecordedResponse | undefined;
}

/** Which instance is stopped when, and what is sent. */
export interface LoadAroundStop {
  /** Gets the streams. */
  readonly target: RouterInstance;
  readonly stopping: RouterInstance;
  readonly loadBeforeMilliseconds: number;
  /** Whether to send no more, asked with the time since the stop signal. */
  readonly isOver: (sinceSignal: number) => boolean;
  /** What the stream with a number differs in. */
  readonly optionsOf?: (index: number) => RequestOptions;
  /** Called before each stream with the time since the stop signal. */
  readonly disturb?: (sinceSignal: number) => void;
}

/** Plays the load; resolves with all streams and the exit code of the instance that was stopped. */
export async function sendAroundStop({
  target,
  stopping,
  loadBeforeMilliseconds,
  isOver,
  optionsOf = () => ({}),
  disturb = () => undefined,
}: LoadAroundStop): Promise<{
  readonly sent: readonly SentStream[];
  readonly exitCode: number | undefined;
}> {
  const streams: Array<Promise<SentStream>> = [];
  const begunAt = performance.now();
  let exitCode: Promise<number | undefined> | undefined;
  let signalledAt = Infinity;
  while (!isOver(performance.now() - signalledAt)) {
    const now = performance.now();
    if (exitCode === undefined && now - begunAt > loadBeforeMilliseconds) {
      exitCode = stopping.process.terminate();
      signalledAt = now;
    }
    const sentAt = now - signalledAt;
    disturb(sentAt);
    const options = optionsOf(streams.length);
    streams.push(
      sendRequest(target, '/chat/x', options).then(
        response => ({sentAt, response}),
        () => ({sentAt, response: undefined}),
      ),
    );
    await sleep(SEND_PERIOD_MILLISECONDS);
  }
  return {sent: await Promise.all(streams), exitCode: await exitCode};
}
