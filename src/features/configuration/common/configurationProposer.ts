import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Result, failure, success} from '../../../base/common/result.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {StorageError} from '../../../infrastructure/table/common/tableService.js';
import {withDeadline} from './callDeadline.js';
import {
  ConfigurationRevision,
  ProposalError,
  ProposalResult,
} from './configuration.js';
import {ConfigurationReader} from './configurationReader.js';
import {ConfigurationReplica} from './configurationReplica.js';
import {validateOperations} from './configurationRules.js';
import {
  ConfigurationHead,
  ConfigurationStore,
  SNAPSHOT_EVERY,
} from './configurationStore.js';
import {Proposal} from './operationSchemas.js';

const CALL_MILLISECONDS = 2_000;
const RESOLVE_ATTEMPTS = 5;
const RESOLVE_PAUSE_MILLISECONDS = 200;

/** Makes a nonce that no other proposal has. */
export type NonceSource = () => string;

/** Commits proposals by compare-and-set on the head row and finds out what became of them. */
export class ConfigurationProposer {
  constructor(
    private readonly store: ConfigurationStore,
    private readonly reader: ConfigurationReader,
    private readonly replica: ConfigurationReplica,
    private readonly clock: Clock,
    private readonly nonce: NonceSource,
    private readonly logger: Logger,
  ) {}

  async propose(
    proposal: Proposal,
    operator: string,
    token: CancellationToken,
  ): Promise<ProposalResult> {
    const reading = await this.reader.readHead(token);
    if (!reading.ok) {
      return failure(notAccepted(reading.error));
    }
    const head = reading.value.head;
    const expected = proposal.expectedRevision;
    if (expected !== undefined && expected !== head.revision) {
      return this.conflictAt(head.revision, token);
    }
    if (this.replica.current.revision !== head.revision) {
      return failure({
        kind: 'unavailable',
        detail: `this instance holds revision ${this.replica.current.revision}, the table ${head.revision}`,
      });
    }
    const findings = validateOperations(
      this.replica.current,
      proposal.operations,
    );
    if (findings.length > 0) {
      return failure({kind: 'invalid', findings});
    }
    return this.commit(head, proposal, operator, token);
  }

  private async commit(
    head: ConfigurationHead,
    proposal: Proposal,
    operator: string,
    token: CancellationToken,
  ): Promise<ProposalResult> {
    const revision: ConfigurationRevision = {
      revision: head.revision + 1,
      operations: proposal.operations,
      operator,
      nonce: this.nonce(),
      committedAtWallMilliseconds: this.clock.wallMilliseconds(),
    };
    const outcome = await this.call(token, call =>
      this.store.commit(head, revision, call),
    );
    if (!outcome.ok && outcome.error.kind !== 'outcomeUnknown') {
      return failure(notAccepted(outcome.error));
    }
    if (outcome.ok && outcome.value.kind === 'committed') {
      return this.accept(revision);
    }
    return this.resolve(head, revision);
  }

  /**
   * Finds out who won the revision number. While the row is absent, the lost write may still be
   * under way; rewriting the head row makes its condition fail for good.
   */
  private async resolve(
    head: ConfigurationHead,
    revision: ConfigurationRevision,
  ): Promise<ProposalResult> {
    for (let attempt = 0; attempt < RESOLVE_ATTEMPTS; attempt++) {
      if (attempt > 0) {
        await this.pause(RESOLVE_PAUSE_MILLISECONDS * attempt);
      }
      const row = await this.call(undefined, call =>
        this.store.readRevision(revision.revision, call),
      );
      if (row.ok && row.value !== undefined) {
        return this.decide(revision, row.value);
      }
      if (row.ok && (await this.fence(head, revision))) {
        return failure({
          kind: 'unavailable',
          detail:
            'the head row moved or the change was lost; it is not accepted',
        });
      }
    }
    return failure({kind: 'outcomeUnknown', nonce: revision.nonce});
  }

  private decide(
    ours: ConfigurationRevision,
    stored: ConfigurationRevision,
  ): ProposalResult {
    if (stored.nonce === ours.nonce) {
      return this.accept(stored);
    }
    return failure({
      kind: 'conflict',
      winningRevision: stored.revision,
      operator: stored.operator,
    });
  }

  private async fence(
    before: ConfigurationHead,
    revision: ConfigurationRevision,
  ): Promise<boolean> {
    const head = await this.call(undefined, call => this.store.readHead(call));
    if (!head.ok || head.value.revision >= revision.revision) {
      return false;
    }
    if (head.value.rowVersion !== before.rowVersion) {
      return true;
    }
    const fenced = await this.call(undefined, call =>
      this.store.rewriteHead(head.value, call),
    );
    return fenced.ok && fenced.value.kind === 'committed';
  }

  private accept(revision: ConfigurationRevision): ProposalResult {
    this.replica.applyRevisions([revision]);
    this.logger.decision('configurationAccepted', {
      revision: revision.revision,
      operator: revision.operator,
      operations: revision.operations.length,
    });
    return success(revision);
  }

  private async conflictAt(
    revision: number,
    token: CancellationToken,
  ): Promise<ProposalResult> {
    const row = await this.store.readRevision(revision, token);
    if (!row.ok) {
      return failure(notAccepted(row.error));
    }
    return failure({
      kind: 'conflict',
      winningRevision: revision,
      operator: row.value?.operator ?? '',
    });
  }

  /** Writes a snapshot when the revision calls for one. */
  async snapshotIfDue(
    revision: number,
    token: CancellationToken,
  ): Promise<Result<boolean, StorageError>> {
    const current = this.replica.current;
    if (revision % SNAPSHOT_EVERY !== 0 || current.revision < revision) {
      return success(false);
    }
    const written = await this.store.writeSnapshot(current, token);
    return written.ok ? success(true) : written;
  }

  /** Bounds a call; what settles a commit goes on when the operator is gone. */
  private call<T>(
    parent: CancellationToken | undefined,
    call: (token: CancellationToken) => Promise<T>,
  ): Promise<T> {
    return withDeadline(this.clock, parent, CALL_MILLISECONDS, call);
  }

  private pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.setTimer(milliseconds, resolve);
    });
  }
}

function notAccepted(error: StorageError): ProposalError {
  const detail =
    error.kind === 'rateLimited'
      ? `the table is rate-limited; come back in ${error.retryAfterMilliseconds} ms`
      : error.detail;
  return {kind: 'unavailable', detail};
}
