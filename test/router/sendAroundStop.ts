import {RouterInstance, StandInSystem} from '../standins/fleet/system.js';
import {sleep} from '../support/sleep.js';
import {RecordedResponse, RequestOptions, sendRequest} from './sendRequest.js';

/** Sends requests over connections of their own while an instance is told to stop. */

const SEND_PERIOD_MILLISECONDS = 40;

/** The published excuse of a request that a stop ends: sent so soon after the signal and at work in so much of its end. */
const EXCUSED_START_MILLISECONDS = 3_000;
const EXCUSED_SHARE = 1 / 6;

/** A stream of the load. */
export interface SentStream {
  /** Milliseconds from the stop signal until it was sent; negative before it. */
  readonly sentAt: number;
  /** Its number within the load. */
  readonly index: number;
  /** Time from its start until its response ended, whole or not. */
  readonly milliseconds: number;
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
  /** Path of the request with a number; that of a stream by default. */
  readonly pathOf?: (index: number) => string;
  readonly periodMilliseconds?: number;
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
  pathOf = () => '/chat/x',
  periodMilliseconds = SEND_PERIOD_MILLISECONDS,
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
    const index = streams.length;
    const {headers, ...options} = optionsOf(index);
    const response = sendRequest(target, pathOf(index), {
      ...options,
      headers: {...headers, 'request-id': requestIdOf(index)},
    }).catch(() => undefined);
    streams.push(
      response.then(received => ({
        sentAt,
        index,
        milliseconds: performance.now() - now,
        response: received,
      })),
    );
    await sleep(periodMilliseconds);
  }
  return {sent: await Promise.all(streams), exitCode: await exitCode};
}

function requestIdOf(index: number): string {
  return `around-stop-${index}`;
}

/** What the rules allow of a load around a stop. */
export interface AllowedEnds {
  /** Time for a stop of the instance that was asked; infinite if another one stops. */
  readonly stopMilliseconds: number;
  /** Time limit of a request, which may end it without the upstream's answer. */
  readonly timeLimitOf: (sent: SentStream) => number;
}

/** Describes the requests that reached an upstream and got neither its answer nor an end that the rules excuse. */
export function findUnanswered(
  {upstreamLog}: StandInSystem,
  sent: readonly SentStream[],
  allowed: AllowedEnds,
): readonly string[] {
  const passedOn = new Set(upstreamLog.calls.map(({requestId}) => requestId));
  return sent
    .filter(({index}) => passedOn.has(requestIdOf(index)))
    .filter(({response}) => !(response?.isComplete && response.status === 200))
    .filter(request => !isExcused(request, allowed))
    .map(
      ({index, sentAt, milliseconds, response}) =>
        `request ${index}: sent ${Math.round(sentAt)} ms after the signal, status ${response?.status} after ${milliseconds.toFixed(1)} ms`,
    );
}

function isExcused(
  request: SentStream,
  {stopMilliseconds, timeLimitOf}: AllowedEnds,
): boolean {
  const {sentAt, milliseconds} = request;
  const lastPart = stopMilliseconds * (1 - EXCUSED_SHARE);
  return (
    milliseconds >= timeLimitOf(request) ||
    (sentAt <= EXCUSED_START_MILLISECONDS && sentAt + milliseconds >= lastPart)
  );
}
