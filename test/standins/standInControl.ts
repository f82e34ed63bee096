import {okResponse, StandInRequest, StandInHandler} from './standInServer.js';

/** Handlers of a fault address by `METHOD /path`; each returns the response body. */
export type ControlRoutes = Readonly<
  Record<string, (request: StandInRequest) => unknown>
>;

/** Serves the fault address of a stand-in; responds to unknown paths with status 404. */
export function controlHandler(routes: ControlRoutes): StandInHandler {
  return async request => {
    const route = routes[`${request.method} ${request.path}`];
    return route === undefined
      ? {kind: 'response', status: 404, body: {}}
      : okResponse((await route(request)) ?? {});
  };
}

/** The sequence number up to which a reader already has the ledger. */
export function readLedgerOffset(request: StandInRequest): number {
  return Number(request.query.get('after') ?? 0);
}
