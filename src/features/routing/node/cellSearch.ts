import {Clock} from '../../../base/common/clock.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {
  DecisionFields,
  Logger,
} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {ReserveResponse, ReserveRequest} from '../common/cellMessages.js';
import {CellMap} from '../common/cellMap.js';
import {chooseCells} from '../common/chooseCells.js';
import {
  Reservation,
  ReservationReply,
  WorkEstimate,
} from '../common/routing.js';
import {CellOwnerClient, OwnerAnswer} from './cellOwnerClient.js';
import {CellDirectory} from './cellDirectory.js';
import {LocalCells} from './localCells.js';
import {ReservationIds} from './reservationIds.js';

/** Collaborators of a search and the identity of the process that runs it. */
export interface CellSearchDependencies {
  readonly instanceId: string;
  readonly dataCentre: string;
  readonly localCells: LocalCells;
  readonly ownerClient: CellOwnerClient;
  readonly directory: CellDirectory;
  readonly ids: ReservationIds;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

type Refusal = ReserveResponse & {kind: 'refused'};

interface SearchRequest {
  readonly work: WorkEstimate;
  readonly model: string;
  readonly excluded: readonly string[];
  readonly replaced: Reservation | undefined;
  readonly startedAt: number;
  readonly token: AbortSignal;
}

/** Refusals after which the search stops. Cells that don't serve the model aren't counted. */
const MAX_REFUSING_CELLS = 3;
/** Upper limit on the cells asked, whether or not they serve the model. */
const MAX_CELLS_ASKED = 8;
/** Cells with unreachable owners for which this process decides itself. */
const MAX_LOCAL_DECISIONS = 2;
const DEFAULT_RETRY_MILLISECONDS = 1000;
/** Share of the first-token time that a local decision leaves unused, and its growth with the age of load reports. */
const LOCAL_MARGIN = 0.1;
const LOCAL_MARGIN_PER_SECOND = 0.05;
const MAX_LOCAL_MARGIN = 0.5;
const RETRY_JITTER = 0.5;

/** Finds a cell with capacity for a request: asks the owners of cells in turn, or decides locally if none decides. */
export class CellSearch {
  private cells = CellMap.empty;

  constructor(private readonly dependencies: CellSearchDependencies) {}

  /** Replaces the cells by those of a new system view. */
  update(cells: CellMap): void {
    this.cells = cells;
  }

  /** Reserves capacity for a new request. */
  reserve(
    work: WorkEstimate,
    model: string,
    excluded: readonly string[],
    token: AbortSignal,
  ): Promise<ReservationReply> {
    const startedAt = this.now();
    const replaced = undefined;
    return this.run({work, model, excluded, replaced, startedAt, token});
  }

  /** Reserves other stages for a request in progress, trying the cell of its reservation first. */
  replan(
    replaced: Reservation,
    work: WorkEstimate,
    model: string,
    excluded: readonly string[],
    token: AbortSignal,
  ): Promise<ReservationReply> {
    const startedAt = this.now();
    return this.run({work, model, excluded, replaced, startedAt, token});
  }

  private async run(search: SearchRequest): Promise<ReservationReply> {
    const refusals: Refusal[] = [];
    const unanswered: string[] = [];
    for (const cell of this.cellsToAsk(search)) {
      if (search.token.aborted || hasEnoughRefusals(refusals)) {
        break;
      }
      const ownerAnswer = await this.ask(cell, search);
      if (ownerAnswer === undefined) {
        unanswered.push(cell);
        continue;
      }
      this.dependencies.directory.replaceSummaries(
        cell,
        ownerAnswer.answer.summaries,
      );
      if (ownerAnswer.answer.kind === 'reserved') {
        return this.accept(search, ownerAnswer, refusals.length);
      }
      refusals.push(ownerAnswer.answer);
    }
    const hasDecision = refusals.some(
      refusal => refusal.reason !== 'noUpstream',
    );
    if (!hasDecision && unanswered.length > 0 && !search.token.aborted) {
      const localAnswer = await this.decideLocally(
        unanswered,
        search,
        refusals,
      );
      if (localAnswer !== undefined) {
        return this.accept(search, localAnswer, refusals.length);
      }
    }
    return this.refuse(search, refusals, unanswered.length);
  }

  /** Yields each existing candidate cell once, up to the limit. */
  private *cellsToAsk(search: SearchRequest): Generator<string> {
    const asked = new Set<string>();
    for (const id of this.candidateCells(search)) {
      const isNew = !asked.has(id) && this.cells.get(id) !== undefined;
      if (isNew && asked.size < MAX_CELLS_ASKED) {
        asked.add(id);
        yield id;
      }
    }
  }

  /**
   * Yields the cell of the replaced reservation, cells chosen by their summaries, cells without a summary and
   * then those with the oldest summaries. Lazy, because seldom more than the first few are needed.
   */
  private *candidateCells(search: SearchRequest): Generator<string> {
    const {directory, dataCentre, random} = this.dependencies;
    const {work, model, replaced} = search;
    if (replaced !== undefined) {
      yield replaced.cell;
    }
    const serving = directory.serving(model, this.cells);
    yield* chooseCells(serving, model, work, dataCentre, random);
    yield* directory.unknownCells(this.cells).map(({id}) => id);
    yield* directory.knownCellsOldestFirst(this.cells).map(({id}) => id);
  }

  private async ask(
    cell: string,
    search: SearchRequest,
  ): Promise<OwnerAnswer<ReserveResponse> | undefined> {
    const call = this.createReserveCall(cell, search);
    const {replaced} = search;
    const isReplacedCell = replaced !== undefined && replaced.cell === cell;
    const releaseAtInstance = (instanceId: string): void =>
      this.dependencies.ownerClient
        .authorityOfInstance(instanceId)
        ?.release([
          {cell, reservationId: call.reservationId, observations: []},
        ]);
    return this.dependencies.ownerClient.ask(
      cell,
      (authority, signal) =>
        isReplacedCell
          ? authority.replan(
              {...call, replaces: this.localIdOf(replaced)},
              signal,
            )
          : authority.reserve(call, signal),
      search.token,
      releaseAtInstance,
    );
  }

  /** Decides without the owners, using load reports that this process polls itself. */
  private async decideLocally(
    unanswered: readonly string[],
    search: SearchRequest,
    refusals: Refusal[],
  ): Promise<OwnerAnswer<ReserveResponse> | undefined> {
    const {localCells, instanceId, metrics} = this.dependencies;
    metrics.count('routing.decision.withoutOwner', 1);
    for (const cell of unanswered.slice(0, MAX_LOCAL_DECISIONS)) {
      await localCells.prepareCell(cell);
      const margin = this.localMargin(cell);
      const answer = await localCells.reserve(
        this.createReserveCall(cell, search, margin),
      );
      if (answer.kind === 'reserved') {
        return {instanceId, answer};
      }
      refusals.push(answer);
    }
    return undefined;
  }

  private localMargin(cell: string): number {
    const age = this.dependencies.localCells.oldestReportAge(cell);
    const growth = (age / 1000) * LOCAL_MARGIN_PER_SECOND;
    return Math.min(MAX_LOCAL_MARGIN, LOCAL_MARGIN + growth);
  }

  /** Creates the call: both times are reduced by the elapsed time, the first-token time also by the margin. */
  private createReserveCall(
    cell: string,
    search: SearchRequest,
    margin = 0,
  ): ReserveRequest {
    const {work, model, excluded} = search;
    const elapsed = this.now() - search.startedAt;
    const remaining =
      (work.firstTokenWithinMilliseconds - elapsed) * (1 - margin);
    return {
      cell,
      model,
      reservationId: this.dependencies.ids.next(),
      work: {
        ...work,
        firstTokenWithinMilliseconds: Math.round(remaining * 10) / 10,
        deadlineWithinMilliseconds:
          Math.round((work.deadlineWithinMilliseconds - elapsed) * 10) / 10,
      },
      excluded,
      releases: [],
    };
  }

  private accept(
    search: SearchRequest,
    ownerAnswer: OwnerAnswer<ReserveResponse>,
    refusedBefore: number,
  ): ReservationReply {
    const {answer, instanceId} = ownerAnswer;
    if (answer.kind !== 'reserved') {
      return this.refuse(search, [answer], 0);
    }
    const {reservation} = answer;
    this.releaseReplaced(search, reservation, instanceId);
    this.log(search, {
      outcome: 'reserved',
      cell: reservation.cell,
      owner: instanceId,
      refusedBefore,
      figuresAgeMilliseconds: reservation.prediction.figuresAgeMilliseconds,
    });
    const {ids} = this.dependencies;
    const reservationId = ids.join(reservation.reservationId, instanceId);
    return {kind: 'reserved', reservation: {...reservation, reservationId}};
  }

  /** Releases the replaced reservation, unless its cell and instance also granted the new one and so ended it. */
  private releaseReplaced(
    search: SearchRequest,
    granted: Reservation,
    grantingInstance: string,
  ): void {
    const {replaced} = search;
    if (replaced === undefined) {
      return;
    }
    const {grantedBy} = this.dependencies.ids.parse(replaced.reservationId);
    if (replaced.cell === granted.cell && grantedBy === grantingInstance) {
      return;
    }
    const reservationId = this.localIdOf(replaced);
    const {cell} = replaced;
    this.dependencies.ownerClient
      .authorityOfInstance(grantedBy)
      ?.release([{cell, reservationId, observations: []}]);
  }

  private refuse(
    search: SearchRequest,
    refusals: readonly Refusal[],
    unanswered: number,
  ): ReservationReply {
    const decided = refusals.filter(refusal => refusal.reason !== 'noUpstream');
    const considered = decided.length > 0 ? decided : refusals;
    const soonest = considered.reduce<Refusal | undefined>(
      (best, refusal) =>
        best === undefined ||
        refusal.retryAfterMilliseconds < best.retryAfterMilliseconds
          ? refusal
          : best,
      undefined,
    );
    const reason = soonest?.reason ?? 'noUpstream';
    const base = soonest?.retryAfterMilliseconds ?? DEFAULT_RETRY_MILLISECONDS;
    const jitter = 1 + RETRY_JITTER * this.dependencies.random.next();
    const retryAfterMilliseconds = Math.ceil(base * jitter);
    this.log(search, {
      outcome: 'refused',
      why: reason,
      retryAfterMilliseconds,
      refusedBefore: refusals.length,
      unanswered,
    });
    return {kind: 'refused', reason, retryAfterMilliseconds};
  }

  private log(search: SearchRequest, fields: DecisionFields): void {
    const {work, model, replaced} = search;
    const elapsed = this.now() - search.startedAt;
    this.dependencies.logger.decision('cellChoice', {
      requestId: work.requestId,
      classOfWork: work.classOfWork,
      clientAccount: work.clientAccount,
      model,
      replan: replaced !== undefined,
      tookMilliseconds: elapsed,
      ...fields,
    });
    this.dependencies.metrics.milliseconds('routing.reserve', elapsed);
  }

  private localIdOf(reservation: Reservation): string {
    return this.dependencies.ids.parse(reservation.reservationId).localId;
  }

  private now(): number {
    return this.dependencies.clock.monotonicMilliseconds();
  }
}

/** Whether the search stops because enough cells that serve the model have refused. */
function hasEnoughRefusals(refusals: readonly Refusal[]): boolean {
  const decided = refusals.filter(refusal => refusal.reason !== 'noUpstream');
  return decided.length >= MAX_REFUSING_CELLS;
}
