import {z} from 'zod';

import {TableRow} from '../../../infrastructure/table/common/tableService.js';
import {RequestOutcome} from '../../requests/common/request.js';

/** The table row that holds a claim and, once known, its outcome. */

/** Prefix of claim row keys; the hash of client account and key follows. */
export const CLAIM_ROW_PREFIX = 'claim/';

/** The value of a claim row; stored as JSON. */
export interface ClaimRecord {
  /** Unique for each claim attempt. */
  readonly nonce: string;
  readonly incarnation: string;
  /** Wall clock milliseconds after which the row can be deleted. */
  readonly expiresAt: number;
  /** Identifies the request; undefined in rows of earlier versions. */
  readonly fingerprint?: string | undefined;
  /** Undefined until the outcome is recorded. */
  readonly outcome?: RequestOutcome;
}

const recordSchema = z.object({
  nonce: z.string(),
  incarnation: z.string(),
  expiresAt: z.number(),
  fingerprint: z.string().optional(),
  outcome: z.custom<RequestOutcome>(isOutcome).optional(),
});

export function claimRowKey(keyHash: string): string {
  return CLAIM_ROW_PREFIX + keyHash;
}

export function formatClaimRecord(record: ClaimRecord): string {
  return JSON.stringify(record);
}

/** Parses the value of a row; undefined when it is not a valid claim record. */
export function parseClaimRecord(row: TableRow): ClaimRecord | undefined {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(row.value));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** The outcome of a key and the request that it was claimed for. */
export interface KeyState {
  readonly outcome: RequestOutcome;
  /** Undefined when the claim had none. */
  readonly fingerprint: string | undefined;
}

/** Whether nothing ran, so that the key can be claimed again. */
export function isNotRun(outcome: RequestOutcome | undefined): boolean {
  return outcome?.kind === 'failed' && outcome.failure.executed === 'no';
}

/** The outcome of a claim attempt that was abandoned before dispatch. */
export const abandonedOutcome: RequestOutcome = {
  kind: 'failed',
  failure: {
    error: {kind: 'claimUndecided', detail: 'given up before dispatch'},
    executed: 'no',
    retryAfterMilliseconds: 0,
    addresses: [],
  },
};

/** Replaces the outcome of a completed request whose response body is not retained. */
export const responseNotRetained: RequestOutcome = {
  kind: 'failed',
  failure: {
    error: {kind: 'duplicate'},
    executed: 'yes',
    retryAfterMilliseconds: undefined,
    addresses: [],
  },
};

/** Whether the response body was not retained here; the table may still have it. */
export function isResponseNotRetained(outcome: RequestOutcome): boolean {
  return (
    outcome.kind === 'failed' &&
    outcome.failure.error.kind === 'duplicate' &&
    outcome.failure.executed === 'yes'
  );
}

/** Omits the whole response body if it is longer than the limit; a body is never truncated. */
export function limitBodySize(
  outcome: RequestOutcome,
  limit: number,
): RequestOutcome {
  return bodyLength(outcome) > limit ? responseNotRetained : outcome;
}

/** Characters of the response body and content type, both of which the upstream controls. */
export function bodyLength(outcome: RequestOutcome): number {
  return outcome.kind === 'completed'
    ? outcome.body.length + outcome.contentType.length
    : 0;
}

function isOutcome(value: unknown): boolean {
  if (typeof value !== 'object' || value === null) {
    return false;
  }
  switch ((value as {kind?: unknown}).kind) {
    case 'running':
    case 'unknown':
      return true;
    case 'completed':
      return typeof (value as {body?: unknown}).body === 'string';
    case 'failed':
      return isFailure((value as {failure?: unknown}).failure);
    default:
      return false;
  }
}

function isFailure(value: unknown): boolean {
  const executed = (value as {executed?: unknown} | undefined | null)?.executed;
  return executed === 'no' || executed === 'unknown' || executed === 'yes';
}
