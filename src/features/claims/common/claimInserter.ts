import {Clock} from '../../../base/common/clock.js';
import {
  RowCondition,
  TableRow,
} from '../../../infrastructure/table/common/tableService.js';
import {
  ClaimRecord,
  claimRowKey,
  formatClaimRecord,
  isNotRun,
  parseClaimRecord,
} from './claimRecord.js';
import {compareFingerprints} from './fingerprints.js';
import {ClaimSettings} from './claimSettings.js';
import {RowWriter} from './rowWriter.js';

/** One attempt to claim a plain key; the nonce identifies the row that it wrote. */
export interface ClaimAttempt {
  readonly keyHash: string;
  readonly record: ClaimRecord;
  condition: RowCondition;
  /** The caller already has a response, so the attempt must not be granted any more. */
  givenUp: boolean;
  /** The result of a write is unknown, so the row may exist. */
  mayHaveBeenWritten: boolean;
}

/** The result of inserting the row of an attempt: `other` is the row of another attempt. */
export type InsertionResult =
  | {readonly kind: 'held'; readonly version: number}
  | {readonly kind: 'other'; readonly row: TableRow}
  | {readonly kind: 'failed'; readonly detail: string};

/** The condition of the first write of an attempt. */
export const ROW_ABSENT: RowCondition = {kind: 'absent'};

/** Inserts claim rows. */
export class ClaimInserter {
  constructor(
    private readonly writer: RowWriter,
    private readonly clock: Clock,
    private readonly settings: ClaimSettings,
  ) {}

  /** Retries the write with the same nonce until it is decided, abandoned or out of attempts. */
  async insert(attempt: ClaimAttempt): Promise<InsertionResult> {
    const {insertAttempts, insertBackoffMilliseconds} = this.settings;
    let detail = 'given up';
    for (let count = 0; count < insertAttempts; count++) {
      if (count > 0) {
        await this.pause(insertBackoffMilliseconds * 2 ** (count - 1));
      }
      if (attempt.givenUp) {
        break;
      }
      const result = await this.writer.write({
        key: claimRowKey(attempt.keyHash),
        value: formatClaimRecord(attempt.record),
        condition: attempt.condition,
      });
      if (!result.ok) {
        attempt.mayHaveBeenWritten ||= result.error.kind === 'outcomeUnknown';
        detail = `table: ${result.error.kind}`;
        continue;
      }
      if (result.value.kind === 'written') {
        return {kind: 'held', version: result.value.version};
      }
      const resolved = this.resolveConflict(attempt, result.value.current);
      if (resolved !== undefined) {
        return resolved;
      }
      detail = 'the row changed meanwhile';
    }
    return {kind: 'failed', detail};
  }

  /** Returns undefined if the write is to be retried with the updated condition of the attempt. */
  private resolveConflict(
    attempt: ClaimAttempt,
    current: TableRow | undefined,
  ): InsertionResult | undefined {
    if (current === undefined) {
      attempt.condition = ROW_ABSENT;
      return undefined;
    }
    const existing = parseClaimRecord(current);
    if (existing?.nonce === attempt.record.nonce) {
      return {kind: 'held', version: current.version};
    }
    if (existing === undefined || !canClaimAgain(existing, attempt.record)) {
      return {kind: 'other', row: current};
    }
    attempt.condition = {kind: 'version', version: current.version};
    return undefined;
  }

  private pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.setTimer(milliseconds, resolve);
    });
  }
}

/** A key under which nothing ran can be claimed again for the same request. */
function canClaimAgain(existing: ClaimRecord, requested: ClaimRecord): boolean {
  const match = compareFingerprints(
    existing.fingerprint,
    requested.fingerprint,
  );
  return isNotRun(existing.outcome) && match === 'same';
}
