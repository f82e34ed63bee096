import {Clock} from '../../../base/common/clock.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {
  DecisionFields,
  Logger,
} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {ReserveAnswer, ReserveCall} from '../common/cellMessages.js';
import {CellMap} from '../common/cellMap.js';
import {chooseCells} from '../common/chooseCells.js';
import {
  Reservation,
  ReservationReply,
  WorkEstimate,
} from '../common/routing.js';
import {CellCaller, PlacedAnswer} from './cellCaller.js';
import {CellDirectory} from './cellDirectory.js';
import {LocalCells} from './localCells.js';
import {ReservationIds} from './reservationIds.js';

/** What the search works with. */
export interface CellSearchParts {
  readonly instanceId: string;
  readonly dataCentre: string;
  readonly local: LocalCells;
  readonly caller: CellCaller;
  readonly directory: CellDirectory;
  readonly ids: ReservationIds;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

type Refusal = ReserveAnswer & {kind: 'refused'};

interface Search {
  readonly work: WorkEstimate;
  readonly model: string;
  readonly excluded: readonly string[];
  readonly replaced: Reservation | undefined;
  readonly startedAt: number;
  readonly token: AbortSignal;
}

/** Cells that are asked to decide; those that don't serve the model don't count. */
const MAXIMUM_DECISIONS = 3;
/** Cells asked at all. */
const MAXIMUM_ASKED = 8;
/** Cells in which this process decides itself when no owner answers. */
const LOCAL_CHOICES = 2;
const FALLBACK_RETRY_MILLISECONDS = 1000;
/** Part of the time to the first token that a decision without the owner keeps back, and its growth with the age of figures. */
const LOCAL_MARGIN = 0.1;
const LOCAL_MARGIN_PER_SECOND = 0.05;
const LARGEST_LOCAL_MARGIN = 0.5;
const RETRY_JITTER = 0.5;

/** Finds a cell that takes a piece of work: asks owners in turn, or decides here if none answers. */
export class CellSearch {
  private cells = CellMap.empty;

  constructor(private readonly parts: CellSearchParts) {}

  /** Takes a new view. */
  update(cells: CellMap): void {
    this.cells = cells;
  }

  /** Finds capacity for new work. */
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

  /** Finds other stages for work in progress, first in its own cell. */
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

  private async run(search: Search): Promise<ReservationReply> {
    const refusals: Refusal[] = [];
    const unanswered: string[] = [];
    for (const cell of this.cellsToAsk(search)) {
      if (search.token.aborted || isEnough(refusals)) {
        break;
      }
      const placed = await this.ask(cell, search);
      if (placed === undefined) {
        unanswered.push(cell);
        continue;
      }
      this.parts.directory.learnFromOwner(cell, placed.answer.summaries);
      if (placed.answer.kind === 'reserved') {
        return this.accept(search, placed, refusals.length);
      }
      refusals.push(placed.answer);
    }
    const decided = refusals.some(one => one.reason !== 'noUpstream');
    if (!decided && unanswered.length > 0 && !search.token.aborted) {
      const own = await this.decideHere(unanswered, search, refusals);
      if (own !== undefined) {
        return this.accept(search, own, refusals.length);
      }
    }
    return this.refuse(search, refusals, unanswered.length);
  }

  /** The cells to ask in order: the chosen ones, then ones of which too little is known. */
  private *cellsToAsk(search: Search): Generator<string> {
    const asked = new Set<string>();
    for (const id of this.inOrder(search)) {
      const isNew = !asked.has(id) && this.cells.get(id) !== undefined;
      if (isNew && asked.size < MAXIMUM_ASKED) {
        asked.add(id);
        yield id;
      }
    }
  }

  /** Lazily, since all but the first few are seldom needed. */
  private *inOrder(search: Search): Generator<string> {
    const {directory, dataCentre, random} = this.parts;
    const {work, model, replaced} = search;
    if (replaced !== undefined) {
      yield replaced.cell;
    }
    const serving = directory.serving(model, this.cells);
    yield* chooseCells(serving, model, work, dataCentre, random);
    yield* directory.unheard(this.cells).map(({id}) => id);
    yield* directory.longestUnheard(this.cells).map(({id}) => id);
  }

  private async ask(
    cell: string,
    search: Search,
  ): Promise<PlacedAnswer<ReserveAnswer> | undefined> {
    const call = this.callFor(cell, search);
    const {replaced} = search;
    const inOwnCell = replaced !== undefined && replaced.cell === cell;
    const lostTo = (instanceId: string): void =>
      this.parts.caller
        .authorityOf(instanceId)
        ?.release([
          {cell, reservationId: call.reservationId, observations: []},
        ]);
    return this.parts.caller.ask(
      cell,
      (authority, signal) =>
        inOwnCell
          ? authority.replan(
              {...call, replaces: this.localId(replaced)},
              signal,
            )
          : authority.reserve(call, signal),
      search.token,
      lostTo,
    );
  }

  /** Decides without the owner, from what this process can learn itself. */
  private async decideHere(
    unanswered: readonly string[],
    search: Search,
    refusals: Refusal[],
  ): Promise<PlacedAnswer<ReserveAnswer> | undefined> {
    const {local, instanceId, metrics} = this.parts;
    metrics.count('routing.decision.withoutOwner', 1);
    for (const cell of unanswered.slice(0, LOCAL_CHOICES)) {
      await local.prepare(cell);
      const margin = this.localMargin(cell);
      const answer = await local.reserve(this.callFor(cell, search, margin));
      if (answer.kind === 'reserved') {
        return {instanceId, answer};
      }
      refusals.push(answer);
    }
    return undefined;
  }

  private localMargin(cell: string): number {
    const age = this.parts.local.figuresAge(cell);
    const growth = (age / 1000) * LOCAL_MARGIN_PER_SECOND;
    return Math.min(LARGEST_LOCAL_MARGIN, LOCAL_MARGIN + growth);
  }

  /** The call, its times less what has passed since the search began and less a margin. */
  private callFor(cell: string, search: Search, margin = 0): ReserveCall {
    const {work, model, excluded} = search;
    const passed = this.now() - search.startedAt;
    const left = (work.firstTokenWithin - passed) * (1 - margin);
    return {
      cell,
      model,
      reservationId: this.parts.ids.next(),
      work: {
        ...work,
        firstTokenWithin: Math.round(left * 10) / 10,
        deadlineWithin: Math.round((work.deadlineWithin - passed) * 10) / 10,
      },
      excluded,
      releases: [],
    };
  }

  private accept(
    search: Search,
    placed: PlacedAnswer<ReserveAnswer>,
    refusedBefore: number,
  ): ReservationReply {
    const {answer, instanceId} = placed;
    if (answer.kind !== 'reserved') {
      return this.refuse(search, [answer], 0);
    }
    const {reservation} = answer;
    this.endReplaced(search, reservation, instanceId);
    this.log(search, {
      outcome: 'reserved',
      cell: reservation.cell,
      owner: instanceId,
      refusedBefore,
      figuresAgeMilliseconds: reservation.prediction.figuresAgeMilliseconds,
    });
    const {ids} = this.parts;
    const reservationId = ids.join(reservation.reservationId, instanceId);
    return {kind: 'reserved', reservation: {...reservation, reservationId}};
  }

  /** Ends the old reservation unless who granted it has replaced it. */
  private endReplaced(
    search: Search,
    found: Reservation,
    foundAt: string,
  ): void {
    const {replaced} = search;
    if (replaced === undefined) {
      return;
    }
    const {grantedBy} = this.parts.ids.parse(replaced.reservationId);
    if (replaced.cell === found.cell && grantedBy === foundAt) {
      return;
    }
    const reservationId = this.localId(replaced);
    const {cell} = replaced;
    this.parts.caller
      .authorityOf(grantedBy)
      ?.release([{cell, reservationId, observations: []}]);
  }

  private refuse(
    search: Search,
    refusals: readonly Refusal[],
    unanswered: number,
  ): ReservationReply {
    const decided = refusals.filter(one => one.reason !== 'noUpstream');
    const counting = decided.length > 0 ? decided : refusals;
    const soonest = counting.reduce<Refusal | undefined>(
      (best, one) =>
        best === undefined ||
        one.retryAfterMilliseconds < best.retryAfterMilliseconds
          ? one
          : best,
      undefined,
    );
    const reason = soonest?.reason ?? 'noUpstream';
    const base = soonest?.retryAfterMilliseconds ?? FALLBACK_RETRY_MILLISECONDS;
    const jitter = 1 + RETRY_JITTER * this.parts.random.next();
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

  private log(search: Search, fields: DecisionFields): void {
    const {work, model, replaced} = search;
    const took = this.now() - search.startedAt;
    this.parts.logger.decision('cellChoice', {
      requestId: work.requestId,
      classOfWork: work.classOfWork,
      clientAccount: work.clientAccount,
      model,
      replan: replaced !== undefined,
      tookMilliseconds: took,
      ...fields,
    });
    this.parts.metrics.milliseconds('routing.reserve', took);
  }

  private localId(reservation: Reservation): string {
    return this.parts.ids.parse(reservation.reservationId).localId;
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}

/** Whether enough cells that serve the model have refused. */
function isEnough(refusals: readonly Refusal[]): boolean {
  const decided = refusals.filter(one => one.reason !== 'noUpstream');
  return decided.length >= MAXIMUM_DECISIONS;
}
