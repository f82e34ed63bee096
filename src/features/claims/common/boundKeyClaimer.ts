import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {BoundKeyRegistry} from './boundKeyRegistry.js';
import {AskResponse} from './claimPeers.js';
import {isNotRun, limitBodySize} from './claimRecord.js';
import {ClaimDecision} from './claimService.js';
import {checkKeyReuse} from './fingerprints.js';
import {ClaimSettings} from './claimSettings.js';
import {
  BoundKeyBinding,
  RemoteOutcome,
  OutcomeFinder,
} from './outcomeFinder.js';
import {OutcomeRecorder} from './outcomeRecorder.js';

const UNKNOWN: RequestOutcome = {kind: 'unknown'};

/** Claims keys that are bound to an incarnation: from memory for this incarnation, else by asking the other one. */
export class BoundKeyClaimer {
  private readonly keys: BoundKeyRegistry;
  /** Wall time at monotonic zero. Taken only once, because the time that is derived from it must not go back. */
  private readonly wallOffsetMilliseconds: number;

  constructor(
    private readonly finder: OutcomeFinder,
    private readonly recorder: OutcomeRecorder,
    private readonly clock: Clock,
    private readonly incarnation: string,
    private readonly settings: ClaimSettings,
  ) {
    this.keys = new BoundKeyRegistry(settings);
    this.wallOffsetMilliseconds =
      clock.wallMilliseconds() - clock.monotonicMilliseconds();
  }

  /** Start time plus elapsed monotonic time; used to set and check the expiry of this incarnation's grants. */
  steadyWallMilliseconds(): number {
    return this.wallOffsetMilliseconds + this.clock.monotonicMilliseconds();
  }

  claim(
    keyHash: string,
    binding: BoundKeyBinding,
    token: CancellationToken,
    fingerprint?: string,
  ): Promise<ClaimDecision> {
    return binding.incarnation === this.incarnation
      ? this.claimLocal(keyHash, binding, token, fingerprint)
      : this.claimRemote(keyHash, binding, token, fingerprint);
  }

  /** Sets the outcome of a running key; false when the key is not running here. */
  complete(
    keyHash: string,
    binding: BoundKeyBinding,
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
    binding: BoundKeyBinding,
    token: CancellationToken,
  ): Promise<RequestOutcome | undefined> {
    if (binding.incarnation !== this.incarnation) {
      const remote = await this.finder.findRemoteOutcome(
        keyHash,
        binding,
        token,
      );
      return toLookUpResult(remote);
    }
    const expiresAt = binding.expiresAtWallMilliseconds;
    const known = this.keys.get(keyHash, expiresAt);
    if (known !== undefined) {
      return this.finder.withRecordedResponse(keyHash, known.outcome, token);
    }
    if (!this.keys.isRetentionOver(expiresAt, this.steadyWallMilliseconds())) {
      return undefined;
    }
    const recorded = await this.finder.readRecorded(keyHash, token);
    return recorded?.outcome ?? UNKNOWN;
  }

  /** Whether the key is bound to this incarnation and nothing ran or is running under it. */
  isProvenNotRun(keyHash: string, binding: BoundKeyBinding): boolean {
    if (binding.incarnation !== this.incarnation) {
      return false;
    }
    const response = this.answer(keyHash, binding.expiresAtWallMilliseconds);
    return (
      response.kind === 'notSeen' ||
      (response.kind === 'seen' && isNotRun(response.outcome))
    );
  }

  /** Answers a query about a key bound to this incarnation. */
  answer(keyHash: string, grantExpiresAt: number): AskResponse {
    const now = this.steadyWallMilliseconds();
    const known = this.keys.get(keyHash, grantExpiresAt);
    if (known !== undefined) {
      return {kind: 'seen', ...known};
    }
    return this.keys.isRetentionOver(grantExpiresAt, now)
      ? {kind: 'forgotten'}
      : {kind: 'notSeen', closed: now >= grantExpiresAt};
  }

  private async claimLocal(
    keyHash: string,
    binding: BoundKeyBinding,
    token: CancellationToken,
    fingerprint: string | undefined,
  ): Promise<ClaimDecision> {
    const expiresAt = binding.expiresAtWallMilliseconds;
    const now = this.steadyWallMilliseconds();
    const result = this.keys.tryClaim(keyHash, expiresAt, now, fingerprint);
    switch (result.kind) {
      case 'granted':
      case 'keyReused':
        return result;
      case 'seen':
        return {
          kind: 'duplicate',
          outcome: await this.finder.withRecordedResponse(
            keyHash,
            result.outcome,
            token,
          ),
        };
      case 'expired':
        return {kind: 'refusedNotRun', detail: 'the grant has expired'};
      case 'full':
        return {
          kind: 'noRoom',
          detail: 'this instance remembers as many keys as it may',
          retryAfterMilliseconds: result.retryAfterMilliseconds,
        };
      case 'forgotten':
        return this.decideAfterRetention(keyHash, token, fingerprint);
    }
  }

  private async decideAfterRetention(
    keyHash: string,
    token: CancellationToken,
    fingerprint: string | undefined,
  ): Promise<ClaimDecision> {
    const recorded = await this.finder.readRecorded(keyHash, token);
    return (
      checkKeyReuse(recorded?.fingerprint, fingerprint) ?? {
        kind: 'duplicate',
        outcome: recorded?.outcome ?? UNKNOWN,
      }
    );
  }

  private async claimRemote(
    keyHash: string,
    binding: BoundKeyBinding,
    token: CancellationToken,
    fingerprint: string | undefined,
  ): Promise<ClaimDecision> {
    const {incarnation} = binding;
    const remote = await this.finder.findRemoteOutcome(keyHash, binding, token);
    switch (remote.kind) {
      case 'closed':
        return {kind: 'refusedNotRun', detail: 'the grant has expired'};
      case 'notSeen':
      case 'notAsked':
        return {kind: 'heldElsewhere', incarnation, outcome: undefined};
      case 'outcome':
        return (
          checkKeyReuse(remote.fingerprint, fingerprint) ?? {
            kind: 'heldElsewhere',
            incarnation,
            outcome: omitNotRun(remote.outcome),
          }
        );
    }
  }

  /**
   * Must not be called with a `not run` outcome: the key can be granted again, and the row would then be
   * stale if this process ended before the new outcome was recorded.
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
        outcome: limitBodySize(outcome, recordedBodyLimit),
      },
      condition: {kind: 'any'},
      done: () => undefined,
    });
  }
}

/** Drops a `not run` outcome: the other incarnation may have granted the key again since it answered. */
function omitNotRun(outcome: RequestOutcome): RequestOutcome | undefined {
  return isNotRun(outcome) ? undefined : outcome;
}

/** Undefined only when the key's incarnation answered that it has not dispatched the key. */
function toLookUpResult(remote: RemoteOutcome): RequestOutcome | undefined {
  switch (remote.kind) {
    case 'outcome':
      return remote.outcome;
    case 'notAsked':
      return UNKNOWN;
    case 'notSeen':
    case 'closed':
      return undefined;
  }
}
