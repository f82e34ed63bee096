import {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Socket} from 'node:net';

/** Requests of one connection that may wait for their answers; one more closes the connection. */
const REQUESTS_PER_CONNECTION = 16;

/**
 * Watches connections whose callers send requests without waiting for answers. Node answers them in
 * order and tells only the answer that has the connection when it closes: those behind it would wait
 * for ever and keep their places.
 */
export class ConnectionWatch {
  private readonly waiting = new WeakMap<Socket, Set<ServerResponse>>();

  /** Create it before other listeners of the server's requests. */
  constructor(server: Server) {
    server.on('request', (request, response) => this.add(request, response));
  }

  private add({socket}: IncomingMessage, response: ServerResponse): void {
    const open = this.waiting.get(socket) ?? this.watch(socket);
    open.add(response);
    response.once('close', () => open.delete(response));
    if (open.size > REQUESTS_PER_CONNECTION) {
      socket.destroy();
    }
  }

  private watch(socket: Socket): Set<ServerResponse> {
    const open = new Set<ServerResponse>();
    this.waiting.set(socket, open);
    socket.once('close', () => {
      for (const response of [...open]) {
        if (response.socket === null) {
          response.destroy();
          response.emit('close');
        }
      }
    });
    return open;
  }
}
