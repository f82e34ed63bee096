import {CancellationToken} from '../../../base/common/cancellation.js';
import {ClaimDecision, ClaimService} from '../../claims/common/claimService.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {
  actionForClaim,
  ClaimAction,
  IncarnationAddressResolver,
} from '../common/claimActions.js';

/** An idempotency key to claim before the request is dispatched. */
export interface ClaimedKey {
  readonly clientAccount: string;
  readonly key: string;
  /** Fingerprint of the request that uses the key. */
  readonly fingerprint: string;
}

/** Dependencies of {@link KeyClaim}. */
export interface KeyClaimDependencies {
  readonly claims: ClaimService;
  readonly addressOf: IncarnationAddressResolver;
  /** Reports internal errors; errors of callers are never reported here. */
  readonly onUnexpectedError: (error: unknown) => void;
}

const INTERNAL_ERROR_RETRY_MILLISECONDS = 1000;

/** The claim of one request on its idempotency key. Records the outcome of a granted claim exactly once. */
export class KeyClaim {
  private isOutcomePending = false;

  constructor(
    private readonly claimedKey: ClaimedKey,
    private readonly services: KeyClaimDependencies,
  ) {}

  /** Requests the key and returns what to do with the request. */
  async decide(token: CancellationToken): Promise<ClaimAction> {
    const decision = await this.claim(token);
    this.isOutcomePending = decision.kind === 'granted';
    return actionForClaim(decision, this.services.addressOf);
  }

  /** Records the outcome of a granted key; later calls have no effect. */
  record(outcome: RequestOutcome): void {
    if (!this.isOutcomePending) {
      return;
    }
    this.isOutcomePending = false;
    const {clientAccount, key} = this.claimedKey;
    this.services.claims.complete(clientAccount, key, outcome);
  }

  private async claim(token: CancellationToken): Promise<ClaimDecision> {
    try {
      const {clientAccount, key, fingerprint} = this.claimedKey;
      const {claims} = this.services;
      return await claims.claim(clientAccount, key, token, fingerprint);
    } catch (error) {
      this.services.onUnexpectedError(error);
      return {
        kind: 'undecided',
        detail: 'internal error',
        retryAfterMilliseconds: INTERNAL_ERROR_RETRY_MILLISECONDS,
      };
    }
  }
}
