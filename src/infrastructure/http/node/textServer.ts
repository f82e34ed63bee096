import {createServer, Server} from 'node:http';

import restana from 'restana';

import {Disposable, toDisposable} from '../../../base/common/lifecycle.js';

/** Small HTTP services that answer questions: readiness, addresses, metrics. */

/** An answer. */
export interface TextAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Answers a question with its query. */
export type TextHandler = (
  query: URLSearchParams,
) => TextAnswer | Promise<TextAnswer>;

/** Connections at once; those who ask are few. */
const CONNECTION_LIMIT = 512;

const NOT_FOUND = 404;
const FAILED = 500;

/** An answer in JSON. */
export function jsonAnswer(body: unknown, status = 200): TextAnswer {
  return {status, contentType: 'application/json', body: JSON.stringify(body)};
}

/** Answers GET requests on an address by their path; resolves once it listens. */
export async function serveText(
  address: string,
  handlers: Readonly<Record<string, TextHandler>>,
): Promise<Disposable> {
  const server = createServer();
  server.maxConnections = CONNECTION_LIMIT;
  const routes = restana({
    server,
    defaultRoute: (_request, response) => {
      response.statusCode = NOT_FOUND;
      response.end();
    },
    errorHandler: (_error, _request, response) => {
      response.statusCode = FAILED;
      response.end();
    },
  });
  for (const [path, handler] of Object.entries(handlers)) {
    routes.get(path, async (request, response) => {
      const query = new URL(request.url ?? '/', 'http://host').searchParams;
      const answer = await handler(query);
      response.writeHead(answer.status, {
        'content-type': answer.contentType,
        'content-length': Buffer.byteLength(answer.body),
      });
      response.end(answer.body);
    });
  }
  await listen(server, address);
  return toDisposable(() => {
    server.close();
    server.closeAllConnections();
  });
}

/** Listens on `IP:port`; fails when the address is taken. */
export function listen(server: Server, address: string): Promise<void> {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator);
  const port = Number(address.slice(separator + 1));
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
