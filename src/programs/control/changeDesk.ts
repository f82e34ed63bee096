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
  Handover,
  PeerExchanger,
} from '../../features/peers/common/peerExchanger.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';

const HANDOVER_MILLISECONDS = 2_000;
const SNAPSHOT_MILLISECONDS = 5_000;
const NO_MAJORITY =
  'this instance reaches no majority of the listed instances; a change could not be made known';

/** The outcome of a proposal and how far it was handed on. */
export interface ProposalReport {
  readonly result: ProposalResult;
  readonly handover: Handover | undefined;
}

/** Takes proposals: makes sure that a majority can be told, commits, and tells all peers. */
export class ChangeDesk implements Disposable {
  private readonly lifetime = new CancellationSource();

  constructor(
    private readonly log: ConfigurationStore,
    private readonly proposer: ConfigurationProposer,
    private readonly exchanger: PeerExchanger,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Proposes a change and hands an accepted one to all peers. */
  async propose(
    proposal: Proposal,
    operator: string,
    token: CancellationToken,
  ): Promise<ProposalReport> {
    if (!(await this.canInformMajority())) {
      const error = {kind: 'unavailable', detail: NO_MAJORITY} as const;
      return {result: failure(error), handover: undefined};
    }
    const result = await this.proposer.propose(proposal, operator, token);
    if (!result.ok) {
      return {result, handover: undefined};
    }
    const handover = await this.handOver([result.value]);
    void this.writeSnapshot(result.value.revision);
    return {result, handover};
  }

  /** Reads up to 100 revisions after one from the log; undefined when the table can't be read. */
  async readLog(
    after: number,
    token: CancellationToken,
  ): Promise<readonly ConfigurationRevision[] | undefined> {
    const rows = await this.log.readAfter(after, token);
    return rows.ok ? rows.value : undefined;
  }

  /** Tells all peers of this instance's record and of new revisions. */
  handOver(revisions: readonly ConfigurationRevision[]): Promise<Handover> {
    return withDeadline(
      this.clock,
      this.lifetime.token,
      HANDOVER_MILLISECONDS,
      token => this.exchanger.broadcast(revisions, token),
    );
  }

  dispose(): void {
    this.lifetime.cancel('stopped');
  }

  /**
   * A majority that can't reach the table goes on with the revision that it holds, so a change
   * that no majority can be told of must not be accepted.
   */
  private async canInformMajority(): Promise<boolean> {
    const {acknowledged, listed} = await this.handOver([]);
    return acknowledged * 2 > listed;
  }

  private async writeSnapshot(revision: number): Promise<void> {
    const written = await withDeadline(
      this.clock,
      this.lifetime.token,
      SNAPSHOT_MILLISECONDS,
      token => this.proposer.snapshotIfDue(revision, token),
    );
    if (!written.ok) {
      const {error} = written;
      this.logger.warn('snapshot not written', {revision, error});
    }
  }
}
