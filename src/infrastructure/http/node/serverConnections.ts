import {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Socket} from 'node:net';

/**
 * Tracks the connections of an HTTP server and the responses that it has not yet written. Node.js counts a connection as idle
 * as soon as its response has been ended, and would close it with the bytes that a slow reader hasn't taken.
 */
export class ServerConnections {
  /** Bytes read from each connection when its last response was written; undefined before and while it has a request. */
  private readonly readBytes = new Map<Socket, number | undefined>();
  private unwritten = 0;
  private onWritten: () => void = () => undefined;

  constructor(server: Server) {
    server.on('connection', (socket: Socket) => {
      this.readBytes.set(socket, undefined);
      socket.on('close', () => this.readBytes.delete(socket));
    });
    server.prependListener(
      'request',
      ({socket}: IncomingMessage, response: ServerResponse) =>
        this.watch(socket, response),
    );
  }

  /**
   * Closes connections that have had a response and have no request, not even a part of one, and no unwritten response. The
   * request of a new connection may be on its way.
   */
  closeIdle(): void {
    for (const [socket, readBytes] of [...this.readBytes]) {
      if (socket.bytesRead === readBytes) {
        socket.destroy();
      }
    }
  }

  /** Number of responses that have not been written whole. */
  get unwrittenCount(): number {
    return this.unwritten;
  }

  /** Resolves once the bytes of all responses have been handed to the operating system, or their connections are closed. */
  written(): Promise<void> {
    return this.unwritten === 0
      ? Promise.resolve()
      : new Promise(resolve => (this.onWritten = resolve));
  }

  private watch(socket: Socket, response: ServerResponse): void {
    this.unwritten++;
    this.readBytes.set(socket, undefined);
    response.once('close', () => {
      if (this.readBytes.has(socket)) {
        this.readBytes.set(socket, socket.bytesRead);
      }
      this.unwritten--;
      if (this.unwritten === 0) {
        this.onWritten();
      }
    });
  }
}
