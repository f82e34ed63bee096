import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {Configuration} from '../../configuration/common/configuration.js';
import {
  ReplanRequest,
  ReserveResponse,
  ReserveRequest,
  SummaryMessage,
} from '../common/cellMessages.js';
import {Cell} from '../common/cells.js';
import {CellShares, ReservedWork} from '../common/cellShares.js';
import {
  CellView,
  ChosenStage,
  Prediction,
  Reservation,
  RoutingDecision,
  RoutingPolicy,
  ShareView,
  StageView,
} from '../common/routing.js';
import {summarizeSlots} from '../common/slotSummary.js';
import {logReservation} from './reservationLog.js';
import {StageRegistry} from './stageRegistry.js';

/** Collaborators of a cell's owner. */
export interface CellOwnerDependencies {
  readonly registry: StageRegistry;
  readonly policy: RoutingPolicy;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

interface ReservationRecord extends ReservedWork {
  readonly stages: readonly ChosenStage[];
  readonly reservedAt: number;
  readonly expiresAt: number;
}

/** A decision and the view, limited to one model version, that it was made on. */
interface VersionDecision {
  readonly view: CellView;
  readonly decision: RoutingDecision;
}

/** Time past its deadline after which an unreleased reservation expires. */
const EXPIRY_MARGIN_MILLISECONDS = 2000;
const MAX_RESERVATIONS = 8192;
const SWEEP_INTERVAL_MILLISECONDS = 1000;

/** Makes the routing decisions for one cell and tracks its outstanding reservations. */
export class CellOwner {
  private readonly records = new Map<string, ReservationRecord>();
  private readonly shares = new CellShares();
  private sweptAt = 0;

  constructor(
    private cell: Cell,
    private readonly dependencies: CellOwnerDependencies,
  ) {}

  /** Replaces the cell after its list of engines changed. */
  update(cell: Cell): void {
    this.cell = cell;
  }

  /** Decides on one request. A repeated call replaces the reservation made by the earlier one. */
  reserve(
    call: ReserveRequest,
    configuration: Configuration,
    now: number,
  ): ReserveResponse {
    this.removeExpired(now);
    const earlier = this.records.get(call.reservationId);
    if (earlier !== undefined) {
      this.endReservation(call.reservationId, earlier, now);
    }
    const shares = this.shares.view(configuration, now);
    const {view, decision} = this.decide(call, configuration, shares, now);
    this.shares.recordDemand(call.work, decision, now);
    this.report(call, view, decision);
    const summaries = this.summaries(now);
    if (decision.kind === 'refuse') {
      const {reason, retryAfterMilliseconds} = decision;
      return {kind: 'refused', reason, retryAfterMilliseconds, summaries};
    }
    const reservation = this.createReservation(
      call,
      decision,
      view.version,
      now,
    );
    return {kind: 'reserved', reservation, summaries};
  }

  /** Tries each candidate version: during a rolling update, replicas with the previous version serve too. */
  private decide(
    call: ReserveRequest,
    configuration: Configuration,
    shares: ShareView,
    now: number,
  ): VersionDecision {
    let refused: VersionDecision | undefined;
    for (const version of this.candidateVersions(call, configuration)) {
      const view = this.viewFor(call, configuration, version, now);
      const decision = this.dependencies.policy.decide(
        view,
        shares,
        call.work,
        now,
      );
      if (decision.kind === 'admit') {
        return {view, decision};
      }
      const keepsEarlierRefusal =
        refused !== undefined && decision.reason === 'noUpstream';
      refused = keepsEarlierRefusal ? refused : {view, decision};
    }
    return refused!;
  }

  /** The version that began the reply; otherwise the configured version, then others that the cell's engines hold. */
  private candidateVersions(
    {model, work}: ReserveRequest,
    configuration: Configuration,
  ): readonly string[] {
    if (work.version !== undefined) {
      return [work.version];
    }
    const versions = new Set([configuration.models[model]?.version ?? '']);
    for (const {id} of this.cell.engines) {
      const report = this.dependencies.registry.get(id)?.ledger.report?.report;
      if (report?.model === model) {
        versions.add(report.version);
      }
    }
    return [...versions];
  }

  /** Decides again without the excluded upstreams. The old reservation ends only if a new one is made. */
  replan(
    call: ReplanRequest,
    configuration: Configuration,
    now: number,
  ): ReserveResponse {
    const replaced = this.records.get(call.replaces);
    if (replaced !== undefined) {
      this.removeFromLedgers(call.replaces, replaced, now);
    }
    const response = this.reserve(call, configuration, now);
    if (replaced === undefined) {
      return response;
    }
    if (response.kind === 'reserved') {
      this.endReservation(call.replaces, replaced, now);
    } else {
      this.restoreReservation(call.replaces, replaced, call.excluded, now);
    }
    return response;
  }

  /** Ends a reservation; an unknown one is ignored. */
  release(reservationId: string, now: number): void {
    const record = this.records.get(reservationId);
    if (record !== undefined) {
      this.endReservation(reservationId, record, now);
    }
  }

  /** Summaries for other instances, one for each model in the cell. */
  summaries(now: number): readonly SummaryMessage[] {
    const byModel = new Map<string, StageView[]>();
    for (const {view, model} of this.stages(now)) {
      byModel.set(model, [...(byModel.get(model) ?? []), view]);
    }
    return [...byModel].map(([model, stages]) => ({
      cell: this.cell.id,
      model,
      ...summarizeSlots(stages, now),
      ageMilliseconds: 0,
    }));
  }

  /** Outstanding reservations. */
  get reservationCount(): number {
    return this.records.size;
  }

  private stages(now: number): Array<{view: StageView; model: string}> {
    const {registry} = this.dependencies;
    return this.cell.engines.flatMap(({id}) => {
      const view = registry.viewOf(id, now);
      const model = registry.get(id)?.ledger.report?.report.model;
      return view && model !== undefined ? [{view, model}] : [];
    });
  }

  private viewFor(
    call: ReserveRequest,
    configuration: Configuration,
    version: string,
    now: number,
  ): CellView {
    const model = configuration.models[call.model];
    const excluded = new Set(call.excluded);
    const usable = this.cell.engines.filter(
      ({id}) => !excluded.has(id) && this.serves(id, call, version),
    );
    return {
      cell: this.cell.id,
      model: call.model,
      version,
      layerCount: model?.layerCount ?? 0,
      stages: usable
        .map(({id}) => this.dependencies.registry.viewOf(id, now))
        .filter(view => view !== undefined),
    };
  }

  /** Whether an engine holds the model version and adapter and may both prefill and decode. */
  private serves(id: string, call: ReserveRequest, version: string): boolean {
    const report = this.dependencies.registry.get(id)?.ledger.report?.report;
    if (report === undefined || report.loading || report.role !== 'both') {
      return false;
    }
    const {adapter} = call.work;
    const hasAdapter =
      adapter === undefined || report.adapters.includes(adapter);
    return (
      report.model === call.model && report.version === version && hasAdapter
    );
  }

  private createReservation(
    call: ReserveRequest,
    decision: RoutingDecision & {kind: 'admit'},
    version: string,
    now: number,
  ): Reservation {
    const {work} = call;
    const {prediction, candidates, reason} = decision;
    const expectedMilliseconds = prediction.wholeMilliseconds;
    const longest = Math.max(
      work.deadlineWithinMilliseconds,
      expectedMilliseconds,
    );
    const record: ReservationRecord = {
      stages: decision.stages,
      classOfWork: work.classOfWork,
      clientAccount: work.clientAccount,
      reservedAt: now,
      expectedMilliseconds,
      expiresAt: now + longest + EXPIRY_MARGIN_MILLISECONDS,
    };
    this.records.set(call.reservationId, record);
    if (this.records.size > MAX_RESERVATIONS) {
      const [oldest] = this.records.keys();
      this.records.delete(oldest!);
    }
    this.addToLedgers(call.reservationId, record);
    this.shares.recordReservation(record, now);
    return {
      reservationId: call.reservationId,
      cell: this.cell.id,
      stages: decision.stages.map(stage =>
        this.addStageDetails(stage, version),
      ),
      prediction: roundPrediction(prediction),
      candidates,
      reason,
    };
  }

  /** Adds the version, fencing support and probing state that the dispatcher needs. */
  private addStageDetails(stage: ChosenStage, version: string): ChosenStage {
    const {registry} = this.dependencies;
    const report = registry.get(stage.upstream)?.ledger.report;
    const checksFencing = report?.report.checksFencing ?? false;
    const described = {...stage, version, checksFencing};
    return registry.isProbing(stage.upstream)
      ? {...described, probing: true}
      : described;
  }

  private addToLedgers(id: string, record: ReservationRecord): void {
    const {reservedAt, expectedMilliseconds, expiresAt} = record;
    const finishAt = reservedAt + expectedMilliseconds;
    for (const {upstream} of record.stages) {
      this.dependencies.registry
        .get(upstream)
        ?.ledger.reserve(id, reservedAt, finishAt, expiresAt);
    }
  }

  private removeFromLedgers(
    id: string,
    record: ReservationRecord,
    now: number,
  ): void {
    for (const {upstream} of record.stages) {
      this.dependencies.registry.get(upstream)?.ledger.release(id, now);
    }
  }

  private endReservation(
    id: string,
    record: ReservationRecord,
    now: number,
  ): void {
    this.records.delete(id);
    this.removeFromLedgers(id, record, now);
    this.shares.recordEnd(record, now - record.reservedAt, now);
  }

  /** Restores a reservation on those of its stages that aren't excluded, unless it has expired. */
  private restoreReservation(
    id: string,
    replaced: ReservationRecord,
    excluded: readonly string[],
    now: number,
  ): void {
    const stages = replaced.stages.filter(
      ({upstream}) => !excluded.includes(upstream),
    );
    const restored = {...replaced, stages};
    if (replaced.expiresAt > now) {
      this.records.set(id, restored);
      this.addToLedgers(id, restored);
    }
  }

  /** Removes reservations that expired without a release; runs at most once per interval. */
  private removeExpired(now: number): void {
    if (now - this.sweptAt < SWEEP_INTERVAL_MILLISECONDS) {
      return;
    }
    this.sweptAt = now;
    for (const [id, record] of this.records) {
      if (record.expiresAt <= now) {
        this.records.delete(id);
        this.dependencies.metrics.count('routing.reservation.expired', 1);
      }
    }
  }

  private report(
    call: ReserveRequest,
    view: CellView,
    decision: RoutingDecision,
  ): void {
    const isAdmitted = decision.kind === 'admit';
    logReservation(this.dependencies.logger, call, view, decision);
    this.dependencies.metrics.count('routing.decision', 1, {
      outcome: decision.kind,
      why: isAdmitted ? this.dependencies.policy.name : decision.reason,
    });
  }
}

/** Rounds times to tenths of a millisecond, which are precise enough and keep messages short. */
function roundPrediction(prediction: Prediction): Prediction {
  const round = (value: number): number => Math.round(value * 10) / 10;
  return {
    startsInMilliseconds: round(prediction.startsInMilliseconds),
    firstTokenMilliseconds: round(prediction.firstTokenMilliseconds),
    betweenTokensMilliseconds: round(prediction.betweenTokensMilliseconds),
    wholeMilliseconds: round(prediction.wholeMilliseconds),
    figuresAgeMilliseconds: round(prediction.figuresAgeMilliseconds),
  };
}
