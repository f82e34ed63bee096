import {Pool} from 'undici';

/** A caller of the router, as measures and failure rounds use it: streams a reply and times its tokens. */

/** One request to make. */
export interface CallerRequest {
  readonly classOfWork: string;
  readonly bearerKey: string;
  readonly model: string;
  readonly prompt: string;
  readonly maximumOutputTokens: number;
  readonly idempotencyKey: string | undefined;
  readonly deadlineMilliseconds: number | undefined;
}

/** What a caller saw. */
export interface CallerOutcome {
  readonly status: number;
  /** Whether the whole reply came, with its end mark. */
  readonly whole: boolean;
  readonly tokens: readonly string[];
  readonly firstTokenMilliseconds: number | undefined;
  /** Mean time between tokens; undefined with fewer than two. */
  readonly betweenTokensMilliseconds: number | undefined;
  /** Monotonic milliseconds at which each token came. */
  readonly tokenTimes: readonly number[];
  readonly wholeMilliseconds: number;
  /** `executed` of a failure body. */
  readonly executed: string | undefined;
  readonly errorKind: string | undefined;
  readonly retryAfterMilliseconds: number | undefined;
  /** Monotonic milliseconds at the end. */
  readonly endedAt: number;
}

interface FailureBody {
  readonly error?: {
    readonly kind?: string;
    readonly executed?: string;
    readonly retryAfterMilliseconds?: number;
  };
}

const DONE_MARK = '[DONE]';
const CONNECTIONS = 512;
const TIMEOUT_MILLISECONDS = 30000;

/** Calls one entry address. */
export class Caller {
  private readonly pool: Pool;

  constructor(readonly address: string) {
    this.pool = new Pool(`http://${address}`, {connections: CONNECTIONS});
  }

  /** Streams one reply to its end; never throws. */
  async stream(request: CallerRequest): Promise<CallerOutcome> {
    const reading = new StreamReading(performance.now());
    try {
      const response = await this.pool.request({
        method: 'POST',
        path: '/v1/chat/completions',
        headers: headersOf(request),
        body: JSON.stringify(bodyOf(request)),
        headersTimeout: TIMEOUT_MILLISECONDS,
        bodyTimeout: TIMEOUT_MILLISECONDS,
      });
      reading.status = response.statusCode;
      for await (const chunk of response.body) {
        reading.take(String(chunk));
      }
    } catch {
      reading.lost = true;
    }
    return reading.outcome();
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }
}

function headersOf(request: CallerRequest): Record<string, string> {
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

function bodyOf(request: CallerRequest): object {
  return {
    model: request.model,
    stream: true,
    max_tokens: request.maximumOutputTokens,
    messages: [{role: 'user', content: request.prompt}],
  };
}

/** Collects the events of one reply. */
class StreamReading {
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

  take(text: string): void {
    this.pending += text;
    if (this.status !== 200) {
      return;
    }
    let end = this.pending.indexOf('\n\n');
    while (end >= 0) {
      this.takeEvent(this.pending.slice(0, end));
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
      betweenTokensMilliseconds: this.betweenTokens(),
      tokenTimes: this.tokenTimes,
      wholeMilliseconds: endedAt - this.startedAt,
      executed: error?.executed,
      errorKind: error?.kind ?? (this.lost ? 'connectionLost' : undefined),
      retryAfterMilliseconds: error?.retryAfterMilliseconds,
      endedAt,
    };
  }

  private betweenTokens(): number | undefined {
    if (this.firstAt === undefined || this.tokens.length < 2) {
      return undefined;
    }
    return (this.lastAt - this.firstAt) / (this.tokens.length - 1);
  }

  private takeEvent(event: string): void {
    const data = event
      .split('\n')
      .filter(line => line.startsWith('data:'))
      .map(line => line.slice('data:'.length).trim())
      .join('');
    if (data === DONE_MARK) {
      this.done = true;
      return;
    }
    if (data !== '') {
      this.takeData(JSON.parse(data) as ChunkBody & FailureBody);
    }
  }

  private takeData(body: ChunkBody & FailureBody): void {
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
