import {CancellationToken} from '../../../base/common/cancellation.js';
import {TableService} from '../../../infrastructure/table/common/tableService.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {claimRowKey, parseClaimRecord} from './claimRecord.js';
import {ClaimDecision} from './claims.js';
import {duplicateOf} from './fingerprints.js';
import {OutcomeFinder} from './outcomeFinder.js';
import {PlainClaims} from './plainClaims.js';

const UNKNOWN: RequestOutcome = {kind: 'unknown'};
const RETRY_MILLISECONDS = 1000;

/** Answers for plain keys, with the outcomes that other instances know. */
export class PlainKeyAnswers {
  constructor(
    private readonly claims: PlainClaims,
    private readonly finder: OutcomeFinder,
    private readonly table: TableService,
  ) {}

  /** Claims a key, and finds the outcome of one that was claimed before. */
  async claim(
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
          outcome: await this.finder.withKeptReply(
            keyHash,
            decision.outcome,
            token,
          ),
        };
      case 'claimedBy': {
        const {incarnation} = decision;
        const held = await this.finder.askPlain(keyHash, incarnation, token);
        return duplicateOf(held, fingerprint);
      }
      case 'undecided':
        return {...decision, retryAfterMilliseconds: RETRY_MILLISECONDS};
    }
  }

  /** What is known of a key; undefined if it was never claimed. */
  async lookUp(
    keyHash: string,
    token: CancellationToken,
  ): Promise<RequestOutcome | undefined> {
    const known = this.claims.outcomeOf(keyHash)?.outcome;
    if (known !== undefined && known.kind !== 'unknown') {
      return this.finder.withKeptReply(keyHash, known, token);
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
    return (await this.finder.askPlain(keyHash, incarnation, token)).outcome;
  }
}
