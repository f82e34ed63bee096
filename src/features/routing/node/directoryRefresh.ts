import {Clock} from '../../../base/common/clock.js';
import {
  Disposable,
  DisposableOwner,
  toDisposable,
} from '../../../base/common/lifecycle.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {CellMap} from '../common/cellMap.js';
import {CellCaller} from './cellCaller.js';
import {CellDirectory} from './cellDirectory.js';

/** Milliseconds between calls while some cells were never heard of. */
const LEARNING_INTERVAL_MILLISECONDS = 500;
/** Milliseconds between calls once all were heard of. */
const INTERVAL_MILLISECONDS = 10000;
const JITTER = 0.5;
/** Milliseconds before a cell that told nothing is asked again. */
const ASK_AGAIN_MILLISECONDS = 10000;

/** Learns of cells that no reply told of, by asking one owner at a time for summaries. */
export class DirectoryRefresh extends DisposableOwner {
  private cells = CellMap.empty;
  private readonly askedAt = new Map<string, number>();
  private readonly stopped = new AbortController();
  private timer: Disposable | undefined;

  constructor(
    private readonly directory: CellDirectory,
    private readonly caller: CellCaller,
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

  /** Takes a new view. */
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
    const isLearning = this.nextUnheard() !== undefined;
    const interval = isLearning
      ? LEARNING_INTERVAL_MILLISECONDS
      : INTERVAL_MILLISECONDS;
    const jitter = 1 + JITTER * (2 * this.random.next() - 1);
    this.timer = this.clock.setTimer(interval * jitter, () => {
      void this.refresh().finally(() => this.schedule());
    });
  }

  private nextUnheard(): string | undefined {
    const askable = this.clock.monotonicMilliseconds() - ASK_AGAIN_MILLISECONDS;
    return this.directory
      .unheard(this.cells)
      .find(({id}) => (this.askedAt.get(id) ?? -Infinity) <= askable)?.id;
  }

  private async refresh(): Promise<void> {
    const [stalest] = this.directory.longestUnheard(this.cells);
    const cell = this.nextUnheard() ?? stalest?.id;
    if (cell === undefined) {
      return;
    }
    this.askedAt.set(cell, this.clock.monotonicMilliseconds());
    const placed = await this.caller.ask(
      cell,
      (authority, signal) => authority.summaries(undefined, signal),
      this.stopped.signal,
      () => undefined,
    );
    this.directory.learn(placed?.answer ?? []);
  }
}
