import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';
import {AddressInfo} from 'node:net';

/** A fake administration API that responds from a script and records the calls it receives. */

/** One response; `cut` receives the call and closes the connection without responding. */
export type ScriptedResponse =
  {readonly status: number; readonly body: unknown} | 'cut';

/** Responses by `METHOD path`; the last one of a list is repeated. */
export type Script = Readonly<Record<string, readonly ScriptedResponse[]>>;

export interface ReceivedCall {
  readonly call: string;
  readonly body: unknown;
  readonly authorization: string | undefined;
}

/** Serves a script on loopback. */
export class ScriptedApi {
  readonly received: ReceivedCall[] = [];
  private readonly server: Server;

  constructor(private readonly script: Script) {
    this.server = createServer((request, response) => {
      void this.respond(request, response);
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const {port} = this.server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async respond(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const call = `${request.method} ${request.url}`;
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
    const text = Buffer.concat(chunks).toString('utf8');
    const {authorization} = request.headers;
    const body: unknown = text === '' ? undefined : JSON.parse(text);
    this.received.push({call, body, authorization});
    const responses = this.script[call] ?? [{status: 404, body: {}}];
    const count = this.received.filter(
      received => received.call === call,
    ).length;
    const scripted = responses[Math.min(count, responses.length) - 1];
    if (scripted === 'cut') {
      request.socket.destroy();
      return;
    }
    response.writeHead(scripted.status, {'content-type': 'application/json'});
    response.end(JSON.stringify(scripted.body));
  }
}
