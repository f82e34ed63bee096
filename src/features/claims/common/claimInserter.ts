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
import {matchFingerprints} from './fingerprints.js';
import {ClaimSettings} from './claimSettings.js';
import {RowWriter} from './rowWriter.js';

/** One attempt to claim; its nonce tells its own row from those of others. */
export interface Attempt {
  readonly keyHash: string;
  readonly record: ClaimRecord;
  condition: RowCondition;
  /** The claimant was answered without waiting: the attempt must not be granted any more. */
  givenUp: boolean;
  /** A write was sent whose outcome isn't known. */
  mayHaveLanded: boolean;
}

/** What came of writing the row of an attempt. */
export type Insertion =
  | {readonly kind: 'held'; readonly version: number}
  | {readonly kind: 'other'; readonly row: TableRow}
  | {readonly kind: 'failed'; readonly detail: string};

/** The condition of a first attempt. */
export const ABSENT: RowCondition = {kind: 'absent'};

/** Writes the rows of attempts to claim. */
export class ClaimInserter {
  constructor(
    private readonly writer: RowWriter,
    private readonly clock: Clock,
    private readonly settings: ClaimSettings,
  ) {}

  /** Repeats one write with one nonce until it is decided, given up or tried often enough. */
  async insert(attempt: Attempt): Promise<Insertion> {
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
        attempt.mayHaveLanded ||= result.error.kind === 'outcomeUnknown';
        detail = `table: ${result.error.kind}`;
        continue;
      }
      if (result.value.kind === 'written') {
        return {kind: 'held', version: result.value.version};
      }
      const judged = this.judgeConflict(attempt, result.value.current);
      if (judged !== undefined) {
        return judged;
      }
      detail = 'the row changed meanwhile';
    }
    return {kind: 'failed', detail};
  }

  /** Undefined: try again, with the attempt's new condition. */
  private judgeConflict(
    attempt: Attempt,
    current: TableRow | undefined,
  ): Insertion | undefined {
    if (current === undefined) {
      attempt.condition = ABSENT;
      return undefined;
    }
    const found = parseClaimRecord(current);
    if (found?.nonce === attempt.record.nonce) {
      return {kind: 'held', version: current.version};
    }
    if (found === undefined || !mayClaimAgain(found, attempt.record)) {
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

/** A key that was not run may be claimed again, for the same request. */
function mayClaimAgain(found: ClaimRecord, wanted: ClaimRecord): boolean {
  const match = matchFingerprints(found.fingerprint, wanted.fingerprint);
  return isNotRun(found.outcome) && match === 'same';
}
