/** Port: how far the event loop of this process has read its input. */
export abstract class EventLoop {
  /** Monotonic milliseconds; what arrived before has been read, also on connections that waited to be accepted. */
  abstract get readUntil(): number;

  /** Resolves once what has arrived by now is read, ends of connections included. */
  abstract readAll(): Promise<void>;
}
