import {Clock} from '../../../base/common/clock.js';
import {
  Disposable,
  DisposableOwner,
  toDisposable,
} from '../../../base/common/lifecycle.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {CellMap} from '../common/cellMap.js';
import {CellOwnerClient} from './cellOwnerClient.js';
import {CellDirectory} from './cellDirectory.js';

/** Interval between calls while cells without a summary are left to ask. */
const UNKNOWN_CELLS_INTERVAL_MILLISECONDS = 500;
/** Interval between calls otherwise. */
const REFRESH_INTERVAL_MILLISECONDS = 10000;
const JITTER = 0.5;
/** Delay before the owner of a cell that still has no summary is asked again. */
const REPEAT_INTERVAL_MILLISECONDS = 10000;

/** Keeps the cell directory current by asking one owner at a time for summaries, for unknown cells first. */
export class DirectoryRefresher extends DisposableOwner {
  private cells = CellMap.empty;
  private readonly askedAt = new Map<string, number>();
  private readonly stopped = new AbortController();
  private timer: Disposable | undefined;

  constructor(
    private readonly directory: CellDirectory,
    private readonly ownerClient: CellOwnerClient,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {
    super();
    this.register(
      toDisposable(() => {
        this.stopped.abort();
        this.timer?.dispose();
      }),
    );
    this.schedule();
  }

  /** Replaces the cells by those of a new system view. */
  update(cells: CellMap): void {
    this.cells = cells;
    for (const id of [...this.askedAt.keys()]) {
      if (cells.get(id) === undefined) {
        this.askedAt.delete(id);
      }
    }
  }

  private schedule(): void {
    if (this.isDisposed) {
      return;
    }
    const hasUnknownCell = this.nextUnknownCell() !== undefined;
    const interval = hasUnknownCell
      ? UNKNOWN_CELLS_INTERVAL_MILLISECONDS
      : REFRESH_INTERVAL_MILLISECONDS;
    const jitter = 1 + JITTER * (2 * this.random.next() - 1);
    this.timer = this.clock.setTimer(interval * jitter, () => {
      void this.refresh().finally(() => this.schedule());
    });
  }

  private nextUnknownCell(): string | undefined {
    const latestAskedAt =
      this.clock.monotonicMilliseconds() - REPEAT_INTERVAL_MILLISECONDS;
    return this.directory
      .unknownCells(this.cells)
      .find(({id}) => (this.askedAt.get(id) ?? -Infinity) <= latestAskedAt)?.id;
  }

  private async refresh(): Promise<void> {
    const [oldestKnown] = this.directory.knownCellsOldestFirst(this.cells);
    const cell = this.nextUnknownCell() ?? oldestKnown?.id;
    if (cell === undefined) {
      return;
    }
    this.askedAt.set(cell, this.clock.monotonicMilliseconds());
    const ownerAnswer = await this.ownerClient.ask(
      cell,
      (authority, signal) => authority.summaries(undefined, signal),
      this.stopped.signal,
      () => undefined,
    );
    this.directory.recordSummaries(ownerAnswer?.answer ?? []);
  }
}
