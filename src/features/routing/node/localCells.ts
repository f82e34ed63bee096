import {Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {EngineConnector} from '../../../infrastructure/engine/common/engineConnection.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {
  emptyConfiguration,
  Configuration,
} from '../../configuration/common/configuration.js';
import {SystemView} from '../../membership/common/systemView.js';
import {
  CellAuthority,
  FailureMessage,
  ReleaseMessage,
  ReplanRequest,
  ReserveResponse,
  ReserveRequest,
  SummaryMessage,
} from '../common/cellMessages.js';
import {CellMap} from '../common/cellMap.js';
import {RoutingPolicy} from '../common/routing.js';
import {HealthChange} from '../common/upstreamHealthTracker.js';
import {CellDirectory} from './cellDirectory.js';
import {CellOwner} from './cellOwner.js';
import {ReportPoller} from './reportPoller.js';
import {StageRegistry} from './stageRegistry.js';
import {UpstreamJoinTracker} from '../common/upstreamJoinTracker.js';

/** Collaborators of the local cells. */
export interface LocalCellsDependencies {
  readonly instanceId: string;
  readonly connector: EngineConnector;
  readonly policy: RoutingPolicy;
  readonly directory: CellDirectory;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

interface HeldCell {
  readonly owner: CellOwner;
  /** Monotonic milliseconds of the last call, or of the last view in which this process owned the cell. */
  lastNeededAt: number;
}

/** Idle time after which a cell that another instance owns is dropped. */
const FOREIGN_CELL_IDLE_MILLISECONDS = 10000;
/** Cells of other owners that are held at once. */
const MAX_FOREIGN_CELLS = 64;
const HOUSEKEEPING_INTERVAL_MILLISECONDS = 1000;
const FIRST_REPORT_TIMEOUT_MILLISECONDS = 150;
/** Summaries of other cells added to each response. */
const OTHER_CELL_SUMMARIES = 2;
/** Most summaries in the response to a call of `summaries`. */
const MAX_SUMMARIES = 32;

/** The cells that this process owns, or decides for because a peer asked it to or no owner answered. */
export class LocalCells extends CellAuthority {
  private readonly held = new Map<string, HeldCell>();
  private readonly registry: StageRegistry;
  private readonly poller: ReportPoller;
  private readonly upstreamJoins = new UpstreamJoinTracker();
  private cells = CellMap.empty;
  private configuration: Configuration = emptyConfiguration;
  private housekeepingTimer: Disposable | undefined;

  constructor(private readonly dependencies: LocalCellsDependencies) {
    super();
    const {connector, clock, random, metrics} = dependencies;
    this.registry = new StageRegistry(change =>
      this.handleHealthChange(change),
    );
    this.poller = this.register(
      new ReportPoller(this.registry, connector, clock, random, metrics),
    );
    this.poller.start();
    this.scheduleHousekeeping();
  }

  /** Applies a new system view: takes over the cells that it owns now and drops those that no longer exist. */
  update(view: SystemView, cells: CellMap): void {
    this.configuration = view.configuration;
    this.cells = cells;
    const now = this.now();
    this.upstreamJoins.update(view.upstreams, now);
    for (const id of cells.ownedBy(this.dependencies.instanceId)) {
      this.holdCell(id, now);
    }
    for (const [id, held] of this.held) {
      const cell = cells.get(id);
      if (cell === undefined) {
        this.held.delete(id);
      } else {
        held.owner.update(cell);
      }
    }
    this.trackEngines(now);
  }

  override async reserve(call: ReserveRequest): Promise<ReserveResponse> {
    const owner = await this.prepareOwner(call);
    return owner === undefined
      ? refuseUnknownCell()
      : this.addOtherSummaries(
          call,
          owner.reserve(call, this.configuration, this.now()),
        );
  }

  override async replan(call: ReplanRequest): Promise<ReserveResponse> {
    const owner = await this.prepareOwner(call);
    return owner === undefined
      ? refuseUnknownCell()
      : this.addOtherSummaries(
          call,
          owner.replan(call, this.configuration, this.now()),
        );
  }

  override release(releases: readonly ReleaseMessage[]): void {
    const now = this.now();
    for (const {cell, reservationId, observations} of releases) {
      for (const observation of observations) {
        this.registry.observe(observation, now);
      }
      this.held.get(cell)?.owner.release(reservationId, now);
    }
  }

  override reportFailure(failure: FailureMessage): void {
    this.registry.observe(failure.observation, this.now());
  }

  override async summaries(
    model: string | undefined,
  ): Promise<readonly SummaryMessage[]> {
    this.updateDirectory();
    return this.dependencies.directory.summariesToShare(model, MAX_SUMMARIES);
  }

  /** Ids of the held cells, owned by this process or not. */
  get heldCells(): readonly string[] {
    return [...this.held.keys()];
  }

  /** Age of a cell's oldest load report in milliseconds; Infinity if an engine has none. */
  oldestReportAge(cell: string): number {
    const now = this.now();
    const ages = (this.cells.get(cell)?.engines ?? []).map(
      ({id}) => this.registry.get(id)?.ledger.reportAge(now) ?? Infinity,
    );
    return Math.max(0, ...ages);
  }

  /** Adds a few summaries of other cells, so that requesters learn of them without another call. */
  private addOtherSummaries(
    call: ReserveRequest,
    response: ReserveResponse,
  ): ReserveResponse {
    const {directory} = this.dependencies;
    directory.recordSummaries(response.summaries);
    const others = directory
      .summariesToShare(
        call.model,
        OTHER_CELL_SUMMARIES + response.summaries.length,
      )
      .filter(summary => summary.cell !== call.cell)
      .slice(0, OTHER_CELL_SUMMARIES);
    return {...response, summaries: [...response.summaries, ...others]};
  }

  private updateDirectory(): void {
    const now = this.now();
    for (const {owner} of this.held.values()) {
      this.dependencies.directory.recordSummaries(owner.summaries(now));
    }
  }

  override dispose(): void {
    this.housekeepingTimer?.dispose();
    super.dispose();
  }

  /** Holds a cell from now on and, if none of its engines has reported yet, waits briefly for the first reports. */
  async prepareCell(id: string): Promise<CellOwner | undefined> {
    const cell = this.cells.get(id);
    if (cell === undefined) {
      return undefined;
    }
    const isNew = !this.held.has(id);
    const {owner} = this.holdCell(id, this.now());
    if (isNew) {
      this.trackEngines(this.now());
    }
    const upstreams = cell.engines.map(engine => engine.id);
    const hasReport = upstreams.some(
      upstream => this.registry.get(upstream)?.ledger.report !== undefined,
    );
    if (!hasReport) {
      await this.waitForFirstReports(upstreams);
    }
    return owner;
  }

  private prepareOwner(call: ReserveRequest): Promise<CellOwner | undefined> {
    this.release(call.releases);
    return this.prepareCell(call.cell);
  }

  /** Waits for the first load reports, only briefly because the wait uses up the request's time. */
  private async waitForFirstReports(
    upstreams: readonly string[],
  ): Promise<void> {
    let timer: Disposable | undefined;
    const timeout = new Promise<void>(resolve => {
      timer = this.dependencies.clock.setTimer(
        FIRST_REPORT_TIMEOUT_MILLISECONDS,
        resolve,
      );
    });
    await Promise.race([this.poller.pollUnknown(upstreams), timeout]);
    timer?.dispose();
  }

  private holdCell(id: string, now: number): HeldCell {
    const known = this.held.get(id);
    if (known !== undefined) {
      known.lastNeededAt = now;
      return known;
    }
    const {policy, logger, metrics} = this.dependencies;
    const {registry} = this;
    const cell = this.cells.get(id)!;
    const owner = new CellOwner(cell, {registry, policy, logger, metrics});
    const held = {owner, lastNeededAt: now};
    this.held.set(id, held);
    return held;
  }

  private trackEngines(now: number): void {
    const engines = [...this.held.keys()].flatMap(
      id => this.cells.get(id)?.engines ?? [],
    );
    this.registry.track(engines, now, id =>
      this.upstreamJoins.hasJoinedRecently(id, now),
    );
  }

  private scheduleHousekeeping(): void {
    this.housekeepingTimer = this.dependencies.clock.setTimer(
      HOUSEKEEPING_INTERVAL_MILLISECONDS,
      () => {
        this.dropIdleForeignCells();
        this.updateDirectory();
        this.recordGauges();
        this.scheduleHousekeeping();
      },
    );
  }

  /** Drops the cells of other owners that are idle or, the longest idle first, exceed the limit. */
  private dropIdleForeignCells(): void {
    const now = this.now();
    const owned = new Set(this.cells.ownedBy(this.dependencies.instanceId));
    const foreign = [...this.held]
      .filter(([id]) => !owned.has(id))
      .sort((a, b) => b[1].lastNeededAt - a[1].lastNeededAt);
    const dropped = foreign.filter(
      ([, held], index) =>
        index >= MAX_FOREIGN_CELLS ||
        now - held.lastNeededAt > FOREIGN_CELL_IDLE_MILLISECONDS,
    );
    for (const [id] of dropped) {
      this.held.delete(id);
    }
    if (dropped.length > 0) {
      this.trackEngines(now);
    }
  }

  private recordGauges(): void {
    const {metrics} = this.dependencies;
    metrics.gauge('routing.cells.held', this.held.size);
    const reservations = [...this.held.values()].reduce(
      (sum, {owner}) => sum + owner.reservationCount,
      0,
    );
    metrics.gauge('routing.reservations', reservations);
  }

  private handleHealthChange(change: HealthChange): void {
    const {upstream, to, cause} = change;
    if (to === 'quarantined') {
      this.poller.pollSoon(upstream);
    }
    this.dependencies.logger.decision('upstreamHealth', {...change});
    this.dependencies.metrics.count('routing.health.changed', 1, {to, cause});
  }

  private now(): number {
    return this.dependencies.clock.monotonicMilliseconds();
  }
}

const UNKNOWN_CELL_RETRY_MILLISECONDS = 1000;

function refuseUnknownCell(): ReserveResponse {
  return {
    kind: 'refused',
    reason: 'noUpstream',
    retryAfterMilliseconds: UNKNOWN_CELL_RETRY_MILLISECONDS,
    summaries: [],
  };
}
