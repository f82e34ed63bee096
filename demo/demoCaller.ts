import {request} from 'undici';

import {ExampleAccount} from '../test/support/exampleSystem.js';

/** Calls of one client account, as a program of that account would make them. */

/** What came back. */
export interface DemoAnswer {
  readonly status: number;
  readonly requestId: string;
  readonly text: string;
}

/** A call to make. */
export interface DemoCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly classOfWork?: string;
  readonly idempotencyKey?: string;
  readonly body?: unknown;
}

const TIMEOUT_MILLISECONDS = 40_000;

/** Asks which address to use, keeps the grant, and calls there. */
export class DemoCaller {
  private address: string;
  private grant = '';

  constructor(
    private readonly account: ExampleAccount,
    anyAddress: string,
  ) {
    this.address = anyAddress;
  }

  get name(): string {
    return this.account.name;
  }

  /** Learns the best address and a grant for keys. */
  async findEntrypoint(): Promise<string> {
    const call: DemoCall = {method: 'GET', path: '/v1/entrypoints'};
    const first = await this.call(call);
    const {addresses} = JSON.parse(first.text) as {addresses: string[]};
    this.address = addresses[0] ?? this.address;
    const own = await this.call(call);
    this.grant = (JSON.parse(own.text) as {grant: string | null}).grant ?? '';
    return this.address;
  }

  /** A key that only the instance in use may run. */
  keyOf(suffix: string): string {
    return `${this.grant}.${suffix}`;
  }

  /** Makes a call and reads the whole answer. */
  async call(call: DemoCall): Promise<DemoAnswer> {
    const response = await request(`http://${this.address}${call.path}`, {
      method: call.method,
      headers: this.headersOf(call),
      body: call.body === undefined ? null : JSON.stringify(call.body),
      headersTimeout: TIMEOUT_MILLISECONDS,
      bodyTimeout: TIMEOUT_MILLISECONDS,
    });
    const requestId = String(response.headers['redwing-request-id'] ?? '');
    const text = await response.body.text();
    return {status: response.statusCode, requestId, text};
  }

  private headersOf(call: DemoCall): Record<string, string> {
    const headers: Record<string, string> = {
      authorization: `Bearer ${this.account.bearerKey}`,
      'content-type': 'application/json',
    };
    if (call.classOfWork !== undefined) {
      headers['redwing-class'] = call.classOfWork;
    }
    if (call.idempotencyKey !== undefined) {
      headers['idempotency-key'] = call.idempotencyKey;
    }
    return headers;
  }
}

/** A call for a reply of the example model. */
export function chatCall(
  classOfWork: string,
  content: string,
  options: {readonly key?: string; readonly stream?: boolean} = {},
): DemoCall {
  return {
    method: 'POST',
    path: '/v1/chat/completions',
    classOfWork,
    idempotencyKey: options.key,
    body: {
      model: 'assistant',
      messages: [{role: 'user', content}],
      max_tokens: 24,
      stream: options.stream ?? false,
    },
  };
}
