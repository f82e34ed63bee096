import {Pool} from 'undici';

/** A client of the router, for measurements and fault tests, that streams replies and times their tokens. */

export interface CallerRequest {
  readonly classOfWork: string;
  readonly bearerKey: string;
  readonly model: string;
  readonly prompt: string;
  readonly maximumOutputTokens: number;
  readonly idempotencyKey: string | undefined;
  readonly deadlineMilliseconds: number | undefined;
}

/** The result of a request as its caller observed it. */
export interface CallerOutcome {
  /** HTTP status; 0 when no response arrived. */
  readonly status: number;
  /** Whether the reply was complete, with its end marker. */
  readonly whole: boolean;
  readonly tokens: readonly string[];
  readonly firstTokenMilliseconds: number | undefined;
  /** Mean time between tokens; undefined for fewer than two tokens. */
  readonly betweenTokensMilliseconds: number | undefined;
  /** Arrival time of each token, in monotonic milliseconds. */
  readonly tokenTimes: readonly number[];
  readonly wholeMilliseconds: number;
  /** The `executed` field of an error response. */
  readonly executed: string | undefined;
  readonly errorKind: string | undefined;
  readonly retryAfterMilliseconds: number | undefined;
  /** End of the request, in monotonic milliseconds. */
  readonly endedAt: number;
}

interface FailureBody {
  readonly error?: {
    readonly kind?: string;
    readonly executed?: string;
    readonly retryAfterMilliseconds?: number;
  };
}

const END_MARKER = '[DONE]';
const CONNECTION_LIMIT = 512;
const TIMEOUT_MILLISECONDS = 30000;

/** Sends requests to one entry address. */
export class Caller {
  private readonly pool: Pool;

  constructor(readonly address: string) {
    this.pool = new Pool(`http://${address}`, {connections: CONNECTION_LIMIT});
  }

  /** Streams one reply to its end. Never throws: a failure is part of the outcome. */
  async stream(request: CallerRequest): Promise<CallerOutcome> {
    const reader = new StreamReader(performance.now());
    try {
      const response = await this.pool.request({
        method: 'POST',
        path: '/v1/chat/completions',
        headers: createHeaders(request),
        body: JSON.stringify(createBody(request)),
        headersTimeout: TIMEOUT_MILLISECONDS,
        bodyTimeout: TIMEOUT_MILLISECONDS,
      });
      reader.status = response.statusCode;
      for await (const chunk of response.body) {
        reader.addText(String(chunk));
      }
    } catch {
      reader.lost = true;
    }
    return reader.outcome();
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }
}

function createHeaders(request: CallerRequest): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    authorization: `Bearer ${request.bearerKey}`,
    'redwing-class': request.classOfWork,
  };
  if (request.idempotencyKey !== undefined) {
    headers['idempotency-key'] = request.idempotencyKey;
  }
  if (request.deadlineMilliseconds !== undefined) {
    headers['redwing-deadline-milliseconds'] = String(
      request.deadlineMilliseconds,
    );
  }
  return headers;
}

function createBody(request: CallerRequest): object {
  return {
    model: request.model,
    stream: true,
    max_tokens: request.maximumOutputTokens,
    messages: [{role: 'user', content: request.prompt}],
  };
}

/** Parses the server-sent events of one reply. */
class StreamReader {
  status = 0;
  lost = false;
  private pending = '';
  private done = false;
  private firstAt: number | undefined;
  private lastAt = 0;
  private failure: FailureBody | undefined;
  private readonly tokens: string[] = [];
  private readonly tokenTimes: number[] = [];

  constructor(private readonly startedAt: number) {}

  addText(text: string): void {
    this.pending += text;
    if (this.status !== 200) {
      return;
    }
    let end = this.pending.indexOf('\n\n');
    while (end >= 0) {
      this.handleEvent(this.pending.slice(0, end));
      this.pending = this.pending.slice(end + 2);
      end = this.pending.indexOf('\n\n');
    }
  }

  outcome(): CallerOutcome {
    const endedAt = performance.now();
    const error = (this.failure ?? parseFailure(this.pending))?.error;
    return {
      status: this.status,
      whole: this.done && !this.lost,
      tokens: this.tokens,
      firstTokenMilliseconds:
        this.firstAt === undefined ? undefined : this.firstAt - this.startedAt,
      betweenTokensMilliseconds: this.meanTokenInterval(),
      tokenTimes: this.tokenTimes,
      wholeMilliseconds: endedAt - this.startedAt,
      executed: error?.executed,
      errorKind: error?.kind ?? (this.lost ? 'connectionLost' : undefined),
      retryAfterMilliseconds: error?.retryAfterMilliseconds,
      endedAt,
    };
  }

  private meanTokenInterval(): number | undefined {
    if (this.firstAt === undefined || this.tokens.length < 2) {
      return undefined;
    }
    return (this.lastAt - this.firstAt) / (this.tokens.length - 1);
  }

  private handleEvent(event: string): void {
    const data = event
      .split('\n')
      .filter(line => line.startsWith('data:'))
      .map(line => line.slice('data:'.length).trim())
      .join('');
    if (data === END_MARKER) {
      this.done = true;
      return;
    }
    if (data !== '') {
      this.handleChunk(JSON.parse(data) as ChunkBody & FailureBody);
    }
  }

  private handleChunk(body: ChunkBody & FailureBody): void {
    if (body.error) {
      this.failure = body;
      return;
    }
    const content = body.choices?.[0]?.delta?.content;
    if (content === undefined || content === '') {
      return;
    }
    this.lastAt = performance.now();
    this.firstAt ??= this.lastAt;
    this.tokens.push(content.trim());
    this.tokenTimes.push(this.lastAt);
  }
}

interface ChunkBody {
  readonly choices?: ReadonlyArray<{
    readonly delta?: {readonly content?: string};
  }>;
}

function parseFailure(text: string): FailureBody | undefined {
  try {
    return JSON.parse(text) as FailureBody;
  } catch {
    return undefined;
  }
}
