import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {BoundKeys} from './boundKeys.js';
import {AskAnswer} from './claimPeers.js';
import {boundOutcome, isNotRun} from './claimRecord.js';
import {ClaimDecision} from './claims.js';
import {refuseReuse} from './fingerprints.js';
import {ClaimSettings} from './claimSettings.js';
import {BoundBinding, ForeignOutcome, OutcomeFinder} from './outcomeFinder.js';
import {OutcomeRecorder} from './outcomeRecorder.js';

const UNKNOWN: RequestOutcome = {kind: 'unknown'};

/**
 * Claims of keys that are bound to an incarnation. This incarnation decides about its own from
 * memory; about others it asks.
 */
export class BoundClaims {
  private readonly keys: BoundKeys;
  /** Wall time at monotonic zero, taken once: the own time must not go back. */
  private readonly wallOffset: number;

  constructor(
    private readonly finder: OutcomeFinder,
    private readonly recorder: OutcomeRecorder,
    private readonly clock: Clock,
    private readonly incarnation: string,
    private readonly settings: ClaimSettings,
  ) {
    this.keys = new BoundKeys(settings);
    this.wallOffset = clock.wallMilliseconds() - clock.monotonicMilliseconds();
  }

  /** Wall time as this incarnation counts it: it issues and judges its own grants by it. */
  ownTime(): number {
    return this.wallOffset + this.clock.monotonicMilliseconds();
  }

  claim(
    keyHash: string,
    binding: BoundBinding,
    token: CancellationToken,
    fingerprint?: string,
  ): Promise<ClaimDecision> {
    return binding.incarnation === this.incarnation
      ? this.claimOwn(keyHash, binding, token, fingerprint)
      : this.claimForeign(keyHash, binding, token, fingerprint);
  }

  /** Ends a running key; false when it isn't running here. */
  complete(
    keyHash: string,
    binding: BoundBinding,
    outcome: RequestOutcome,
  ): boolean {
    const expiresAt = binding.expiresAtWallMilliseconds;
    const known = this.keys.get(keyHash, expiresAt);
    if (
      binding.incarnation !== this.incarnation ||
      !this.keys.end(keyHash, expiresAt, outcome)
    ) {
      return false;
    }
    if (!isNotRun(outcome)) {
      this.record(keyHash, outcome, known?.fingerprint);
    }
    return true;
  }

  async lookUp(
    keyHash: string,
    binding: BoundBinding,
    token: CancellationToken,
  ): Promise<RequestOutcome | undefined> {
    if (binding.incarnation !== this.incarnation) {
      const foreign = await this.finder.foreignOutcome(keyHash, binding, token);
      return lookedUp(foreign);
    }
    const expiresAt = binding.expiresAtWallMilliseconds;
    const known = this.keys.get(keyHash, expiresAt);
    if (known !== undefined) {
      return this.finder.withKeptReply(keyHash, known.outcome, token);
    }
    if (!this.keys.isForgotten(expiresAt, this.ownTime())) {
      return undefined;
    }
    const recorded = await this.finder.recorded(keyHash, token);
    return recorded?.outcome ?? UNKNOWN;
  }

  /** Whether the key is this incarnation's own and surely nothing ran or is running under it. */
  isSurelyNotRun(keyHash: string, binding: BoundBinding): boolean {
    if (binding.incarnation !== this.incarnation) {
      return false;
    }
    const answer = this.answer(keyHash, binding.expiresAtWallMilliseconds);
    return (
      answer.kind === 'notSeen' ||
      (answer.kind === 'seen' && isNotRun(answer.outcome))
    );
  }

  /** What this incarnation says of one of its own keys. */
  answer(keyHash: string, grantExpiresAt: number): AskAnswer {
    const now = this.ownTime();
    const known = this.keys.get(keyHash, grantExpiresAt);
    if (known !== undefined) {
      return {kind: 'seen', ...known};
    }
    return this.keys.isForgotten(grantExpiresAt, now)
      ? {kind: 'forgotten'}
      : {kind: 'notSeen', closed: now >= grantExpiresAt};
  }

  private async claimOwn(
    keyHash: string,
    binding: BoundBinding,
    token: CancellationToken,
    fingerprint: string | undefined,
  ): Promise<ClaimDecision> {
    const expiresAt = binding.expiresAtWallMilliseconds;
    const now = this.ownTime();
    const take = this.keys.take(keyHash, expiresAt, now, fingerprint);
    switch (take.kind) {
      case 'granted':
      case 'keyReused':
        return take;
      case 'seen':
        return {
          kind: 'duplicate',
          outcome: await this.finder.withKeptReply(
            keyHash,
            take.outcome,
            token,
          ),
        };
      case 'expired':
        return {kind: 'refusedNotRun', detail: 'the grant has expired'};
      case 'full':
        return {
          kind: 'noRoom',
          detail: 'this instance remembers as many keys as it may',
          retryAfterMilliseconds: take.retryAfterMilliseconds,
        };
      case 'forgotten':
        return this.claimForgotten(keyHash, token, fingerprint);
    }
  }

  private async claimForgotten(
    keyHash: string,
    token: CancellationToken,
    fingerprint: string | undefined,
  ): Promise<ClaimDecision> {
    const recorded = await this.finder.recorded(keyHash, token);
    return (
      refuseReuse(recorded?.fingerprint, fingerprint) ?? {
        kind: 'duplicate',
        outcome: recorded?.outcome ?? UNKNOWN,
      }
    );
  }

  private async claimForeign(
    keyHash: string,
    binding: BoundBinding,
    token: CancellationToken,
    fingerprint: string | undefined,
  ): Promise<ClaimDecision> {
    const {incarnation} = binding;
    const foreign = await this.finder.foreignOutcome(keyHash, binding, token);
    switch (foreign.kind) {
      case 'closed':
        return {kind: 'refusedNotRun', detail: 'the grant has expired'};
      case 'notSeen':
      case 'notAsked':
        return {kind: 'heldElsewhere', incarnation, outcome: undefined};
      case 'outcome':
        return (
          refuseReuse(foreign.fingerprint, fingerprint) ?? {
            kind: 'heldElsewhere',
            incarnation,
            outcome: unlessNotRun(foreign.outcome),
          }
        );
    }
  }

  /**
   * Outcomes that say `not run` are kept out of the table: the key may be granted again here, and
   * the row would be out of date if this process then ended.
   */
  private record(
    keyHash: string,
    outcome: RequestOutcome,
    fingerprint: string | undefined,
  ): void {
    const {clock, incarnation} = this;
    const {recordedBodyLimit, rowRetentionMilliseconds} = this.settings;
    this.recorder.record({
      keyHash,
      record: {
        nonce: `bound-${keyHash}`,
        incarnation,
        expiresAt: clock.wallMilliseconds() + rowRetentionMilliseconds,
        fingerprint,
        outcome: boundOutcome(outcome, recordedBodyLimit),
      },
      condition: {kind: 'any'},
      done: () => undefined,
    });
  }
}

/** Its incarnation may grant the key again, so that `not run` may be out of date when it arrives. */
function unlessNotRun(outcome: RequestOutcome): RequestOutcome | undefined {
  return isNotRun(outcome) ? undefined : outcome;
}

/** Undefined only when the incarnation itself says that it has not dispatched the key. */
function lookedUp(foreign: ForeignOutcome): RequestOutcome | undefined {
  switch (foreign.kind) {
    case 'outcome':
      return foreign.outcome;
    case 'notAsked':
      return UNKNOWN;
    case 'notSeen':
    case 'closed':
      return undefined;
  }
}
