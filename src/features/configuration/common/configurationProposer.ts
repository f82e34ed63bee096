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
  SNAPSHOT_INTERVAL_REVISIONS,
} from './configurationStore.js';
import {Proposal} from './operationSchemas.js';

const CALL_TIMEOUT_MILLISECONDS = 2_000;
const RESOLVE_ATTEMPTS = 5;
const RESOLVE_DELAY_MILLISECONDS = 200;

/** Generates a unique nonce for a proposal. */
export type NonceGenerator = () => string;

/** Commits proposals by compare-and-set on the head row and resolves uncertain outcomes. */
export class ConfigurationProposer {
  constructor(
    private readonly store: ConfigurationStore,
    private readonly reader: ConfigurationReader,
    private readonly replica: ConfigurationReplica,
    private readonly clock: Clock,
    private readonly nonce: NonceGenerator,
    private readonly logger: Logger,
  ) {}

  async propose(
    proposal: Proposal,
    operator: string,
    token: CancellationToken,
  ): Promise<ProposalResult> {
    const headRead = await this.reader.readHead(token);
    if (!headRead.ok) {
      return failure(toUnavailable(headRead.error));
    }
    const head = headRead.value.head;
    const expected = proposal.expectedRevision;
    if (expected !== undefined && expected !== head.revision) {
      return this.readConflict(head.revision, token);
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
      return failure(toUnavailable(outcome.error));
    }
    if (outcome.ok && outcome.value.kind === 'committed') {
      return this.applyAccepted(revision);
    }
    return this.resolveOutcome(head, revision);
  }

  /**
   * Resolves the outcome of an uncertain commit by reading the revision row back. While the row is absent, the write
   * may still be in flight; rewriting the head row then makes its condition fail permanently.
   */
  private async resolveOutcome(
    head: ConfigurationHead,
    revision: ConfigurationRevision,
  ): Promise<ProposalResult> {
    for (let attempt = 0; attempt < RESOLVE_ATTEMPTS; attempt++) {
      if (attempt > 0) {
        await this.pause(RESOLVE_DELAY_MILLISECONDS * attempt);
      }
      const row = await this.call(undefined, call =>
        this.store.readRevision(revision.revision, call),
      );
      if (row.ok && row.value !== undefined) {
        return this.compareWithStored(revision, row.value);
      }
      if (row.ok && (await this.fenceHead(head, revision))) {
        return failure({
          kind: 'unavailable',
          detail:
            'the head row moved or the change was lost; it is not accepted',
        });
      }
    }
    return failure({kind: 'outcomeUnknown', nonce: revision.nonce});
  }

  private compareWithStored(
    proposed: ConfigurationRevision,
    stored: ConfigurationRevision,
  ): ProposalResult {
    if (stored.nonce === proposed.nonce) {
      return this.applyAccepted(stored);
    }
    return failure({
      kind: 'conflict',
      winningRevision: stored.revision,
      operator: stored.operator,
    });
  }

  private async fenceHead(
    previous: ConfigurationHead,
    revision: ConfigurationRevision,
  ): Promise<boolean> {
    const head = await this.call(undefined, call => this.store.readHead(call));
    if (!head.ok || head.value.revision >= revision.revision) {
      return false;
    }
    if (head.value.rowVersion !== previous.rowVersion) {
      return true;
    }
    const fenced = await this.call(undefined, call =>
      this.store.rewriteHead(head.value, call),
    );
    return fenced.ok && fenced.value.kind === 'committed';
  }

  private applyAccepted(revision: ConfigurationRevision): ProposalResult {
    this.replica.applyRevisions([revision]);
    this.logger.decision('configurationAccepted', {
      revision: revision.revision,
      operator: revision.operator,
      operations: revision.operations.length,
    });
    return success(revision);
  }

  private async readConflict(
    revision: number,
    token: CancellationToken,
  ): Promise<ProposalResult> {
    const row = await this.store.readRevision(revision, token);
    if (!row.ok) {
      return failure(toUnavailable(row.error));
    }
    return failure({
      kind: 'conflict',
      winningRevision: revision,
      operator: row.value?.operator ?? '',
    });
  }

  /** Writes a snapshot if one is due at this revision; returns whether it was written. */
  async snapshotIfDue(
    revision: number,
    token: CancellationToken,
  ): Promise<Result<boolean, StorageError>> {
    const current = this.replica.current;
    if (
      revision % SNAPSHOT_INTERVAL_REVISIONS !== 0 ||
      current.revision < revision
    ) {
      return success(false);
    }
    const written = await this.store.writeSnapshot(current, token);
    return written.ok ? success(true) : written;
  }

  /** Limits the duration of a call. Calls that resolve an outcome have no parent, so that they outlive the request. */
  private call<T>(
    parent: CancellationToken | undefined,
    call: (token: CancellationToken) => Promise<T>,
  ): Promise<T> {
    return withDeadline(this.clock, parent, CALL_TIMEOUT_MILLISECONDS, call);
  }

  private pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.setTimer(milliseconds, resolve);
    });
  }
}

function toUnavailable(error: StorageError): ProposalError {
  const detail =
    error.kind === 'rateLimited'
      ? `the table is rate-limited; come back in ${error.retryAfterMilliseconds} ms`
      : error.detail;
  return {kind: 'unavailable', detail};
}
