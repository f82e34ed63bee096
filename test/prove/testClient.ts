import {Agent} from 'undici';

import {ExecutionStatus} from '../../src/features/requests/common/failure.js';
import {RecordedResponse, Work} from './observations.js';
import {serviceCallOf} from './work.js';

/** The client account of all test callers. */
export const ACCOUNT = {name: 'orders', bearerKey: 'orders-key'} as const;

/** Class names of repeatable and of non-repeatable work. */
export const classNames = {repeatable: 'query', once: 'order'} as const;

/** A response of `GET /v1/entrypoints`. */
export interface Entrypoints {
  readonly addresses: readonly string[];
  readonly grant: string | null;
  readonly grantAddress: string | null;
}

interface FailureBody {
  readonly error?: {
    readonly kind?: string;
    readonly executed?: ExecutionStatus;
    readonly retryAfterMilliseconds?: number | null;
    readonly addresses?: readonly string[];
  };
}

interface ChatBody extends FailureBody {
  readonly choices?: ReadonlyArray<{
    readonly delta?: {readonly content?: string};
    readonly message?: {readonly content?: string};
  }>;
}

interface RawResponse {
  readonly status: number;
  readonly requestId: string | undefined;
  readonly isEvents: boolean;
  readonly text: string;
  /** Whether the body was received completely according to its HTTP framing. */
  readonly isComplete: boolean;
}

const DONE_EVENT = 'data: [DONE]';
const TIMEOUT_MILLISECONDS = 20_000;
const CONNECT_TIMEOUT_MILLISECONDS = 1000;

const noResponse: RecordedResponse = {
  requestId: undefined,
  status: 0,
  end: 'unreachable',
  text: '',
  executed: undefined,
  errorKind: undefined,
  addresses: [],
  retryAfterMilliseconds: undefined,
};

/** Calls entry instances over HTTP as callers do; never throws. */
export class TestClient {
  private readonly agent = new Agent({
    headersTimeout: TIMEOUT_MILLISECONDS,
    bodyTimeout: TIMEOUT_MILLISECONDS,
    connect: {timeout: CONNECT_TIMEOUT_MILLISECONDS},
  });

  /** Fetches the entrypoints from an instance; undefined when the request fails. */
  async entrypoints(address: string): Promise<Entrypoints | undefined> {
    const raw = await this.call(address, 'GET', '/v1/entrypoints', {});
    return raw?.isComplete && raw.status === 200
      ? (JSON.parse(raw.text) as Entrypoints)
      : undefined;
  }

  /** Submits work and waits for the end of its response. */
  async submit(
    address: string,
    work: Work,
    idempotencyKey: string | undefined,
  ): Promise<RecordedResponse> {
    const name = work.repeatable ? classNames.repeatable : classNames.once;
    const headers: Record<string, string> = {'redwing-class': name};
    if (idempotencyKey !== undefined) {
      headers['idempotency-key'] = idempotencyKey;
    }
    const {path, body} =
      work.kind === 'model' ? toChatCall(work) : toServiceCall(work);
    const raw = await this.call(address, 'POST', path, headers, body);
    return raw === undefined ? noResponse : toRecordedResponse(raw, work);
  }

  /** Looks up the outcome of a key; converts a recorded response as if it came from the submission itself. */
  async lookUp(
    address: string,
    work: Work,
    idempotencyKey: string,
  ): Promise<RecordedResponse> {
    const path = `/v1/requests/${encodeURIComponent(idempotencyKey)}`;
    const raw = await this.call(address, 'GET', path, {});
    if (raw === undefined || !raw.isComplete || raw.status !== 200) {
      return noResponse;
    }
    const outcome = JSON.parse(raw.text) as {state: string; body?: string};
    return outcome.state === 'completed'
      ? toRecordedResponse(
          {...raw, isEvents: false, text: outcome.body ?? ''},
          work,
        )
      : {...noResponse, ...parseFailure(raw.text), status: 200, end: 'failure'};
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async call(
    address: string,
    method: 'GET' | 'POST',
    path: string,
    headers: Readonly<Record<string, string>>,
    body?: string,
  ): Promise<RawResponse | undefined> {
    try {
      const response = await this.agent.request({
        origin: `http://${address}`,
        method,
        path,
        headers: {
          ...headers,
          authorization: `Bearer ${ACCOUNT.bearerKey}`,
          'content-type': 'application/json',
        },
        body,
      });
      const {statusCode: status} = response;
      const type = String(response.headers['content-type'] ?? '');
      const id = response.headers['redwing-request-id'];
      const requestId = id === undefined ? undefined : String(id);
      const received = await readAll(response.body);
      const isEvents = type.startsWith('text/event-stream');
      return {status, requestId, isEvents, ...received};
    } catch (error) {
      return isConnectionFailure(error)
        ? undefined
        : {...lostResponse, text: ''};
    }
  }
}

const lostResponse = {
  status: 0,
  requestId: undefined,
  isEvents: false,
  isComplete: false,
} as const;

function isConnectionFailure(error: unknown): boolean {
  const {code} = error as NodeJS.ErrnoException;
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
}

async function readAll(
  body: AsyncIterable<Buffer>,
): Promise<{readonly text: string; readonly isComplete: boolean}> {
  const chunks: Buffer[] = [];
  const text = () => Buffer.concat(chunks).toString('utf8');
  try {
    for await (const chunk of body) {
      chunks.push(chunk);
    }
    return {text: text(), isComplete: true};
  } catch {
    return {text: text(), isComplete: false};
  }
}

function toChatCall(work: Work): {
  readonly path: string;
  readonly body: string;
} {
  const body = {
    model: 'assistant',
    stream: work.stream,
    max_tokens: work.maximumOutputTokens,
    messages: [{role: 'user', content: work.content}],
  };
  return {path: '/v1/chat/completions', body: JSON.stringify(body)};
}

function toServiceCall(work: Work): {
  readonly path: string;
  readonly body: string;
} {
  const {service, path} = serviceCallOf(work);
  return {path: `/v1/services/${service}${path}`, body: work.content};
}

function toRecordedResponse(raw: RawResponse, work: Work): RecordedResponse {
  const {status, requestId} = raw;
  const base = {...noResponse, status, requestId};
  if (raw.isEvents) {
    return parseEventStream(raw, base);
  }
  if (!raw.isComplete) {
    return {...base, end: 'cut'};
  }
  if (status !== 200) {
    return {...base, ...parseFailure(raw.text), end: 'failure'};
  }
  const text = work.kind === 'service' ? raw.text : chatText(raw.text);
  return {...base, end: 'whole', text};
}

function parseEventStream(
  raw: RawResponse,
  base: RecordedResponse,
): RecordedResponse {
  const events = raw.text.split('\n\n');
  const completeEvents = events.slice(0, -1);
  const text = completeEvents
    .filter(event => event.startsWith('data: {'))
    .map(event => chatText(event.slice('data: '.length)))
    .join('');
  if (completeEvents.at(-1) === DONE_EVENT) {
    return {...base, end: 'whole', text};
  }
  const failureEvent = completeEvents.find(event =>
    event.startsWith('event: error'),
  );
  if (failureEvent === undefined) {
    return {...base, end: 'cut', text};
  }
  const body = failureEvent.slice(
    failureEvent.indexOf('data: ') + 'data: '.length,
  );
  return {...base, ...parseFailure(body), end: 'failure', text};
}

function chatText(body: string): string {
  const choice = (JSON.parse(body) as ChatBody).choices?.[0];
  return choice?.delta?.content ?? choice?.message?.content ?? '';
}

function parseFailure(body: string): Partial<RecordedResponse> {
  try {
    const {error} = JSON.parse(body) as FailureBody;
    return {
      executed: error?.executed,
      errorKind: error?.kind,
      addresses: error?.addresses ?? [],
      retryAfterMilliseconds: error?.retryAfterMilliseconds ?? undefined,
    };
  } catch {
    return {};
  }
}
