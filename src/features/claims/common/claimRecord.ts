import {z} from 'zod';

import {TableRow} from '../../../infrastructure/table/common/tableService.js';
import {RequestOutcome} from '../../requests/common/request.js';

/** The row that a claim and its outcome share. */

/** Rows of claims start with this, then the hash of account and key. */
export const CLAIM_PREFIX = 'claim/';

/** The value of a claim row. */
export interface ClaimRecord {
  /** Names one attempt to claim; two attempts never share it. */
  readonly nonce: string;
  readonly incarnation: string;
  /** Wall milliseconds after which the row may be deleted. */
  readonly expiresAt: number;
  /** What the key stands for; undefined in rows of earlier versions. */
  readonly fingerprint?: string | undefined;
  /** Undefined until the outcome was recorded. */
  readonly outcome?: RequestOutcome;
}

const recordSchema = z.object({
  nonce: z.string(),
  incarnation: z.string(),
  expiresAt: z.number(),
  fingerprint: z.string().optional(),
  outcome: z.custom<RequestOutcome>(isOutcome).optional(),
});

/** The row's key. */
export function claimRowKey(keyHash: string): string {
  return CLAIM_PREFIX + keyHash;
}

/** The row's JSON text. */
export function formatClaimRecord(record: ClaimRecord): string {
  return JSON.stringify(record);
}

/** Reads a row; undefined when it isn't a claim record. */
export function parseClaimRecord(row: TableRow): ClaimRecord | undefined {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(row.value));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** What became of a key, and what it stands for. */
export interface KnownKey {
  readonly outcome: RequestOutcome;
  /** Undefined when the claim named none. */
  readonly fingerprint: string | undefined;
}

/** Whether an outcome says that nothing ran, so that the key may be claimed again. */
export function isNotRun(outcome: RequestOutcome | undefined): boolean {
  return outcome?.kind === 'failed' && outcome.failure.executed === 'no';
}

/** The outcome of an attempt that was given up before anything was dispatched. */
export const abandonedOutcome: RequestOutcome = {
  kind: 'failed',
  failure: {
    error: {kind: 'claimUndecided', detail: 'given up before dispatch'},
    executed: 'no',
    retryAfterMilliseconds: 0,
    addresses: [],
  },
};

/** Stands for a reply that ran and is too large to be kept. */
export const replyNotKept: RequestOutcome = {
  kind: 'failed',
  failure: {
    error: {kind: 'duplicate'},
    executed: 'yes',
    retryAfterMilliseconds: undefined,
    addresses: [],
  },
};

/** Whether an outcome stands for a reply that was not kept; another place may still hold it. */
export function isReplyNotKept(outcome: RequestOutcome): boolean {
  return (
    outcome.kind === 'failed' &&
    outcome.failure.error.kind === 'duplicate' &&
    outcome.failure.executed === 'yes'
  );
}

/** The outcome with its reply text bounded: a text over the limit is left out whole, never cut. */
export function boundOutcome(
  outcome: RequestOutcome,
  limit: number,
): RequestOutcome {
  return bodyLength(outcome) > limit ? replyNotKept : outcome;
}

/** Characters of reply text; the content type counts, since an upstream chooses it. */
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
