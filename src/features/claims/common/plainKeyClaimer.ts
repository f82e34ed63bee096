import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {
  RowCondition,
  TableRow,
} from '../../../infrastructure/table/common/tableService.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {
  abandonedOutcome,
  ClaimRecord,
  isNotRun,
  KeyState,
  limitBodySize,
  parseClaimRecord,
} from './claimRecord.js';
import {ClaimAttempt, ClaimInserter, ROW_ABSENT} from './claimInserter.js';
import {ClaimSettings} from './claimSettings.js';
import {checkKeyReuse, decideDuplicate} from './fingerprints.js';
import {EndedKeyCache} from './endedKeyCache.js';
import {OutcomeRecorder} from './outcomeRecorder.js';
import {RowWriter} from './rowWriter.js';

/** The result of claiming a plain key. */
export type PlainKeyDecision =
  | {readonly kind: 'granted'}
  /** The key was claimed before and its outcome is in memory or in the claim row. */
  | {readonly kind: 'duplicate'; readonly outcome: RequestOutcome}
  /** Claimed by the given incarnation; the row has no outcome yet. */
  | {readonly kind: 'claimedBy'; readonly incarnation: string}
  | {readonly kind: 'keyReused'; readonly sameWork: boolean}
  | {readonly kind: 'undecided'; readonly detail: string};

/** A key that is being claimed, run or released by this instance. */
type ActiveKey =
  | {readonly kind: 'claiming'}
  | {
      readonly kind: 'running';
      readonly record: ClaimRecord;
      readonly condition: RowCondition;
    }
  /** The `not run` outcome is being recorded; until it is, no instance can claim the key again. */
  | {readonly kind: 'settling'};

/**
 * Claims plain keys by inserting a row into the table. A claim is a conditional write that is retried with
 * the same nonce until its result is known: a conflict with a row that has this nonce means that an earlier
 * try took effect. An attempt that is not decided in time is never granted afterwards; its row is
 * closed as not run, so that the key can be claimed again.
 */
export class PlainKeyClaimer {
  private readonly active = new Map<string, ActiveKey>();
  private readonly ended: EndedKeyCache;
  private readonly inserter: ClaimInserter;

  constructor(
    writer: RowWriter,
    private readonly recorder: OutcomeRecorder,
    private readonly clock: Clock,
    private readonly incarnation: string,
    private readonly createNonce: () => string,
    private readonly settings: ClaimSettings,
  ) {
    this.inserter = new ClaimInserter(writer, clock, settings);
    this.ended = new EndedKeyCache(
      settings.endedPlainKeyLimit,
      settings.heldBodyLimit,
    );
  }

  async claim(
    keyHash: string,
    token: CancellationToken,
    fingerprint?: string,
  ): Promise<PlainKeyDecision> {
    const earlierDecision = this.known(keyHash, fingerprint);
    if (earlierDecision !== undefined) {
      return earlierDecision;
    }
    if (this.active.size >= this.settings.activePlainKeyLimit) {
      return {kind: 'undecided', detail: 'too many claims at once'};
    }
    this.active.set(keyHash, {kind: 'claiming'});
    const attempt = this.createAttempt(keyHash, fingerprint);
    const decision = this.decide(attempt);
    return this.awaitDecision(decision, attempt, token);
  }

  /** Sets the outcome of a running key; false when the key is not running here. */
  complete(keyHash: string, outcome: RequestOutcome): boolean {
    const active = this.active.get(keyHash);
    if (active?.kind !== 'running') {
      return false;
    }
    const {record, condition} = active;
    if (isNotRun(outcome)) {
      this.close(keyHash, record, condition, outcome);
      return true;
    }
    this.active.delete(keyHash);
    this.ended.add(keyHash, outcome, record.fingerprint);
    const limit = this.settings.recordedBodyLimit;
    this.recorder.record({
      keyHash,
      record: {...record, outcome: limitBodySize(outcome, limit)},
      condition,
      done: () => undefined,
    });
    return true;
  }

  /** As `stateOf`, but `running` while the key is being claimed or released, so that peers ask again later. */
  stateForPeer(keyHash: string): KeyState | undefined {
    const state = this.stateOf(keyHash);
    return state !== undefined && this.active.has(keyHash)
      ? {...state, outcome: {kind: 'running'}}
      : state;
  }

  /** The state of a key in memory; undefined when there is none. */
  stateOf(keyHash: string): KeyState | undefined {
    const active = this.active.get(keyHash);
    switch (active?.kind) {
      case 'running': {
        const {fingerprint} = active.record;
        return {outcome: {kind: 'running'}, fingerprint};
      }
      case 'claiming':
      case 'settling':
        return {outcome: {kind: 'unknown'}, fingerprint: undefined};
      case undefined:
        return this.ended.get(keyHash);
    }
  }

  /** Decides a claim from memory. Fingerprints are not compared unless this instance holds the claim. */
  private known(
    keyHash: string,
    fingerprint: string | undefined,
  ): PlainKeyDecision | undefined {
    switch (this.active.get(keyHash)?.kind) {
      case 'claiming':
        return {kind: 'undecided', detail: 'being claimed'};
      case 'settling':
        return {
          kind: 'undecided',
          detail: 'an earlier attempt is being closed',
        };
      case 'running':
      case undefined: {
        const state = this.stateOf(keyHash);
        return state && decideDuplicate(state, fingerprint);
      }
    }
  }

  private createAttempt(
    keyHash: string,
    fingerprint: string | undefined,
  ): ClaimAttempt {
    const {rowRetentionMilliseconds} = this.settings;
    return {
      keyHash,
      record: {
        nonce: this.createNonce(),
        incarnation: this.incarnation,
        expiresAt: this.clock.wallMilliseconds() + rowRetentionMilliseconds,
        fingerprint,
      },
      condition: ROW_ABSENT,
      givenUp: false,
      mayHaveBeenWritten: false,
    };
  }

  /** Waits for the decision until the caller cancels or the timeout elapses; the attempt is then abandoned. */
  private awaitDecision(
    pending: Promise<PlainKeyDecision>,
    attempt: ClaimAttempt,
    token: CancellationToken,
  ): Promise<PlainKeyDecision> {
    return new Promise(resolve => {
      const abandon = (detail: string) => {
        attempt.givenUp = true;
        resolve({kind: 'undecided', detail});
      };
      const timer = this.clock.setTimer(
        this.settings.decideWithinMilliseconds,
        () => abandon('the table did not answer in time'),
      );
      const cancelled = token.onDidCancel(() => abandon('no longer wanted'));
      void pending.then(decision => {
        timer.dispose();
        cancelled.dispose();
        resolve(decision);
      });
    });
  }

  private async decide(attempt: ClaimAttempt): Promise<PlainKeyDecision> {
    const result = await this.inserter.insert(attempt);
    const {keyHash, record} = attempt;
    if (result.kind === 'held') {
      const condition: RowCondition = {
        kind: 'version',
        version: result.version,
      };
      if (attempt.givenUp) {
        this.close(keyHash, record, condition, abandonedOutcome);
        return {kind: 'undecided', detail: 'decided too late'};
      }
      this.active.set(keyHash, {kind: 'running', record, condition});
      return {kind: 'granted'};
    }
    if (result.kind === 'other') {
      this.active.delete(keyHash);
      return decisionFor(result.row, record.fingerprint);
    }
    if (attempt.mayHaveBeenWritten) {
      this.close(keyHash, record, attempt.condition, abandonedOutcome);
    } else {
      this.active.delete(keyHash);
    }
    return {kind: 'undecided', detail: result.detail};
  }

  /** Records that nothing ran; until that is done, this instance grants no claim on the key. */
  private close(
    keyHash: string,
    record: ClaimRecord,
    condition: RowCondition,
    outcome: RequestOutcome,
  ): void {
    this.active.set(keyHash, {kind: 'settling'});
    this.recorder.record({
      keyHash,
      record: {...record, outcome},
      condition,
      done: () => this.active.delete(keyHash),
    });
  }
}

/** The decision when the row belongs to another attempt. */
function decisionFor(
  row: TableRow,
  fingerprint: string | undefined,
): PlainKeyDecision {
  const record = parseClaimRecord(row);
  if (record === undefined) {
    return {kind: 'duplicate', outcome: {kind: 'unknown'}};
  }
  const {incarnation, outcome} = record;
  return outcome === undefined
    ? (checkKeyReuse(record.fingerprint, fingerprint) ?? {
        kind: 'claimedBy',
        incarnation,
      })
    : decideDuplicate({outcome, fingerprint: record.fingerprint}, fingerprint);
}
