import {
  CancellationSource,
  CancellationToken,
} from '../../base/common/cancellation.js';
import {Clock} from '../../base/common/clock.js';
import {Disposable} from '../../base/common/lifecycle.js';
import {failure} from '../../base/common/result.js';
import {withDeadline} from '../../features/configuration/common/callDeadline.js';
import {
  ConfigurationRevision,
  ProposalResult,
} from '../../features/configuration/common/configuration.js';
import {ConfigurationProposer} from '../../features/configuration/common/configurationProposer.js';
import {ConfigurationStore} from '../../features/configuration/common/configurationStore.js';
import {Proposal} from '../../features/configuration/common/operationSchemas.js';
import {
  NoticeCoverage,
  PeerExchanger,
} from '../../features/peers/common/peerExchanger.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';

const BROADCAST_TIMEOUT_MILLISECONDS = 2_000;
const SNAPSHOT_TIMEOUT_MILLISECONDS = 5_000;
const NO_MAJORITY_DETAIL =
  'this instance reaches no majority of the listed instances; a change could not be made known';

/** The outcome of a proposal and, if it was accepted, of its broadcast to the peers. */
export interface ProposalReport {
  readonly result: ProposalResult;
  readonly handover: NoticeCoverage | undefined;
}

/** Handles proposals: checks that a majority of instances is reachable, commits, and notifies all peers. */
export class ProposalCoordinator implements Disposable {
  private readonly lifetime = new CancellationSource();

  constructor(
    private readonly log: ConfigurationStore,
    private readonly proposer: ConfigurationProposer,
    private readonly exchanger: PeerExchanger,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Proposes a change and, if it is accepted, broadcasts it to all peers. */
  async propose(
    proposal: Proposal,
    operator: string,
    token: CancellationToken,
  ): Promise<ProposalReport> {
    if (!(await this.canReachMajority())) {
      const error = {kind: 'unavailable', detail: NO_MAJORITY_DETAIL} as const;
      return {result: failure(error), handover: undefined};
    }
    const result = await this.proposer.propose(proposal, operator, token);
    if (!result.ok) {
      return {result, handover: undefined};
    }
    const handover = await this.broadcast([result.value]);
    void this.writeSnapshot(result.value.revision);
    return {result, handover};
  }

  /** Reads up to 100 revisions after a given one from the log; undefined if the table cannot be read. */
  async readLog(
    after: number,
    token: CancellationToken,
  ): Promise<readonly ConfigurationRevision[] | undefined> {
    const rows = await this.log.readAfter(after, token);
    return rows.ok ? rows.value : undefined;
  }

  /** Sends this instance's record and new revisions to all peers. */
  broadcast(
    revisions: readonly ConfigurationRevision[],
  ): Promise<NoticeCoverage> {
    return withDeadline(
      this.clock,
      this.lifetime.token,
      BROADCAST_TIMEOUT_MILLISECONDS,
      token => this.exchanger.broadcast(revisions, token),
    );
  }

  dispose(): void {
    this.lifetime.cancel('stopped');
  }

  /**
   * A majority without access to the table keeps serving its current revision, so a change is accepted only if a
   * majority can be notified of it.
   */
  private async canReachMajority(): Promise<boolean> {
    const {acknowledged, listed} = await this.broadcast([]);
    return acknowledged * 2 > listed;
  }

  private async writeSnapshot(revision: number): Promise<void> {
    const written = await withDeadline(
      this.clock,
      this.lifetime.token,
      SNAPSHOT_TIMEOUT_MILLISECONDS,
      token => this.proposer.snapshotIfDue(revision, token),
    );
    if (!written.ok) {
      const {error} = written;
      this.logger.warn('snapshot not written', {revision, error});
    }
  }
}
