import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {Configuration} from '../../configuration/common/configuration.js';
import {
  ReplanCall,
  ReserveAnswer,
  ReserveCall,
  SummaryNote,
} from '../common/cellMessages.js';
import {Cell} from '../common/cells.js';
import {
  CellView,
  ChosenStage,
  Prediction,
  Reservation,
  RoutingDecision,
  RoutingPolicy,
  ShareView,
  StageView,
  WorkEstimate,
} from '../common/routing.js';
import {ShareAccounts} from '../common/shareAccounts.js';
import {slotSummary} from '../common/slotSummary.js';
import {DecayedMean} from '../common/decayedMean.js';
import {StageRegistry} from './stageRegistry.js';

/** What the owner of a cell works with. */
export interface CellOwnerParts {
  readonly registry: StageRegistry;
  readonly policy: RoutingPolicy;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

interface Booking {
  readonly stages: readonly ChosenStage[];
  readonly classOfWork: string;
  readonly clientAccount: string;
  readonly reservedAt: number;
  readonly expectedMilliseconds: number;
  readonly expiresAt: number;
}

/** A decision and the version that it was made for. */
interface VersionDecision {
  readonly view: CellView;
  readonly decision: RoutingDecision;
}

/** Milliseconds beyond the deadline after which a reservation is forgotten. */
const EXPIRY_GRACE_MILLISECONDS = 2000;
const WORK_MEMORY_MILLISECONDS = 60000;
const BOOKINGS_KEPT = 8192;
const EXPIRY_SWEEP_MILLISECONDS = 1000;

/** Decides over one cell and remembers what it gave out. */
export class CellOwner {
  private readonly bookings = new Map<string, Booking>();
  private readonly shares = new ShareAccounts();
  private readonly workByClass = new Map<string, DecayedMean>();
  private sweptAt = 0;

  constructor(
    private cell: Cell,
    private readonly parts: CellOwnerParts,
  ) {}

  /** Takes a changed list of the cell's engines. */
  update(cell: Cell): void {
    this.cell = cell;
  }

  /** Decides on one piece of work. */
  reserve(
    call: ReserveCall,
    configuration: Configuration,
    now: number,
  ): ReserveAnswer {
    this.sweep(now);
    const repeated = this.bookings.get(call.reservationId);
    if (repeated !== undefined) {
      this.take(call.reservationId, repeated, now);
    }
    const shares = this.shareView(configuration, now);
    const {view, decision} = this.decide(call, configuration, shares, now);
    this.accountWant(call.work, decision, now);
    this.log(call, view, decision);
    const summaries = this.summaries(now);
    if (decision.kind === 'refuse') {
      const {reason, retryAfterMilliseconds} = decision;
      return {kind: 'refused', reason, retryAfterMilliseconds, summaries};
    }
    const reservation = this.book(call, decision, view.version, now);
    return {kind: 'reserved', reservation, summaries};
  }

  /** While replicas are brought to another version one by one, those that still hold the one before serve too. */
  private decide(
    call: ReserveCall,
    configuration: Configuration,
    shares: ShareView,
    now: number,
  ): VersionDecision {
    let refused: VersionDecision | undefined;
    for (const version of this.versionsFor(call, configuration)) {
      const view = this.viewFor(call, configuration, version, now);
      const decision = this.parts.policy.decide(view, shares, call.work, now);
      if (decision.kind === 'admit') {
        return {view, decision};
      }
      const isTold = refused !== undefined && decision.reason === 'noUpstream';
      refused = isTold ? refused : {view, decision};
    }
    return refused!;
  }

  /** The version of a reply that has begun, else the configured one and then others held here. */
  private versionsFor(
    {model, work}: ReserveCall,
    configuration: Configuration,
  ): readonly string[] {
    if (work.version !== undefined) {
      return [work.version];
    }
    const versions = new Set([configuration.models[model]?.version ?? '']);
    for (const {id} of this.cell.engines) {
      const report = this.parts.registry.get(id)?.ledger.report?.report;
      if (report?.model === model) {
        versions.add(report.version);
      }
    }
    return [...versions];
  }

  /** Decides anew without the excluded upstreams; the old reservation ends only if this succeeds. */
  replan(
    call: ReplanCall,
    configuration: Configuration,
    now: number,
  ): ReserveAnswer {
    const old = this.bookings.get(call.replaces);
    if (old !== undefined) {
      this.takeFromLedgers(call.replaces, old, now);
    }
    const answer = this.reserve(call, configuration, now);
    if (old === undefined) {
      return answer;
    }
    if (answer.kind === 'reserved') {
      this.take(call.replaces, old, now);
    } else {
      this.putBack(call.replaces, old, call.excluded, now);
    }
    return answer;
  }

  /** Takes a reservation back; one that is unknown is ignored. */
  release(reservationId: string, now: number): void {
    const booking = this.bookings.get(reservationId);
    if (booking !== undefined) {
      this.take(reservationId, booking, now);
    }
  }

  /** Figures for other instances, one for each model that the cell serves. */
  summaries(now: number): readonly SummaryNote[] {
    const byModel = new Map<string, StageView[]>();
    for (const {view, model} of this.stages(now)) {
      byModel.set(model, [...(byModel.get(model) ?? []), view]);
    }
    return [...byModel].map(([model, stages]) => ({
      cell: this.cell.id,
      model,
      ...slotSummary(stages, now),
      ageMilliseconds: 0,
    }));
  }

  /** Reservations outstanding. */
  get reservations(): number {
    return this.bookings.size;
  }

  private stages(now: number): Array<{view: StageView; model: string}> {
    const {registry} = this.parts;
    return this.cell.engines.flatMap(({id}) => {
      const view = registry.viewOf(id, now);
      const model = registry.get(id)?.ledger.report?.report.model;
      return view && model !== undefined ? [{view, model}] : [];
    });
  }

  private viewFor(
    call: ReserveCall,
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
        .map(({id}) => this.parts.registry.viewOf(id, now))
        .filter(view => view !== undefined),
    };
  }

  /** Whether an engine holds a version and adapter of the model and may both prefill and decode. */
  private serves(id: string, call: ReserveCall, version: string): boolean {
    const report = this.parts.registry.get(id)?.ledger.report?.report;
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

  private book(
    call: ReserveCall,
    decision: RoutingDecision & {kind: 'admit'},
    version: string,
    now: number,
  ): Reservation {
    const {work} = call;
    const {prediction, candidates, reason} = decision;
    const expectedMilliseconds = prediction.wholeMilliseconds;
    const longest = Math.max(work.deadlineWithin, expectedMilliseconds);
    const booking: Booking = {
      stages: decision.stages,
      classOfWork: work.classOfWork,
      clientAccount: work.clientAccount,
      reservedAt: now,
      expectedMilliseconds,
      expiresAt: now + longest + EXPIRY_GRACE_MILLISECONDS,
    };
    this.bookings.set(call.reservationId, booking);
    if (this.bookings.size > BOOKINGS_KEPT) {
      const [oldest] = this.bookings.keys();
      this.bookings.delete(oldest!);
    }
    this.enterInLedgers(call.reservationId, booking);
    this.accountUse(booking, expectedMilliseconds, now);
    this.meanWork(work.classOfWork).add(expectedMilliseconds, 1, now);
    return {
      reservationId: call.reservationId,
      cell: this.cell.id,
      stages: decision.stages.map(stage => this.describe(stage, version)),
      prediction: roundPrediction(prediction),
      candidates,
      reason,
    };
  }

  /** Adds what the dispatcher must know of a stage. */
  private describe(stage: ChosenStage, version: string): ChosenStage {
    const {registry} = this.parts;
    const report = registry.get(stage.upstream)?.ledger.report;
    const checksFencing = report?.report.checksFencing ?? false;
    const described = {...stage, version, checksFencing};
    return registry.isProbing(stage.upstream)
      ? {...described, probing: true}
      : described;
  }

  private enterInLedgers(id: string, booking: Booking): void {
    const {reservedAt, expectedMilliseconds, expiresAt} = booking;
    const finishAt = reservedAt + expectedMilliseconds;
    for (const {upstream} of booking.stages) {
      this.parts.registry
        .get(upstream)
        ?.ledger.reserve(id, reservedAt, finishAt, expiresAt);
    }
  }

  private takeFromLedgers(id: string, booking: Booking, now: number): void {
    for (const {upstream} of booking.stages) {
      this.parts.registry.get(upstream)?.ledger.release(id, now);
    }
  }

  private take(id: string, booking: Booking, now: number): void {
    this.bookings.delete(id);
    this.takeFromLedgers(id, booking, now);
    const held = now - booking.reservedAt;
    const beyond = held - booking.expectedMilliseconds;
    const {classOfWork, clientAccount} = booking;
    this.accountUse(booking, beyond, now);
    this.shares.recordWant(classOfWork, clientAccount, beyond, now, 0);
  }

  /** Restores a reservation on the stages that are still good. */
  private putBack(
    id: string,
    old: Booking,
    excluded: readonly string[],
    now: number,
  ): void {
    const stages = old.stages.filter(
      ({upstream}) => !excluded.includes(upstream),
    );
    const kept = {...old, stages};
    if (old.expiresAt > now) {
      this.bookings.set(id, kept);
      this.enterInLedgers(id, kept);
    }
  }

  private accountWant(
    work: WorkEstimate,
    decision: RoutingDecision,
    now: number,
  ): void {
    const wanted =
      decision.kind === 'admit'
        ? decision.prediction.wholeMilliseconds
        : this.meanWork(work.classOfWork).value(work.deadlineWithin / 2, now);
    this.shares.recordWant(work.classOfWork, work.clientAccount, wanted, now);
  }

  private accountUse(booking: Booking, amount: number, now: number): void {
    const {classOfWork, clientAccount} = booking;
    this.shares.recordUse(classOfWork, clientAccount, amount, now);
  }

  private meanWork(classOfWork: string): DecayedMean {
    const known = this.workByClass.get(classOfWork);
    if (known !== undefined) {
      return known;
    }
    const created = new DecayedMean(WORK_MEMORY_MILLISECONDS);
    this.workByClass.set(classOfWork, created);
    return created;
  }

  private shareView(configuration: Configuration, now: number): ShareView {
    const classes = Object.values(configuration.classes);
    const targets = new Map(
      classes.map(one => [one.name, one.requestsPerSecond]),
    );
    for (const name of [...this.workByClass.keys()]) {
      if (!targets.has(name)) {
        this.workByClass.delete(name);
      }
    }
    const workByClass = new Map(
      [...this.workByClass].map(([name, mean]) => [name, mean.value(0, now)]),
    );
    const timesByClass = new Map(
      classes.map(one => [
        one.name,
        {
          firstToken: one.firstTokenMilliseconds,
          betweenTokens: one.betweenTokensMilliseconds,
        },
      ]),
    );
    return {...this.shares.view(targets, now), workByClass, timesByClass};
  }

  /** Forgets bookings whose release never came. */
  private sweep(now: number): void {
    if (now - this.sweptAt < EXPIRY_SWEEP_MILLISECONDS) {
      return;
    }
    this.sweptAt = now;
    for (const [id, booking] of this.bookings) {
      if (booking.expiresAt <= now) {
        this.bookings.delete(id);
        this.parts.metrics.count('routing.reservation.expired', 1);
      }
    }
  }

  private log(
    call: ReserveCall,
    view: CellView,
    decision: RoutingDecision,
  ): void {
    const admitted = decision.kind === 'admit';
    const ages = view.stages.map(stage => stage.reportAgeMilliseconds);
    this.parts.logger.decision('reservation', {
      requestId: call.work.requestId,
      classOfWork: call.work.classOfWork,
      clientAccount: call.work.clientAccount,
      cell: view.cell,
      model: view.model,
      version: view.version,
      stagesConsidered: view.stages.length,
      candidates: decision.candidates,
      excluded: call.excluded,
      outcome: decision.kind,
      why: decision.reason,
      chosen: admitted ? decision.stages.map(stage => stage.upstream) : [],
      prediction: admitted ? decision.prediction : undefined,
      retryAfterMilliseconds: admitted
        ? undefined
        : decision.retryAfterMilliseconds,
      oldestFigureMilliseconds: ages.length > 0 ? Math.max(...ages) : undefined,
    });
    this.parts.metrics.count('routing.decision', 1, {
      outcome: decision.kind,
      why: admitted ? this.parts.policy.name : decision.reason,
    });
  }
}

/** Tenths of a millisecond are precise enough and short on the wire. */
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
