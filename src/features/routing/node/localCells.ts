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
  FailureNote,
  ReleaseNote,
  ReplanCall,
  ReserveAnswer,
  ReserveCall,
  SummaryNote,
} from '../common/cellMessages.js';
import {CellMap} from '../common/cellMap.js';
import {RoutingPolicy} from '../common/routing.js';
import {HealthChange} from '../common/upstreamHealthTracker.js';
import {CellDirectory} from './cellDirectory.js';
import {CellOwner} from './cellOwner.js';
import {ReportPoller} from './reportPoller.js';
import {StageRegistry} from './stageRegistry.js';
import {UpstreamJoins} from '../common/upstreamJoins.js';

/** What the local cells work with. */
export interface LocalCellsParts {
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
  /** Monotonic milliseconds of the last call or of the last view that named this process its owner. */
  neededAt: number;
}

/** Milliseconds after which a cell that another process owns is given up. */
const GIVE_UP_MILLISECONDS = 10000;
/** Cells held at once that other processes should own. */
const FOREIGN_CELLS_KEPT = 64;
const HOUSEKEEPING_MILLISECONDS = 1000;
const FIRST_REPORTS_MILLISECONDS = 150;
/** Summaries of other cells in each answer. */
const OTHERS_TOLD = 2;
/** Summaries in answer to a call for them. */
const SUMMARIES_TOLD = 32;

/** The cells that this process owns, or decides on because it was asked. */
export class LocalCells extends CellAuthority {
  private readonly held = new Map<string, HeldCell>();
  private readonly registry: StageRegistry;
  private readonly poller: ReportPoller;
  private readonly joins = new UpstreamJoins();
  private cells = CellMap.empty;
  private configuration: Configuration = emptyConfiguration;
  private housekeeping: Disposable | undefined;

  constructor(private readonly parts: LocalCellsParts) {
    super();
    const {connector, clock, random, metrics} = parts;
    this.registry = new StageRegistry(change => this.healthChanged(change));
    this.poller = this.register(
      new ReportPoller(this.registry, connector, clock, random, metrics),
    );
    this.poller.start();
    this.scheduleHousekeeping();
  }

  /** Takes a new view of the system: takes over and gives up cells. */
  update(view: SystemView, cells: CellMap): void {
    this.configuration = view.configuration;
    this.cells = cells;
    const now = this.now();
    this.joins.update(view.upstreams, now);
    for (const id of cells.ownedBy(this.parts.instanceId)) {
      this.hold(id, now);
    }
    for (const [id, held] of this.held) {
      const cell = cells.get(id);
      if (cell === undefined) {
        this.held.delete(id);
      } else {
        held.owner.update(cell);
      }
    }
    this.follow(now);
  }

  override async reserve(call: ReserveCall): Promise<ReserveAnswer> {
    const owner = await this.readyOwner(call);
    return owner === undefined
      ? unknownCell()
      : this.answer(call, owner.reserve(call, this.configuration, this.now()));
  }

  override async replan(call: ReplanCall): Promise<ReserveAnswer> {
    const owner = await this.readyOwner(call);
    return owner === undefined
      ? unknownCell()
      : this.answer(call, owner.replan(call, this.configuration, this.now()));
  }

  override release(notes: readonly ReleaseNote[]): void {
    const now = this.now();
    for (const {cell, reservationId, observations} of notes) {
      for (const observation of observations) {
        this.registry.observe(observation, now);
      }
      this.held.get(cell)?.owner.release(reservationId, now);
    }
  }

  override reportFailure(note: FailureNote): void {
    this.registry.observe(note.observation, this.now());
  }

  override async summaries(
    model: string | undefined,
  ): Promise<readonly SummaryNote[]> {
    this.tellDirectory();
    return this.parts.directory.toTell(model, SUMMARIES_TOLD);
  }

  /** Ids of the cells held, whether owned or taken on. */
  get heldCells(): readonly string[] {
    return [...this.held.keys()];
  }

  /** Age of the oldest load report of a cell in milliseconds; Infinity if one never came. */
  figuresAge(cell: string): number {
    const now = this.now();
    const ages = (this.cells.get(cell)?.engines ?? []).map(
      ({id}) => this.registry.get(id)?.ledger.reportAge(now) ?? Infinity,
    );
    return Math.max(0, ...ages);
  }

  /** Adds a few summaries of other cells, so that requesters learn of them at no further call. */
  private answer(call: ReserveCall, answer: ReserveAnswer): ReserveAnswer {
    const {directory} = this.parts;
    directory.learn(answer.summaries);
    const others = directory
      .toTell(call.model, OTHERS_TOLD + answer.summaries.length)
      .filter(note => note.cell !== call.cell)
      .slice(0, OTHERS_TOLD);
    return {...answer, summaries: [...answer.summaries, ...others]};
  }

  private tellDirectory(): void {
    const now = this.now();
    for (const {owner} of this.held.values()) {
      this.parts.directory.learn(owner.summaries(now));
    }
  }

  override dispose(): void {
    this.housekeeping?.dispose();
    super.dispose();
  }

  /** Takes a cell on and waits shortly for its first load report if none came yet. */
  async prepare(id: string): Promise<CellOwner | undefined> {
    const cell = this.cells.get(id);
    if (cell === undefined) {
      return undefined;
    }
    const isNew = !this.held.has(id);
    const {owner} = this.hold(id, this.now());
    if (isNew) {
      this.follow(this.now());
    }
    const upstreams = cell.engines.map(engine => engine.id);
    const isKnown = upstreams.some(
      upstream => this.registry.get(upstream)?.ledger.report !== undefined,
    );
    if (!isKnown) {
      await this.firstReports(upstreams);
    }
    return owner;
  }

  private readyOwner(call: ReserveCall): Promise<CellOwner | undefined> {
    this.release(call.releases);
    return this.prepare(call.cell);
  }

  /** Waits for the first load reports, but not long: the caller's time runs. */
  private async firstReports(upstreams: readonly string[]): Promise<void> {
    let timer: Disposable | undefined;
    const timeout = new Promise<void>(resolve => {
      timer = this.parts.clock.setTimer(FIRST_REPORTS_MILLISECONDS, resolve);
    });
    await Promise.race([this.poller.pollUnknown(upstreams), timeout]);
    timer?.dispose();
  }

  private hold(id: string, now: number): HeldCell {
    const known = this.held.get(id);
    if (known !== undefined) {
      known.neededAt = now;
      return known;
    }
    const {policy, logger, metrics} = this.parts;
    const {registry} = this;
    const cell = this.cells.get(id)!;
    const owner = new CellOwner(cell, {registry, policy, logger, metrics});
    const held = {owner, neededAt: now};
    this.held.set(id, held);
    return held;
  }

  private follow(now: number): void {
    const engines = [...this.held.keys()].flatMap(
      id => this.cells.get(id)?.engines ?? [],
    );
    this.registry.follow(engines, now, id => this.joins.isNew(id, now));
  }

  private scheduleHousekeeping(): void {
    this.housekeeping = this.parts.clock.setTimer(
      HOUSEKEEPING_MILLISECONDS,
      () => {
        this.giveUpForeign();
        this.tellDirectory();
        this.report();
        this.scheduleHousekeeping();
      },
    );
  }

  /** Gives up cells of other owners that were not asked for lately, the longest idle first. */
  private giveUpForeign(): void {
    const now = this.now();
    const owned = new Set(this.cells.ownedBy(this.parts.instanceId));
    const foreign = [...this.held]
      .filter(([id]) => !owned.has(id))
      .sort((a, b) => b[1].neededAt - a[1].neededAt);
    const givenUp = foreign.filter(
      ([, held], index) =>
        index >= FOREIGN_CELLS_KEPT ||
        now - held.neededAt > GIVE_UP_MILLISECONDS,
    );
    for (const [id] of givenUp) {
      this.held.delete(id);
    }
    if (givenUp.length > 0) {
      this.follow(now);
    }
  }

  private report(): void {
    const {metrics} = this.parts;
    metrics.gauge('routing.cells.held', this.held.size);
    const reservations = [...this.held.values()].reduce(
      (sum, {owner}) => sum + owner.reservations,
      0,
    );
    metrics.gauge('routing.reservations', reservations);
  }

  private healthChanged(change: HealthChange): void {
    const {upstream, to, cause} = change;
    if (to === 'quarantined') {
      this.poller.hurry(upstream);
    }
    this.parts.logger.decision('upstreamHealth', {...change});
    this.parts.metrics.count('routing.health.changed', 1, {to, cause});
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}

const UNKNOWN_CELL_RETRY_MILLISECONDS = 1000;

function unknownCell(): ReserveAnswer {
  return {
    kind: 'refused',
    reason: 'noUpstream',
    retryAfterMilliseconds: UNKNOWN_CELL_RETRY_MILLISECONDS,
    summaries: [],
  };
}
