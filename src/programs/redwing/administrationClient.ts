import {Agent, request} from 'undici';

import {Disposable} from '../../base/common/lifecycle.js';

/** Calls to the administration API of the control programs, tried in order. */

/** What a call came to. */
export type CallOutcome =
  | {
      readonly kind: 'answered';
      readonly address: string;
      readonly status: number;
      readonly body: unknown;
    }
  /** No control program could be connected to: nothing was sent. */
  | {readonly kind: 'neverSent'; readonly detail: string}
  /** Sent, then lost: a change may have been made. */
  | {readonly kind: 'lost'; readonly address: string; readonly detail: string};

interface Call {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
}

const SERVICE_UNAVAILABLE = 503;
const ANSWER_LIMIT_BYTES = 64 * 1_048_576;

/** Errors of a connection that was never made. */
const NOT_CONNECTED: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Speaks to the first control program that can serve a call. */
export class AdministrationClient implements Disposable {
  private readonly agent: Agent;

  constructor(
    private readonly addresses: readonly string[],
    private readonly key: string,
    private readonly timeoutMilliseconds: number,
  ) {
    this.agent = new Agent({
      connect: {timeout: timeoutMilliseconds},
      maxResponseSize: ANSWER_LIMIT_BYTES,
    });
  }

  /** Reads; whatever fails is asked of the next control program. */
  async read(path: string): Promise<CallOutcome> {
    return this.tryInOrder(
      {method: 'GET', path},
      outcome => outcome.kind !== 'answered' || outcome.status >= 500,
    );
  }

  /** Submits a change; the next control program is tried only when this one surely changed nothing. */
  async submit(path: string, body: unknown): Promise<CallOutcome> {
    return this.tryInOrder(
      {method: 'POST', path, body},
      outcome => outcome.kind === 'neverSent' || isSurelyNotAccepted(outcome),
    );
  }

  dispose(): void {
    void this.agent.destroy();
  }

  private async tryInOrder(
    call: Call,
    goesOn: (outcome: CallOutcome) => boolean,
  ): Promise<CallOutcome> {
    let last: CallOutcome = {kind: 'neverSent', detail: 'no addresses'};
    for (const address of this.addresses) {
      last = preferAnswer(last, await this.callOne(address, call));
      if (!goesOn(last)) {
        return last;
      }
    }
    return last;
  }

  private async callOne(address: string, call: Call): Promise<CallOutcome> {
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
      return toFailure(address, error);
    }
  }
}

/** Keeps an answer that explains more than a connection that failed afterwards. */
function preferAnswer(before: CallOutcome, now: CallOutcome): CallOutcome {
  return now.kind === 'neverSent' && before.kind === 'answered' ? before : now;
}

function isSurelyNotAccepted(outcome: CallOutcome): boolean {
  return (
    outcome.kind === 'answered' &&
    outcome.status === SERVICE_UNAVAILABLE &&
    (outcome.body as {accepted?: unknown} | null)?.accepted === 'no'
  );
}

function toFailure(address: string, error: unknown): CallOutcome {
  const {code, message} = error as {code?: string; message?: string};
  const detail = `${address}: ${code ?? message ?? 'unknown error'}`;
  return code !== undefined && NOT_CONNECTED.has(code)
    ? {kind: 'neverSent', detail}
    : {kind: 'lost', address, detail};
}
