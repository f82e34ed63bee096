import {createServer} from 'node:http';
import {Server as NetServer} from 'node:net';

import restana from 'restana';

import {Disposable, toDisposable} from '../../../base/common/lifecycle.js';

/** Minimal HTTP server for GET requests, such as for readiness, addresses and metrics. */

export interface TextResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Handles the GET requests of one path. */
export type TextHandler = (
  query: URLSearchParams,
) => TextResponse | Promise<TextResponse>;

/** Few clients are expected. */
const MAX_CONNECTIONS = 512;

const STATUS_NOT_FOUND = 404;
const STATUS_INTERNAL_ERROR = 500;

/** Creates a JSON response. */
export function createJsonResponse(body: unknown, status = 200): TextResponse {
  return {status, contentType: 'application/json', body: JSON.stringify(body)};
}

/** Serves GET requests on an address, by path; resolves once the server listens. */
export async function serveText(
  address: string,
  handlers: Readonly<Record<string, TextHandler>>,
): Promise<Disposable> {
  const server = createServer();
  server.maxConnections = MAX_CONNECTIONS;
  const routes = restana({
    server,
    defaultRoute: (_request, response) => {
      response.statusCode = STATUS_NOT_FOUND;
      response.end();
    },
    errorHandler: (_error, _request, response) => {
      response.statusCode = STATUS_INTERNAL_ERROR;
      response.end();
    },
  });
  for (const [path, handler] of Object.entries(handlers)) {
    routes.get(path, async (request, response) => {
      const query = new URL(request.url ?? '/', 'http://host').searchParams;
      const textResponse = await handler(query);
      response.writeHead(textResponse.status, {
        'content-type': textResponse.contentType,
        'content-length': Buffer.byteLength(textResponse.body),
      });
      response.end(textResponse.body);
    });
  }
  await listen(server, address);
  return toDisposable(() => {
    server.close();
    server.closeAllConnections();
  });
}

/** Listens on `IP:port`; rejects if the address is in use. Later errors, such as of an `accept`, concern one connection. */
export function listen(
  server: NetServer,
  address: string,
  onLaterError: (error: Error) => void = () => undefined,
): Promise<void> {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator);
  const port = Number(address.slice(separator + 1));
  return new Promise((resolve, reject) => {
    const onListening = (): void => {
      server.off('error', onError);
      server.on('error', onLaterError);
      resolve();
    };
    const onError = (error: Error): void => {
      server.off('listening', onListening);
      reject(error);
    };
    server.once('error', onError);
    server.once('listening', onListening);
    server.listen(port, host);
  });
}
