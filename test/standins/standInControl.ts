import {answerOk, StandInCall, StandInHandler} from './standInServer.js';

/** Calls at a fault address by `METHOD /path`; what they give is the body of the answer. */
export type ControlRoutes = Readonly<
  Record<string, (call: StandInCall) => unknown>
>;

/** Serves the fault address of a stand-in; other paths than these are answered with 404. */
export function controlHandler(routes: ControlRoutes): StandInHandler {
  return async call => {
    const route = routes[`${call.method} ${call.path}`];
    return route === undefined
      ? {kind: 'answer', status: 404, body: {}}
      : answerOk((await route(call)) ?? {});
  };
}

/** The sequence number that a reader of a ledger has seen already. */
export function seenBy(call: StandInCall): number {
  return Number(call.query.get('after') ?? 0);
}
