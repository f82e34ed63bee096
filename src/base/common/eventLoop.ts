import {Clock} from './clock.js';

/** The event loop is on time if all that arrived until this long ago is known to be read; it looks ten times a second. */
export const ON_TIME_MILLISECONDS = 160;

/** Whether what is read now may have waited for long; a later moment before a poll may be known. */
export function isLoopLate(
  clock: Clock,
  eventLoop: EventLoop,
  polledAt = -Infinity,
): boolean {
  const now = clock.monotonicMilliseconds();
  const readUntil = Math.max(eventLoop.readUntil, polledAt);
  return now - readUntil > ON_TIME_MILLISECONDS;
}

/** Port: how far the event loop of this process has read its input. */
export abstract class EventLoop {
  /** Monotonic milliseconds; what arrived before has been read, also on connections that waited to be accepted. */
  abstract get readUntil(): number;

  /** Resolves once what has arrived by now on accepted connections is read, their ends included. */
  abstract nextPoll(): Promise<void>;

  /** Resolves once all that has arrived by now is read, also on connections that wait to be accepted. */
  abstract readAll(): Promise<void>;
}
