import {request} from 'undici';

import {ExampleAccount} from '../test/support/exampleSystem.js';

/** Calls the system as a program of one client account does. */

export interface DemoResponse {
  readonly status: number;
  readonly requestId: string;
  readonly text: string;
}

export interface DemoCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly classOfWork?: string;
  readonly idempotencyKey?: string;
  readonly body?: unknown;
}

const TIMEOUT_MILLISECONDS = 40_000;

/** Requests the entrypoints, keeps the grant, and sends calls to the preferred address. */
export class DemoCaller {
  private address: string;
  private grant = '';

  constructor(
    private readonly account: ExampleAccount,
    initialAddress: string,
  ) {
    this.address = initialAddress;
  }

  get name(): string {
    return this.account.name;
  }

  /** Finds the preferred address, and gets a grant for idempotency keys from the instance there. */
  async findEntrypoint(): Promise<string> {
    const call: DemoCall = {method: 'GET', path: '/v1/entrypoints'};
    const first = await this.call(call);
    const {addresses} = JSON.parse(first.text) as {addresses: string[]};
    this.address = addresses[0] ?? this.address;
    const own = await this.call(call);
    this.grant = (JSON.parse(own.text) as {grant: string | null}).grant ?? '';
    return this.address;
  }

  /** Creates an idempotency key under the grant of the instance in use, the only one that may execute it. */
  createKey(suffix: string): string {
    return `${this.grant}.${suffix}`;
  }

  /** Sends a call and reads the whole response. */
  async call(call: DemoCall): Promise<DemoResponse> {
    const response = await request(`http://${this.address}${call.path}`, {
      method: call.method,
      headers: this.createHeaders(call),
      body: call.body === undefined ? null : JSON.stringify(call.body),
      headersTimeout: TIMEOUT_MILLISECONDS,
      bodyTimeout: TIMEOUT_MILLISECONDS,
    });
    const requestId = String(response.headers['redwing-request-id'] ?? '');
    const text = await response.body.text();
    return {status: response.statusCode, requestId, text};
  }

  private createHeaders(call: DemoCall): Record<string, string> {
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

/** Creates a call for a reply of the example model. */
export function createChatCall(
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
