import {ClaimDecision, ClaimService} from '../../claims/common/claimService.js';
import {RequestOutcome} from '../../requests/common/request.js';

/** Baseline for comparison: grants every key and stores no outcomes. */
export class NaiveClaimService extends ClaimService {
  override claim(): Promise<ClaimDecision> {
    return Promise.resolve({kind: 'granted'});
  }

  override complete(): void {}

  override findOutcome(): Promise<RequestOutcome | undefined> {
    return Promise.resolve(undefined);
  }

  override isProvenNotRun(): boolean {
    return true;
  }

  override issueGrant(): string {
    return '';
  }
}
