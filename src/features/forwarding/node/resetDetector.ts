import {Socket} from 'node:net';

import {buildConnector} from 'undici';

/**
 * Detects that a connection is being reset. The HTTP client takes a response without length as complete
 * when its connection is reset; the router treats it as lost.
 */
export class ResetDetector {
  private resetting = false;

  /** Whether the event being handled is the reset of a connection. */
  get isResetting(): boolean {
    return this.resetting;
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
    // Listeners run synchronously and in order; the client's own listener comes next.
    socket.on('error', () => this.markReset());
    socket.on('end', () => {
      // A reset right after data is reported as a plain end, but then the socket no longer has a remote
      // address.
      if (socket.remoteAddress === undefined) {
        this.markReset();
      }
    });
  }

  private markReset(): void {
    this.resetting = true;
    setImmediate(() => (this.resetting = false));
  }
}
