import {Agent, request} from 'undici';

import {Disposable} from '../../base/common/lifecycle.js';

/** Client of the administration API; tries the control programs in order. */

/** Outcome of a call. */
export type CallOutcome =
  | {
      readonly kind: 'answered';
      readonly address: string;
      readonly status: number;
      readonly body: unknown;
    }
  /** No control program accepted a connection, so nothing was sent. */
  | {readonly kind: 'neverSent'; readonly detail: string}
  /** The call may have been sent, but no response was received; a change may have been made. */
  | {readonly kind: 'lost'; readonly address: string; readonly detail: string};

interface Call {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
}

const HTTP_SERVICE_UNAVAILABLE = 503;
const MAX_RESPONSE_BYTES = 64 * 1_048_576;

/** Error codes of connections that could not be established. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Sends each call to the first control program that can serve it. */
export class AdministrationClient implements Disposable {
  private readonly agent: Agent;

  constructor(
    private readonly addresses: readonly string[],
    private readonly key: string,
    private readonly timeoutMilliseconds: number,
  ) {
    this.agent = new Agent({
      connect: {timeout: timeoutMilliseconds},
      maxResponseSize: MAX_RESPONSE_BYTES,
    });
  }

  /** Reads a resource; after any failure, tries the next control program. */
  async read(path: string): Promise<CallOutcome> {
    return this.tryInOrder(
      {method: 'GET', path},
      outcome => outcome.kind !== 'answered' || outcome.status >= 500,
    );
  }

  /** Submits a change; tries the next control program only when the previous one definitely changed nothing. */
  async submit(path: string, body: unknown): Promise<CallOutcome> {
    return this.tryInOrder(
      {method: 'POST', path, body},
      outcome =>
        outcome.kind === 'neverSent' || isDefinitelyNotAccepted(outcome),
    );
  }

  dispose(): void {
    void this.agent.destroy();
  }

  private async tryInOrder(
    call: Call,
    shouldTryNext: (outcome: CallOutcome) => boolean,
  ): Promise<CallOutcome> {
    let last: CallOutcome = {kind: 'neverSent', detail: 'no addresses'};
    for (const address of this.addresses) {
      last = preferResponse(last, await this.callAddress(address, call));
      if (!shouldTryNext(last)) {
        return last;
      }
    }
    return last;
  }

  private async callAddress(address: string, call: Call): Promise<CallOutcome> {
    try {
      const response = await request(`http://${address}${call.path}`, {
        dispatcher: this.agent,
        method: call.method,
        headers: {
          authorization: `Bearer ${this.key}`,
          'content-type': 'application/json',
        },
        body: call.body === undefined ? null : JSON.stringify(call.body),
        signal: AbortSignal.timeout(this.timeoutMilliseconds),
      });
      const body = await response.body.json();
      return {kind: 'answered', address, status: response.statusCode, body};
    } catch (error) {
      return toCallFailure(address, error);
    }
  }
}

/** Prefers an earlier response over a later failure to connect, because the response explains more. */
function preferResponse(
  previous: CallOutcome,
  current: CallOutcome,
): CallOutcome {
  return current.kind === 'neverSent' && previous.kind === 'answered'
    ? previous
    : current;
}

function isDefinitelyNotAccepted(outcome: CallOutcome): boolean {
  return (
    outcome.kind === 'answered' &&
    outcome.status === HTTP_SERVICE_UNAVAILABLE &&
    (outcome.body as {accepted?: unknown} | null)?.accepted === 'no'
  );
}

function toCallFailure(address: string, error: unknown): CallOutcome {
  const {code, message} = error as {code?: string; message?: string};
  const detail = `${address}: ${code ?? message ?? 'unknown error'}`;
  return code !== undefined && CONNECT_ERROR_CODES.has(code)
    ? {kind: 'neverSent', detail}
    : {kind: 'lost', address, detail};
}
