import {z} from 'zod';

import {CancellationToken} from '../../../base/common/cancellation.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {StorageError} from '../../table/common/tableService.js';
import {HttpClient, HttpClientOptions} from './httpClient.js';
import {
  HttpResponse,
  HttpRequest,
  HttpHeaders,
  HttpOutcome,
} from './httpExchange.js';

/** Identifies the calling instance. */
const INSTANCE_HEADER = 'redwing-instance';

/** `no` on an error response of a request that was not executed. */
const EXECUTED_HEADER = 'redwing-executed';

/** Delay before a retry; `retry-after` has a resolution of one second. */
const RETRY_AFTER_HEADER = 'retry-after-milliseconds';

const DEFAULT_RETRY_AFTER_MILLISECONDS = 1000;

/** HTTP client of one of the platform's services. Maps the outcomes of requests to storage errors. */
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

  /** Sends a request; expects status 200 and a body that matches the schema. */
  async call<T>(
    request: HttpRequest,
    schema: z.ZodType<T>,
    token: CancellationToken,
  ): Promise<Result<T, StorageError>> {
    const response = await this.send(request, token);
    if (!response.ok) {
      return response;
    }
    return parseResponse(response.value, schema);
  }

  /** Like `call`, but returns undefined for status 404. */
  async find<T>(
    request: HttpRequest,
    schema: z.ZodType<T>,
    token: CancellationToken,
  ): Promise<Result<T | undefined, StorageError>> {
    const response = await this.send(request, token);
    if (!response.ok) {
      return response;
    }
    if (response.value.status === 404) {
      return success(undefined);
    }
    return parseResponse(response.value, schema);
  }

  private async send(
    request: HttpRequest,
    token: CancellationToken,
  ): Promise<Result<HttpResponse, StorageError>> {
    const outcome = await this.client.send(
      {...request, headers: this.headers},
      token,
    );
    const error = toStorageError(outcome);
    if (error !== undefined) {
      return failure(error);
    }
    return success(outcome as HttpResponse);
  }
}

/** Maps an outcome to an error; undefined for responses with status 200 or 404. */
function toStorageError(outcome: HttpOutcome): StorageError | undefined {
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
      return toResponseError(outcome);
  }
}

function toResponseError(response: HttpResponse): StorageError | undefined {
  if (response.status === 200 || response.status === 404) {
    return undefined;
  }
  if (response.status === 429) {
    const retryAfterMilliseconds = parseRetryAfter(response.headers);
    return {kind: 'rateLimited', retryAfterMilliseconds};
  }
  const detail = `status ${response.status}`;
  if (isMarkedNotExecuted(response.headers)) {
    return {kind: 'unavailable', detail};
  }
  return {kind: 'outcomeUnknown', detail};
}

/** Whether the server states that it did not execute the request. */
export function isMarkedNotExecuted(headers: HttpHeaders): boolean {
  return headers[EXECUTED_HEADER] === 'no';
}

/** Returns the delay in milliseconds before a retry, as requested by the server. */
export function parseRetryAfter(headers: HttpHeaders): number {
  const milliseconds = Number(headers[RETRY_AFTER_HEADER] ?? Number.NaN);
  if (Number.isFinite(milliseconds) && milliseconds >= 0) {
    return milliseconds;
  }
  const seconds = Number(headers['retry-after'] ?? Number.NaN);
  if (Number.isFinite(seconds) && seconds >= 0) {
    return seconds * 1000;
  }
  return DEFAULT_RETRY_AFTER_MILLISECONDS;
}

function parseResponse<T>(
  response: HttpResponse,
  schema: z.ZodType<T>,
): Result<T, StorageError> {
  if (response.status !== 200) {
    const detail = `status ${response.status}`;
    return failure({kind: 'outcomeUnknown', detail});
  }
  const parsed = schema.safeParse(parseJson(response.body));
  if (parsed.success) {
    return success(parsed.data);
  }
  const field = parsed.error.issues[0]?.path.join('.') ?? '';
  const detail = `the answer is malformed at $.${field}`;
  return failure({kind: 'outcomeUnknown', detail});
}

/** Parses JSON; returns undefined for invalid text. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
