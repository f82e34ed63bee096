import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {
  RowCondition,
  TableRow,
} from '../../../infrastructure/table/common/tableService.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {
  abandonedOutcome,
  boundOutcome,
  ClaimRecord,
  isNotRun,
  KnownKey,
  parseClaimRecord,
} from './claimRecord.js';
import {ABSENT, Attempt, ClaimInserter} from './claimInserter.js';
import {ClaimSettings} from './claimSettings.js';
import {duplicateOf, refuseReuse} from './fingerprints.js';
import {EndedKeys} from './endedKeys.js';
import {OutcomeRecorder} from './outcomeRecorder.js';
import {RowWriter} from './rowWriter.js';

/** What came of claiming a plain key. */
export type PlainDecision =
  | {readonly kind: 'granted'}
  /** Known here. */
  | {readonly kind: 'duplicate'; readonly outcome: RequestOutcome}
  /** Claimed by an attempt of some incarnation; the row holds no outcome yet. */
  | {readonly kind: 'claimedBy'; readonly incarnation: string}
  | {readonly kind: 'keyReused'; readonly sameWork: boolean}
  | {readonly kind: 'undecided'; readonly detail: string};

/** A key that this instance is working on. */
type ActiveKey =
  | {readonly kind: 'claiming'}
  | {
      readonly kind: 'running';
      readonly record: ClaimRecord;
      readonly condition: RowCondition;
    }
  /** Its end, without anything run, is being recorded; until then nobody can claim it again. */
  | {readonly kind: 'settling'};

/**
 * Claims of plain keys by a row in the table. A claim is one conditional write that is repeated with
 * the same nonce until its outcome is known: a conflict with the own nonce means that an earlier
 * write took effect. An attempt that isn't decided in time is never granted afterwards; its row is
 * closed as not run, so that the key can be claimed again.
 */
export class PlainClaims {
  private readonly active = new Map<string, ActiveKey>();
  private readonly ended: EndedKeys;
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
    this.ended = new EndedKeys(
      settings.endedPlainKeyLimit,
      settings.heldBodyLimit,
    );
  }

  async claim(
    keyHash: string,
    token: CancellationToken,
    fingerprint?: string,
  ): Promise<PlainDecision> {
    const known = this.known(keyHash, fingerprint);
    if (known !== undefined) {
      return known;
    }
    if (this.active.size >= this.settings.activePlainKeyLimit) {
      return {kind: 'undecided', detail: 'too many claims at once'};
    }
    this.active.set(keyHash, {kind: 'claiming'});
    const attempt = this.createAttempt(keyHash, fingerprint);
    const decided = this.decide(attempt);
    return this.waitFor(decided, attempt, token);
  }

  /** Ends a running key; false when it isn't running here. */
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
      record: {...record, outcome: boundOutcome(outcome, limit)},
      condition,
      done: () => undefined,
    });
    return true;
  }

  /** What another instance is told of a key: one that is decided or closed soon is worth asking for again. */
  answerOf(keyHash: string): KnownKey | undefined {
    const known = this.outcomeOf(keyHash);
    return known !== undefined && this.active.has(keyHash)
      ? {...known, outcome: {kind: 'running'}}
      : known;
  }

  /** What is known here of a key; undefined when nothing is. */
  outcomeOf(keyHash: string): KnownKey | undefined {
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

  /** While a key isn't surely held here, what it stands for isn't known either. */
  private known(
    keyHash: string,
    fingerprint: string | undefined,
  ): PlainDecision | undefined {
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
        const known = this.outcomeOf(keyHash);
        return known && duplicateOf(known, fingerprint);
      }
    }
  }

  private createAttempt(
    keyHash: string,
    fingerprint: string | undefined,
  ): Attempt {
    const {rowRetentionMilliseconds} = this.settings;
    return {
      keyHash,
      record: {
        nonce: this.createNonce(),
        incarnation: this.incarnation,
        expiresAt: this.clock.wallMilliseconds() + rowRetentionMilliseconds,
        fingerprint,
      },
      condition: ABSENT,
      givenUp: false,
      mayHaveLanded: false,
    };
  }

  /** Waits for the decision, but no longer than the claimant and the settings allow. */
  private waitFor(
    decided: Promise<PlainDecision>,
    attempt: Attempt,
    token: CancellationToken,
  ): Promise<PlainDecision> {
    return new Promise(resolve => {
      const giveUp = (detail: string) => {
        attempt.givenUp = true;
        resolve({kind: 'undecided', detail});
      };
      const timer = this.clock.setTimer(
        this.settings.decideWithinMilliseconds,
        () => giveUp('the table did not answer in time'),
      );
      const cancelled = token.onDidCancel(() => giveUp('no longer wanted'));
      void decided.then(decision => {
        timer.dispose();
        cancelled.dispose();
        resolve(decision);
      });
    });
  }

  private async decide(attempt: Attempt): Promise<PlainDecision> {
    const insertion = await this.inserter.insert(attempt);
    const {keyHash, record} = attempt;
    if (insertion.kind === 'held') {
      const condition: RowCondition = {
        kind: 'version',
        version: insertion.version,
      };
      if (attempt.givenUp) {
        this.close(keyHash, record, condition, abandonedOutcome);
        return {kind: 'undecided', detail: 'decided too late'};
      }
      this.active.set(keyHash, {kind: 'running', record, condition});
      return {kind: 'granted'};
    }
    if (insertion.kind === 'other') {
      this.active.delete(keyHash);
      return decisionFor(insertion.row, record.fingerprint);
    }
    if (attempt.mayHaveLanded) {
      this.close(keyHash, record, attempt.condition, abandonedOutcome);
    } else {
      this.active.delete(keyHash);
    }
    return {kind: 'undecided', detail: insertion.detail};
  }

  /** Records that nothing ran; until that is done the key stays occupied here. */
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

/** What a row of another attempt says. */
function decisionFor(
  row: TableRow,
  fingerprint: string | undefined,
): PlainDecision {
  const record = parseClaimRecord(row);
  if (record === undefined) {
    return {kind: 'duplicate', outcome: {kind: 'unknown'}};
  }
  const {incarnation, outcome} = record;
  return outcome === undefined
    ? (refuseReuse(record.fingerprint, fingerprint) ?? {
        kind: 'claimedBy',
        incarnation,
      })
    : duplicateOf({outcome, fingerprint: record.fingerprint}, fingerprint);
}
