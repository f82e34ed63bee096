import {Clock} from './clock.js';

/** The event loop is on time if all that arrived until this long ago is known to be read; it looks ten times a second. */
export const ON_TIME_MILLISECONDS = 160;

/**
 * Whether what is read now may have waited for long.
 * @param polledAt monotonic milliseconds before a poll that has ended, if one is known that the port does not count yet
 */
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
  /** Monotonic milliseconds; connections that were opened before are accepted, and what arrived before on those in use is read. */
  abstract get readUntil(): number;

  /** Resolves once what has arrived by now on accepted connections is read, their ends included. */
  abstract nextPoll(): Promise<void>;

  /** Resolves once no connection waits to be accepted, and what has arrived by now on those in use is read, their ends included. */
  abstract readAll(): Promise<void>;
}
