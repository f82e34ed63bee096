import {CancellationToken} from '../../../base/common/cancellation.js';
import {TableService} from '../../../infrastructure/table/common/tableService.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {claimRowKey, isNotRun, parseClaimRecord} from './claimRecord.js';
import {ClaimDecision} from './claimService.js';
import {decideDuplicate} from './fingerprints.js';
import {OutcomeFinder} from './outcomeFinder.js';
import {PlainKeyClaimer} from './plainKeyClaimer.js';

const UNKNOWN: RequestOutcome = {kind: 'unknown'};
const UNDECIDED_RETRY_MILLISECONDS = 1000;
/** Claims for one request, when each finds an attempt that ends as not run. */
const MAX_CLAIMS = 3;

/** Claims and looks up plain keys, and asks other instances for outcomes that are not in the table. */
export class PlainKeyResolver {
  constructor(
    private readonly claims: PlainKeyClaimer,
    private readonly finder: OutcomeFinder,
    private readonly table: TableService,
  ) {}

  /** Claims a key; for a key that was claimed before, finds its outcome. */
  async claim(
    keyHash: string,
    token: CancellationToken,
    fingerprint: string | undefined,
  ): Promise<ClaimDecision> {
    for (let count = 0; count < MAX_CLAIMS; count++) {
      const decision = await this.claimOnce(keyHash, token, fingerprint);
      const isFree =
        decision.kind === 'duplicate' && isNotRun(decision.outcome);
      if (!isFree) {
        return decision;
      }
      // Another instance closed its attempt as not run in the meantime, so the key can be claimed again.
    }
    return {
      kind: 'undecided',
      detail: 'other attempts were closed as not run meanwhile',
      retryAfterMilliseconds: UNDECIDED_RETRY_MILLISECONDS,
    };
  }

  private async claimOnce(
    keyHash: string,
    token: CancellationToken,
    fingerprint: string | undefined,
  ): Promise<ClaimDecision> {
    const decision = await this.claims.claim(keyHash, token, fingerprint);
    switch (decision.kind) {
      case 'granted':
      case 'keyReused':
        return decision;
      case 'duplicate':
        return {
          kind: 'duplicate',
          outcome: await this.finder.withRecordedResponse(
            keyHash,
            decision.outcome,
            token,
          ),
        };
      case 'claimedBy': {
        const {incarnation} = decision;
        const state = await this.finder.askPlainKeyOwner(
          keyHash,
          incarnation,
          token,
        );
        return decideDuplicate(state, fingerprint);
      }
      case 'undecided':
        return {
          ...decision,
          retryAfterMilliseconds: UNDECIDED_RETRY_MILLISECONDS,
        };
    }
  }

  /** The outcome of a key; undefined if the key was never claimed. */
  async lookUp(
    keyHash: string,
    token: CancellationToken,
  ): Promise<RequestOutcome | undefined> {
    const known = this.claims.stateOf(keyHash)?.outcome;
    if (known !== undefined && known.kind !== 'unknown') {
      return this.finder.withRecordedResponse(keyHash, known, token);
    }
    const rows = await this.table.read([claimRowKey(keyHash)], token);
    if (!rows.ok) {
      return UNKNOWN;
    }
    const row = rows.value[0];
    if (row === undefined) {
      return known;
    }
    const record = parseClaimRecord(row);
    if (record === undefined) {
      return UNKNOWN;
    }
    if (record.outcome !== undefined) {
      return record.outcome;
    }
    const {incarnation} = record;
    return (await this.finder.askPlainKeyOwner(keyHash, incarnation, token))
      .outcome;
  }
}
