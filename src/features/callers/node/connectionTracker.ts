import {Server} from 'node:http';
import {Server as NetServer, Socket} from 'node:net';

/** Tracks the open connections of an HTTP server, so that a shutdown can respond to requests already sent. */
export class ConnectionTracker {
  private readonly sockets = new Set<Socket>();
  private resolveAllClosed: () => void = () => undefined;

  constructor(private readonly server: Server) {
    server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.remove(socket));
    });
  }

  /** Resolves once no connection is open. */
  whenAllClosed(): Promise<void> {
    return new Promise(resolve => {
      this.resolveAllClosed = resolve;
      this.notifyIfAllClosed();
    });
  }

  /** Stops accepting connections; unlike `server.close`, leaves idle connections open. */
  stopListening(): void {
    NetServer.prototype.close.call(this.server);
  }

  private remove(socket: Socket): void {
    this.sockets.delete(socket);
    this.notifyIfAllClosed();
  }

  private notifyIfAllClosed(): void {
    if (this.sockets.size === 0) {
      this.resolveAllClosed();
    }
  }
}
