import {Clock} from '../../../base/common/clock.js';
import {SummaryMessage} from '../common/cellMessages.js';
import {CellMap} from '../common/cellMap.js';
import {CellSummary} from '../common/chooseCells.js';
import {Cell} from '../common/cells.js';

interface DirectoryEntry {
  readonly summary: SummaryMessage;
  /** Local monotonic milliseconds at which the owner made the summary, from the age that came with it. */
  readonly madeAt: number;
}

/** Summaries older than this are removed: they say nothing about load, only which models a cell served. */
const RETENTION_MILLISECONDS = 120000;
const MAX_ENTRIES = 8192;
const LINK_SMOOTHING = 0.2;

/** The newest known summaries of all cells, from responses of peers and decisions of this process. */
export class CellDirectory {
  private readonly entries = new Map<string, DirectoryEntry>();
  private readonly linkMillisecondsByDataCentre = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly ownDataCentre: string,
  ) {}

  /** Records summaries; an older one never replaces a newer one. */
  recordSummaries(summaries: readonly SummaryMessage[]): void {
    const now = this.clock.monotonicMilliseconds();
    for (const summary of summaries) {
      const key = `${summary.cell} ${summary.model}`;
      const madeAt = now - summary.ageMilliseconds;
      if ((this.entries.get(key)?.madeAt ?? -Infinity) <= madeAt) {
        this.entries.delete(key);
        this.entries.set(key, {summary, madeAt});
      }
    }
    this.evictOldest();
  }

  /** Records the measured one-way time to a data centre. */
  recordLinkTime(dataCentre: string, milliseconds: number): void {
    const known =
      this.linkMillisecondsByDataCentre.get(dataCentre) ?? milliseconds;
    const smoothed = known + LINK_SMOOTHING * (milliseconds - known);
    this.linkMillisecondsByDataCentre.set(dataCentre, smoothed);
  }

  /** The known summaries of cells that serve a model. */
  serving(model: string, cells: CellMap): readonly CellSummary[] {
    const found: CellSummary[] = [];
    for (const entry of this.entries.values()) {
      const cell = cells.get(entry.summary.cell);
      if (entry.summary.model === model && cell !== undefined) {
        found.push(this.summaryOf(entry, cell));
      }
    }
    return found;
  }

  /** Cells without a summary, those in this process's data centre first. */
  unknownCells(cells: CellMap): readonly Cell[] {
    const knownIds = new Set(
      [...this.entries.values()].map(({summary}) => summary.cell),
    );
    const unknown = cells.all.filter(({id}) => !knownIds.has(id));
    const local = unknown.filter(
      cell => cell.dataCentre === this.ownDataCentre,
    );
    const remote = unknown.filter(
      cell => cell.dataCentre !== this.ownDataCentre,
    );
    return [...local, ...remote];
  }

  /** Cells with a summary, the one with the oldest summary first. */
  knownCellsOldestFirst(cells: CellMap): readonly Cell[] {
    const oldestFirst = [...this.entries.values()].sort(
      (a, b) => a.madeAt - b.madeAt,
    );
    const ids = new Set(oldestFirst.map(({summary}) => summary.cell));
    return [...ids].map(id => cells.get(id)).filter(cell => cell !== undefined);
  }

  /** Up to `limit` summaries to send to another process: those of the model first, then newer before older. */
  summariesToShare(
    model: string | undefined,
    limit: number,
  ): readonly SummaryMessage[] {
    const now = this.clock.monotonicMilliseconds();
    const chosen: DirectoryEntry[] = [];
    for (const entry of this.entries.values()) {
      const lessPreferred = chosen.findIndex(other =>
        isPreferred(entry, other, model),
      );
      const position = lessPreferred < 0 ? chosen.length : lessPreferred;
      if (position < limit) {
        chosen.splice(position, 0, entry);
        chosen.length = Math.min(chosen.length, limit);
      }
    }
    return chosen.map(({summary, madeAt}) => ({
      ...summary,
      ageMilliseconds: Math.round(now - madeAt),
    }));
  }

  /** Removes summaries that are too old or whose cell no longer exists. */
  removeStale(cells: CellMap): void {
    const oldest = this.clock.monotonicMilliseconds() - RETENTION_MILLISECONDS;
    for (const [key, {summary, madeAt}] of this.entries) {
      if (cells.get(summary.cell) === undefined || madeAt < oldest) {
        this.entries.delete(key);
      }
    }
  }

  /** Replaces a cell's summaries by those in its owner's response, which omits models that the cell doesn't serve. */
  replaceSummaries(cell: string, summaries: readonly SummaryMessage[]): void {
    for (const [key, {summary}] of this.entries) {
      if (summary.cell === cell) {
        this.entries.delete(key);
      }
    }
    this.recordSummaries(summaries);
  }

  private summaryOf(
    {summary, madeAt}: DirectoryEntry,
    cell: Cell,
  ): CellSummary {
    const {dataCentre} = cell;
    const now = this.clock.monotonicMilliseconds();
    return {
      cell: cell.id,
      model: summary.model,
      dataCentre,
      freeSlots: summary.freeSlots,
      earliestStartMilliseconds: summary.earliestStartMilliseconds,
      linkMilliseconds: this.linkMillisecondsByDataCentre.get(dataCentre) ?? 0,
      ageMilliseconds: now - madeAt,
    };
  }

  private evictOldest(): void {
    for (const key of this.entries.keys()) {
      if (this.entries.size <= MAX_ENTRIES) {
        return;
      }
      this.entries.delete(key);
    }
  }
}

/** Whether the left summary is sent in preference to the right one. */
function isPreferred(
  left: DirectoryEntry,
  right: DirectoryEntry,
  model: string | undefined,
): boolean {
  const leftMatches = left.summary.model === model;
  if (leftMatches !== (right.summary.model === model)) {
    return leftMatches;
  }
  return left.madeAt > right.madeAt;
}
