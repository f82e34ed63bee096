import {Server} from 'node:http';
import {Server as NetServer, Socket} from 'node:net';

/** The open connections of an HTTP server, for stops that answer what callers have already sent. */
export class OpenConnections {
  private readonly sockets = new Set<Socket>();
  private notifyNone: () => void = () => undefined;

  constructor(private readonly server: Server) {
    server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.remove(socket));
    });
  }

  /** Resolves when none is open. */
  whenNone(): Promise<void> {
    return new Promise(resolve => {
      this.notifyNone = resolve;
      this.notifyWhenNone();
    });
  }

  /** Takes no further connections; unlike `server.close` it leaves idle ones open. */
  stopListening(): void {
    NetServer.prototype.close.call(this.server);
  }

  private remove(socket: Socket): void {
    this.sockets.delete(socket);
    this.notifyWhenNone();
  }

  private notifyWhenNone(): void {
    if (this.sockets.size === 0) {
      this.notifyNone();
    }
  }
}
