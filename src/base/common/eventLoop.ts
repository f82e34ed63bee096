/** Port: how far the event loop of this process has read its input. */
export abstract class EventLoop {
  /** Monotonic milliseconds; what arrived before has been read, also on connections that waited to be accepted. */
  abstract get readUntil(): number;

  /** Resolves once what has arrived by now on accepted connections is read, their ends included. */
  abstract nextPoll(): Promise<void>;

  /** Resolves once all that has arrived by now is read, also on connections that wait to be accepted. */
  abstract readAll(): Promise<void>;
}
