import {Socket} from 'node:net';

import {buildConnector} from 'undici';

/**
 * Tells whether a connection is being reset right now. The HTTP client takes an answer that has no
 * length as whole when its connection is reset; here it is not.
 */
export class ResetWatch {
  private resetting = false;

  /** Whether the event being handled is the reset of a connection. */
  get isResetting(): boolean {
    return this.resetting;
  }

  /** Makes a connector whose sockets are watched before the client listens to them. */
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
    // Listeners run in order and in one go: the client's own comes next.
    socket.on('error', () => this.noteReset());
    socket.on('end', () => {
      // A reset right behind data is told as a plain end, but then the connection has no peer any more.
      if (socket.remoteAddress === undefined) {
        this.noteReset();
      }
    });
  }

  private noteReset(): void {
    this.resetting = true;
    setImmediate(() => (this.resetting = false));
  }
}
