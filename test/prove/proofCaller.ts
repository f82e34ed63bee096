import {Agent} from 'undici';

import {Executed} from '../../src/features/requests/common/failure.js';
import {Answer, Work} from './observations.js';
import {serviceCallOf} from './work.js';

/** The account of all callers. */
export const ACCOUNT = {name: 'orders', bearerKey: 'orders-key'} as const;

/** Class of work by whether it may be repeated. */
export const classNames = {repeatable: 'query', once: 'order'} as const;

/** An answer of `GET /v1/entrypoints`. */
export interface Entrypoints {
  readonly addresses: readonly string[];
  readonly grant: string | null;
  readonly grantAddress: string | null;
}

interface FailureBody {
  readonly error?: {
    readonly kind?: string;
    readonly executed?: Executed;
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

interface RawAnswer {
  readonly status: number;
  readonly requestId: string | undefined;
  readonly isEvents: boolean;
  readonly text: string;
  /** Whether the connection ended as HTTP says it should. */
  readonly isComplete: boolean;
}

const DONE_EVENT = 'data: [DONE]';
const TIMEOUT_MILLISECONDS = 20_000;
const CONNECT_MILLISECONDS = 1000;

const nothing: Answer = {
  requestId: undefined,
  status: 0,
  end: 'unreachable',
  text: '',
  executed: undefined,
  errorKind: undefined,
  addresses: [],
  retryAfterMilliseconds: undefined,
};

/** Calls entry instances as a caller would; never throws. */
export class ProofCaller {
  private readonly agent = new Agent({
    headersTimeout: TIMEOUT_MILLISECONDS,
    bodyTimeout: TIMEOUT_MILLISECONDS,
    connect: {timeout: CONNECT_MILLISECONDS},
  });

  /** Asks an instance which addresses to use; undefined when it can't be asked. */
  async entrypoints(address: string): Promise<Entrypoints | undefined> {
    const raw = await this.call(address, 'GET', '/v1/entrypoints', {});
    return raw?.isComplete && raw.status === 200
      ? (JSON.parse(raw.text) as Entrypoints)
      : undefined;
  }

  /** Submits work and waits for its answer. */
  async submit(
    address: string,
    work: Work,
    idempotencyKey: string | undefined,
  ): Promise<Answer> {
    const name = work.repeatable ? classNames.repeatable : classNames.once;
    const headers: Record<string, string> = {'redwing-class': name};
    if (idempotencyKey !== undefined) {
      headers['idempotency-key'] = idempotencyKey;
    }
    const {path, body} =
      work.kind === 'model' ? chatCall(work) : plainCall(work);
    const raw = await this.call(address, 'POST', path, headers, body);
    return raw === undefined ? nothing : toAnswer(raw, work);
  }

  /** Asks what became of a key; a recorded failure is an answer like that of the work itself. */
  async lookUp(
    address: string,
    work: Work,
    idempotencyKey: string,
  ): Promise<Answer> {
    const path = `/v1/requests/${encodeURIComponent(idempotencyKey)}`;
    const raw = await this.call(address, 'GET', path, {});
    if (raw === undefined || !raw.isComplete || raw.status !== 200) {
      return nothing;
    }
    const outcome = JSON.parse(raw.text) as {state: string; body?: string};
    return outcome.state === 'completed'
      ? toAnswer({...raw, isEvents: false, text: outcome.body ?? ''}, work)
      : {...nothing, ...failureOf(raw.text), status: 200, end: 'failure'};
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
  ): Promise<RawAnswer | undefined> {
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
      const read = await readAll(response.body);
      const isEvents = type.startsWith('text/event-stream');
      return {status, requestId, isEvents, ...read};
    } catch (error) {
      return isRefusal(error) ? undefined : {...lostAnswer, text: ''};
    }
  }
}

const lostAnswer = {
  status: 0,
  requestId: undefined,
  isEvents: false,
  isComplete: false,
} as const;

function isRefusal(error: unknown): boolean {
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

function chatCall(work: Work): {readonly path: string; readonly body: string} {
  const body = {
    model: 'assistant',
    stream: work.stream,
    max_tokens: work.maximumOutputTokens,
    messages: [{role: 'user', content: work.content}],
  };
  return {path: '/v1/chat/completions', body: JSON.stringify(body)};
}

function plainCall(work: Work): {readonly path: string; readonly body: string} {
  const {service, path} = serviceCallOf(work);
  return {path: `/v1/services/${service}${path}`, body: work.content};
}

function toAnswer(raw: RawAnswer, work: Work): Answer {
  const {status, requestId} = raw;
  const base = {...nothing, status, requestId};
  if (raw.isEvents) {
    return eventAnswer(raw, base);
  }
  if (!raw.isComplete) {
    return {...base, end: 'cut'};
  }
  if (status !== 200) {
    return {...base, ...failureOf(raw.text), end: 'failure'};
  }
  const text = work.kind === 'service' ? raw.text : chatText(raw.text);
  return {...base, end: 'whole', text};
}

function eventAnswer(raw: RawAnswer, base: Answer): Answer {
  const events = raw.text.split('\n\n');
  const complete = events.slice(0, -1);
  const text = complete
    .filter(event => event.startsWith('data: {'))
    .map(event => chatText(event.slice('data: '.length)))
    .join('');
  if (complete.at(-1) === DONE_EVENT) {
    return {...base, end: 'whole', text};
  }
  const failed = complete.find(event => event.startsWith('event: error'));
  if (failed === undefined) {
    return {...base, end: 'cut', text};
  }
  const body = failed.slice(failed.indexOf('data: ') + 'data: '.length);
  return {...base, ...failureOf(body), end: 'failure', text};
}

function chatText(body: string): string {
  const choice = (JSON.parse(body) as ChatBody).choices?.[0];
  return choice?.delta?.content ?? choice?.message?.content ?? '';
}

function failureOf(body: string): Partial<Answer> {
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
