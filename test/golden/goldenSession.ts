import {isDeepStrictEqual} from 'node:util';

import {request} from 'undici';

import {exampleAccounts, ExampleAccount} from '../support/exampleSystem.js';
import {LaunchedSystem} from '../support/launcher.js';
import {normaliseResponse} from './normaliseResponse.js';

/** Sessions of requests and expected responses, played against a launched system. */

/** A request of a session file. */
export interface GoldenRequest {
  /** The caller API of an entry program, or the administration API of a control program. */
  readonly to: 'entry' | 'control';
  /** The client account by its name in the example system; without it, no key is sent. */
  readonly account?: keyof typeof exampleAccounts;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  /** `{grant}` in a value is replaced by the grant of the last entrypoints response. */
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  /** Repeats the request until the response is the expected one or the time limit has passed. */
  readonly awaited?: boolean;
}

/** A response as files store it, with volatile parts replaced. */
export interface GoldenResponse {
  readonly status: number;
  readonly body: unknown;
}

/** One request and its expected response. */
export interface GoldenStep {
  readonly request: GoldenRequest;
  readonly answer: GoldenResponse;
}

/** The content of a file in `test/golden`. */
export interface GoldenSession {
  readonly title: string;
  readonly steps: readonly GoldenStep[];
}

const AWAITED_TIMEOUT_MILLISECONDS = 12_000;
const RETRY_DELAY_MILLISECONDS = 100;
const REQUEST_TIMEOUT_MILLISECONDS = 40_000;

/** Sends the requests of sessions to the first instance of one system. */
export class SessionPlayer {
  private grant = '';

  constructor(private readonly system: LaunchedSystem) {}

  /** Sends the requests of a session and returns the normalised responses, in order. */
  async play(session: GoldenSession): Promise<readonly GoldenResponse[]> {
    const responses: GoldenResponse[] = [];
    for (const step of session.steps) {
      responses.push(await this.playStep(step));
    }
    return responses;
  }

  private async playStep(step: GoldenStep): Promise<GoldenResponse> {
    const end = performance.now() + AWAITED_TIMEOUT_MILLISECONDS;
    let response = await this.send(step.request);
    while (
      step.request.awaited === true &&
      !isDeepStrictEqual(response, step.answer) &&
      performance.now() < end
    ) {
      await sleep(RETRY_DELAY_MILLISECONDS);
      response = await this.send(step.request);
    }
    return response;
  }

  private async send(goldenRequest: GoldenRequest): Promise<GoldenResponse> {
    const response = await request(this.urlFor(goldenRequest), {
      method: goldenRequest.method,
      headers: this.headersFor(goldenRequest),
      body: toRequestBody(goldenRequest.body),
      headersTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      bodyTimeout: REQUEST_TIMEOUT_MILLISECONDS,
    });
    const text = await response.body.text();
    const contentType = String(response.headers['content-type'] ?? '');
    this.storeGrant(text);
    return {
      status: response.statusCode,
      body: normaliseResponse(contentType, text),
    };
  }

  private urlFor(goldenRequest: GoldenRequest): string {
    const [instance] = this.system.instances;
    if (instance === undefined) {
      throw new Error('the system has no instance');
    }
    const {callerAddress, controlAddress} = instance.member;
    const address =
      goldenRequest.to === 'entry' ? callerAddress : controlAddress;
    return `http://${address}${goldenRequest.path}`;
  }

  private headersFor(goldenRequest: GoldenRequest): Record<string, string> {
    const headers: Record<string, string> = {
      'content-type': 'application/json',
    };
    const key = this.keyFor(goldenRequest);
    if (key !== undefined) {
      headers['authorization'] = `Bearer ${key}`;
    }
    for (const [name, value] of Object.entries(goldenRequest.headers ?? {})) {
      headers[name] = value.replace('{grant}', this.grant);
    }
    return headers;
  }

  private keyFor(goldenRequest: GoldenRequest): string | undefined {
    if (goldenRequest.to === 'control') {
      return this.system.operatorKey;
    }
    const account: ExampleAccount | undefined =
      goldenRequest.account && exampleAccounts[goldenRequest.account];
    return account?.bearerKey;
  }

  private storeGrant(text: string): void {
    const grant = /"grant":"([^"]*)"/.exec(text)?.[1];
    this.grant = grant ?? this.grant;
  }
}

/** Sends a string unchanged, so that sessions can contain malformed JSON. */
function toRequestBody(body: unknown): string | null {
  if (body === undefined) {
    return null;
  }
  return typeof body === 'string' ? body : JSON.stringify(body);
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}
