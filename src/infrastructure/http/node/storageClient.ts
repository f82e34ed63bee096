import {z} from 'zod';

import {CancellationToken} from '../../../base/common/cancellation.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {StorageError} from '../../table/common/tableService.js';
import {HttpClient, HttpClientOptions} from './httpClient.js';
import {
  HttpAnswer,
  HttpCall,
  HttpHeaders,
  HttpOutcome,
} from './httpExchange.js';

/** Names the calling instance to the platform. */
const INSTANCE_HEADER = 'redwing-instance';

/** A server sets it to `no` on a refusal that surely had no effect. */
const EXECUTED_HEADER = 'redwing-executed';

/** Milliseconds to wait after a refusal; finer than `retry-after`. */
const RETRY_HEADER = 'retry-after-milliseconds';

const DEFAULT_RETRY_MILLISECONDS = 1000;

/** Calls one of the platform's services and classifies what comes back; the base of its adapters. */
export class StorageClient extends DisposableOwner {
  private readonly client: HttpClient;
  private readonly headers: Readonly<Record<string, string>>;

  constructor(
    address: string,
    instance: string,
    options: Partial<HttpClientOptions> = {},
  ) {
    super();
    this.client = this.register(new HttpClient(address, options));
    this.headers = {
      [INSTANCE_HEADER]: instance,
      'content-type': 'application/json',
    };
  }

  /** Makes a call whose answer has status 200 and a body of the schema. */
  async call<T>(
    call: HttpCall,
    schema: z.ZodType<T>,
    token: CancellationToken,
  ): Promise<Result<T, StorageError>> {
    const answer = await this.answer(call, token);
    if (!answer.ok) {
      return answer;
    }
    return parseAnswer(answer.value, schema);
  }

  /** The same for a thing that may be missing: status 404 is undefined. */
  async find<T>(
    call: HttpCall,
    schema: z.ZodType<T>,
    token: CancellationToken,
  ): Promise<Result<T | undefined, StorageError>> {
    const answer = await this.answer(call, token);
    if (!answer.ok) {
      return answer;
    }
    if (answer.value.status === 404) {
      return success(undefined);
    }
    return parseAnswer(answer.value, schema);
  }

  private async answer(
    call: HttpCall,
    token: CancellationToken,
  ): Promise<Result<HttpAnswer, StorageError>> {
    const outcome = await this.client.send(
      {...call, headers: this.headers},
      token,
    );
    const error = storageError(outcome);
    if (error !== undefined) {
      return failure(error);
    }
    return success(outcome as HttpAnswer);
  }
}

/** The error that an outcome stands for; undefined for answers with status 200 and 404. */
function storageError(outcome: HttpOutcome): StorageError | undefined {
  switch (outcome.kind) {
    case 'notSent':
      return {kind: 'unavailable', detail: outcome.detail};
    case 'tooMany':
      return {
        kind: 'unavailable',
        detail: `more than ${outcome.limit} calls wait`,
      };
    case 'lost':
      return {kind: 'outcomeUnknown', detail: outcome.detail};
    case 'cancelled':
      return outcome.sent
        ? {kind: 'outcomeUnknown', detail: 'cancelled after sending'}
        : {kind: 'unavailable', detail: 'cancelled before sending'};
    case 'answered':
      return answeredError(outcome);
  }
}

function answeredError(answer: HttpAnswer): StorageError | undefined {
  if (answer.status === 200 || answer.status === 404) {
    return undefined;
  }
  if (answer.status === 429) {
    const retryAfterMilliseconds = retryMilliseconds(answer.headers);
    return {kind: 'rateLimited', retryAfterMilliseconds};
  }
  const detail = `status ${answer.status}`;
  if (saysNotExecuted(answer.headers)) {
    return {kind: 'unavailable', detail};
  }
  return {kind: 'outcomeUnknown', detail};
}

/** Whether a server says that it did nothing. */
export function saysNotExecuted(headers: HttpHeaders): boolean {
  return headers[EXECUTED_HEADER] === 'no';
}

/** When a server asks to come back. */
export function retryMilliseconds(headers: HttpHeaders): number {
  const fine = Number(headers[RETRY_HEADER] ?? Number.NaN);
  if (Number.isFinite(fine) && fine >= 0) {
    return fine;
  }
  const seconds = Number(headers['retry-after'] ?? Number.NaN);
  if (Number.isFinite(seconds) && seconds >= 0) {
    return seconds * 1000;
  }
  return DEFAULT_RETRY_MILLISECONDS;
}

function parseAnswer<T>(
  answer: HttpAnswer,
  schema: z.ZodType<T>,
): Result<T, StorageError> {
  if (answer.status !== 200) {
    const detail = `status ${answer.status}`;
    return failure({kind: 'outcomeUnknown', detail});
  }
  const parsed = schema.safeParse(parseJson(answer.body));
  if (parsed.success) {
    return success(parsed.data);
  }
  const place = parsed.error.issues[0]?.path.join('.') ?? '';
  const detail = `the answer is malformed at $.${place}`;
  return failure({kind: 'outcomeUnknown', detail});
}

/** Parses JSON; undefined for text that is none. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
