import {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Socket} from 'node:net';

/** Maximum number of unanswered requests per connection; one more closes the connection. */
const MAX_PIPELINED_REQUESTS = 16;

/**
 * Guards connections with pipelined requests. Node sends their responses in order, and when the connection
 * closes it emits `close` only on the response being sent. The queued responses would never close and would
 * keep their slots, so the guard closes them.
 */
export class PipeliningGuard {
  private readonly openResponses = new WeakMap<Socket, Set<ServerResponse>>();

  /** Must be created before other `request` listeners are added to the server. */
  constructor(server: Server) {
    server.on('request', (request, response) => this.add(request, response));
  }

  private add({socket}: IncomingMessage, response: ServerResponse): void {
    const responses = this.openResponses.get(socket) ?? this.watch(socket);
    responses.add(response);
    response.once('close', () => responses.delete(response));
    if (responses.size > MAX_PIPELINED_REQUESTS) {
      socket.destroy();
    }
  }

  private watch(socket: Socket): Set<ServerResponse> {
    const responses = new Set<ServerResponse>();
    this.openResponses.set(socket, responses);
    socket.once('close', () => {
      for (const response of [...responses]) {
        if (response.socket === null) {
          response.destroy();
          response.emit('close');
        }
      }
    });
    return responses;
  }
}
