import {CancellationToken} from '../../../base/common/cancellation.js';
import {ClaimDecision, ClaimService} from '../../claims/common/claims.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {
  answerForClaim,
  ClaimAnswer,
  IncarnationAddress,
} from '../common/claimAnswers.js';

/** The key that is claimed before anything is dispatched. */
export interface ClaimedKey {
  readonly clientAccount: string;
  readonly key: string;
  /** What the key stands for. */
  readonly fingerprint: string;
}

/** What a claim works with. */
export interface KeyClaimServices {
  readonly claims: ClaimService;
  readonly addressOf: IncarnationAddress;
  /** Told of faults in our own code; never of a caller's. */
  readonly onUnexpected: (error: unknown) => void;
}

const RETRY_MILLISECONDS = 1000;

/** The claim of one request on its key; its outcome is recorded once, and only when it was granted. */
export class KeyClaim {
  private outstanding = false;

  constructor(
    private readonly claimed: ClaimedKey,
    private readonly services: KeyClaimServices,
  ) {}

  /** Asks for the key and says what to answer. */
  async decide(token: CancellationToken): Promise<ClaimAnswer> {
    const decision = await this.ask(token);
    this.outstanding = decision.kind === 'granted';
    return answerForClaim(decision, this.services.addressOf);
  }

  /** Records the outcome of a granted key; later calls have no effect. */
  record(outcome: RequestOutcome): void {
    if (!this.outstanding) {
      return;
    }
    this.outstanding = false;
    const {clientAccount, key} = this.claimed;
    this.services.claims.complete(clientAccount, key, outcome);
  }

  private async ask(token: CancellationToken): Promise<ClaimDecision> {
    try {
      const {clientAccount, key, fingerprint} = this.claimed;
      const {claims} = this.services;
      return await claims.claim(clientAccount, key, token, fingerprint);
    } catch (error) {
      this.services.onUnexpected(error);
      return {
        kind: 'undecided',
        detail: 'internal error',
        retryAfterMilliseconds: RETRY_MILLISECONDS,
      };
    }
  }
}
