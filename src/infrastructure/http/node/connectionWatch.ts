import {Socket} from 'node:net';

import {buildConnector} from 'undici';

import {isEndOfReset} from '../../../base/node/socketEnd.js';
import {FRAMING_LIMIT_BYTES} from './responseFraming.js';

/**
 * Watches the connections of HTTP clients. The client takes a reset for the end of a response without length, and throws an
 * assertion, without ever ending the exchange, if a connection ends while its response is paused. It sees errors in their place. It
 * also reads without end what belongs to no body, such as a reason phrase or the extension of a chunk.
 */

/**
 * Maximum size of a piece in which the client gets received bytes. While a response is paused, the client puts back what it has not
 * parsed; had it taken all, the socket would read as much again at each resumption, without end.
 */
const MAX_READ_BYTES = 16 * 1024;

/** The connection was reset. */
export class ConnectionResetError extends Error {
  constructor() {
    super('connection reset');
  }
}

/** The connection has ended in order while its response was paused; all of its bytes were delivered. */
export class PausedEndError extends Error {
  constructor() {
    super('connection ended while the response was paused');
  }
}

/** The connection delivers far more than bodies; a sound server never does. */
export class FramingTooLongError extends Error {
  constructor() {
    super('response with too many bytes around its body');
  }
}

/** A connection of a client. */
export class WatchedConnection {
  /** Whether its response is paused. */
  isPaused = false;
  private bodyBytes = 0;
  /** Bytes that were received before the current response. */
  private earlierBytes: number;

  constructor(private readonly socket: Socket) {
    this.earlierBytes = socket.bytesRead;
  }

  /** Whether what surrounds the body of the current response is too long. */
  get isFramingTooLong(): boolean {
    const parsedBytes = this.socket.bytesRead - this.socket.readableLength;
    const framingBytes = parsedBytes - this.earlierBytes - this.bodyBytes;
    return framingBytes > FRAMING_LIMIT_BYTES + this.bodyBytes;
  }

  /** Counts bytes of the body of the current response. */
  recordBody(bytes: number): void {
    this.bodyBytes += bytes;
  }

  /** Records that the current response is complete; what follows belongs to the next one. */
  recordEnd(): void {
    this.earlierBytes = this.socket.bytesRead - this.socket.readableLength;
    this.bodyBytes = 0;
  }
}

/** Watches all connections of one client. */
export class ConnectionWatch {
  private handled: WatchedConnection | undefined;

  /** The connection of which an event is being handled. */
  get current(): WatchedConnection | undefined {
    return this.handled;
  }

  /** Wraps a connector so that its sockets are watched before the client listens to them. */
  watch(connect: buildConnector.connector): buildConnector.connector {
    return (options, callback) =>
      connect(options, (error, socket) => {
        if (error !== null) {
          callback(error, null);
          return;
        }
        this.watchSocket(socket);
        callback(null, socket);
      });
  }

  private watchSocket(socket: Socket): void {
    const connection = new WatchedConnection(socket);
    const read = socket.read.bind(socket);
    socket.read = size =>
      read(
        size ?? (Math.min(socket.readableLength, MAX_READ_BYTES) || undefined),
      );
    const emit = socket.emit.bind(socket) as Emit;
    const watched: Emit = (event, ...values) => {
      const outer = this.handled;
      this.handled = connection;
      try {
        if (event === 'error') {
          return emit(event, toConnectionError(values[0]));
        }
        const failure = findFailure(event, socket, connection);
        if (failure !== undefined) {
          socket.destroy(failure);
          return true;
        }
        return emit(event, ...values);
      } finally {
        this.handled = outer;
      }
    };
    socket.emit = watched as typeof socket.emit;
  }
}

type Emit = (event: string | symbol, ...values: unknown[]) => boolean;

/** The client gives a meaning of its own to the code of a reset. */
function toConnectionError(error: unknown): unknown {
  const isReset = (error as NodeJS.ErrnoException).code === 'ECONNRESET';
  return isReset ? new ConnectionResetError() : error;
}

/** Returns what the client is to see in place of an event; undefined for the event itself. */
function findFailure(
  event: string | symbol,
  socket: Socket,
  connection: WatchedConnection,
): Error | undefined {
  switch (event) {
    case 'readable':
      return connection.isFramingTooLong
        ? new FramingTooLongError()
        : undefined;
    case 'end':
      return findEndFailure(socket, connection);
    default:
      return undefined;
  }
}

function findEndFailure(
  socket: Socket,
  {isPaused}: WatchedConnection,
): Error | undefined {
  if (isEndOfReset(socket)) {
    return new ConnectionResetError();
  }
  return isPaused ? new PausedEndError() : undefined;
}
