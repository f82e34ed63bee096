import {Clock} from '../../../base/common/clock.js';
import {SummaryNote} from '../common/cellMessages.js';
import {CellMap} from '../common/cellMap.js';
import {CellSummary} from '../common/chooseCells.js';
import {Cell} from '../common/cells.js';

interface Learned {
  readonly note: SummaryNote;
  /** Monotonic milliseconds here at which the owner made it, as far as its age was told. */
  readonly madeAt: number;
}

/** Notes older than this tell nothing of load, only which models a cell serves. */
const FORGET_MILLISECONDS = 120000;
const NOTES_KEPT = 8192;
const LINK_SMOOTHING = 0.2;

/** What this process has heard of all cells, from replies and its own decisions. */
export class CellDirectory {
  private readonly notes = new Map<string, Learned>();
  private readonly linkByDataCentre = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly ownDataCentre: string,
  ) {}

  /** Takes notes; an older one never replaces a newer one. */
  learn(notes: readonly SummaryNote[]): void {
    const now = this.clock.monotonicMilliseconds();
    for (const note of notes) {
      const key = `${note.cell} ${note.model}`;
      const madeAt = now - note.ageMilliseconds;
      if ((this.notes.get(key)?.madeAt ?? -Infinity) <= madeAt) {
        this.notes.delete(key);
        this.notes.set(key, {note, madeAt});
      }
    }
    this.bound();
  }

  /** Takes the measured time of one trip to a data centre. */
  learnLink(dataCentre: string, milliseconds: number): void {
    const known = this.linkByDataCentre.get(dataCentre) ?? milliseconds;
    const smoothed = known + LINK_SMOOTHING * (milliseconds - known);
    this.linkByDataCentre.set(dataCentre, smoothed);
  }

  /** Summaries of the cells that serve a model, as far as heard. */
  serving(model: string, cells: CellMap): readonly CellSummary[] {
    const found: CellSummary[] = [];
    for (const learned of this.notes.values()) {
      const cell = cells.get(learned.note.cell);
      if (learned.note.model === model && cell !== undefined) {
        found.push(this.summaryOf(learned, cell));
      }
    }
    return found;
  }

  /** Cells of which nothing was heard, those of the own data centre first. */
  unheard(cells: CellMap): readonly Cell[] {
    const heard = new Set([...this.notes.values()].map(({note}) => note.cell));
    const unheard = cells.all.filter(({id}) => !heard.has(id));
    const near = unheard.filter(one => one.dataCentre === this.ownDataCentre);
    const far = unheard.filter(one => one.dataCentre !== this.ownDataCentre);
    return [...near, ...far];
  }

  /** Cells heard of, the one heard of the longest ago first. */
  longestUnheard(cells: CellMap): readonly Cell[] {
    const oldestFirst = [...this.notes.values()].sort(
      (a, b) => a.madeAt - b.madeAt,
    );
    const ids = new Set(oldestFirst.map(({note}) => note.cell));
    return [...ids].map(id => cells.get(id)).filter(cell => cell !== undefined);
  }

  /** A few notes to tell another process, those of the model first, the freshest first. */
  toTell(model: string | undefined, limit: number): readonly SummaryNote[] {
    const now = this.clock.monotonicMilliseconds();
    const chosen: Learned[] = [];
    for (const learned of this.notes.values()) {
      const worse = chosen.findIndex(one => isTold(learned, one, model));
      const place = worse < 0 ? chosen.length : worse;
      if (place < limit) {
        chosen.splice(place, 0, learned);
        chosen.length = Math.min(chosen.length, limit);
      }
    }
    return chosen.map(({note, madeAt}) => ({
      ...note,
      ageMilliseconds: Math.round(now - madeAt),
    }));
  }

  /** Forgets what was heard of cells that no longer exist and what is too old. */
  retain(cells: CellMap): void {
    const oldest = this.clock.monotonicMilliseconds() - FORGET_MILLISECONDS;
    for (const [key, {note, madeAt}] of this.notes) {
      if (cells.get(note.cell) === undefined || madeAt < oldest) {
        this.notes.delete(key);
      }
    }
  }

  /** Takes what a cell's own authority answered: models that it does not name are not served there. */
  learnFromOwner(cell: string, notes: readonly SummaryNote[]): void {
    for (const [key, {note}] of this.notes) {
      if (note.cell === cell) {
        this.notes.delete(key);
      }
    }
    this.learn(notes);
  }

  private summaryOf({note, madeAt}: Learned, cell: Cell): CellSummary {
    const {dataCentre} = cell;
    const now = this.clock.monotonicMilliseconds();
    return {
      cell: cell.id,
      model: note.model,
      dataCentre,
      freeSlots: note.freeSlots,
      earliestStartMilliseconds: note.earliestStartMilliseconds,
      linkMilliseconds: this.linkByDataCentre.get(dataCentre) ?? 0,
      ageMilliseconds: now - madeAt,
    };
  }

  private bound(): void {
    for (const key of this.notes.keys()) {
      if (this.notes.size <= NOTES_KEPT) {
        return;
      }
      this.notes.delete(key);
    }
  }
}

/** Whether one note is rather told than another. */
function isTold(
  left: Learned,
  right: Learned,
  model: string | undefined,
): boolean {
  const leftMatches = left.note.model === model;
  if (leftMatches !== (right.note.model === model)) {
    return leftMatches;
  }
  return left.madeAt > right.madeAt;
}
