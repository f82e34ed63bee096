import {LayerRange} from '../../src/infrastructure/engine/common/engineConnection.js';
import {LayerCache, ReplyPlan} from './referenceModel.js';

/** Maximum number of steps waiting for a slot; further ones are refused as overloaded. */
const WAITER_LIMIT = 1000;

/** The KV cache of a request; occupies one of the engine's slots. */
export class Sequence {
  readonly caches = new Map<number, LayerCache>();
  /** Tokens of prompt and reply; first stages only. */
  readonly tokens: string[] = [];
  /** Reply plan for `tokens`; undefined until a first stage has computed it. */
  plan: ReplyPlan | undefined;
  runningSteps = 0;
  lastUsed = performance.now();
  /** Whether the slot is to be freed when the last running step ends. */
  isFreePending = false;
  /** Time by which the last timer overshot; subtracted from the next wait. */
  overshootMilliseconds = 0;
  private lastTurn: Promise<void> = Promise.resolve();

  constructor(readonly requestId: string) {}

  /** Number of positions that are cached in all of these layers. */
  coveredPositions(layers: LayerRange): number {
    let covered = Number.POSITIVE_INFINITY;
    for (let layer = layers.from; layer < layers.to; layer++) {
      covered = Math.min(covered, this.caches.get(layer)?.length ?? 0);
    }
    return Number.isFinite(covered) ? covered : 0;
  }

  getOrCreateCache(layer: number): LayerCache {
    const existing = this.caches.get(layer);
    if (existing !== undefined) {
      return existing;
    }
    const created: LayerCache = [];
    this.caches.set(layer, created);
    return created;
  }

  /** Runs the steps of this sequence one at a time, in order of arrival. */
  async runExclusively<T>(run: () => Promise<T>): Promise<T> {
    const previousTurn = this.lastTurn;
    let finish = (): void => undefined;
    this.lastTurn = new Promise(resolve => {
      finish = resolve;
    });
    await previousTurn;
    try {
      return await run();
    } finally {
      finish();
    }
  }
}

interface Waiter {
  readonly requestId: string;
  readonly epoch: number;
  readonly priority: number;
  readonly arrival: number;
  readonly settle: (sequence: Sequence | undefined) => void;
}

/** The resident sequences of an engine and the steps waiting for a slot, ordered by priority, then arrival. */
export class SequenceSlots {
  private readonly resident = new Map<string, Sequence>();
  private waiters: Waiter[] = [];
  private arrivals = 0;

  constructor(private readonly limit: number) {}

  get residentCount(): number {
    return this.resident.size;
  }

  get waitingCount(): number {
    return new Set(this.waiters.map(waiter => waiter.requestId)).size;
  }

  get isQueueFull(): boolean {
    return this.waiters.length >= WAITER_LIMIT;
  }

  get(requestId: string): Sequence | undefined {
    return this.resident.get(requestId);
  }

  /** Waits for a slot; undefined when cancelled, disconnected or cleared. */
  acquire(
    requestId: string,
    epoch: number,
    priority: number,
    onDidDisconnect: (stop: () => void) => void,
  ): Promise<Sequence | undefined> {
    return new Promise(resolve => {
      this.arrivals++;
      const arrival = this.arrivals;
      const waiter = {requestId, epoch, priority, arrival, settle: resolve};
      this.waiters.push(waiter);
      onDidDisconnect(() =>
        this.stopWaiting(candidate => candidate === waiter),
      );
      this.admitWaiters();
    });
  }

  /** Stops waiting steps of a request at this and lower epochs. */
  cancelWaiters(requestId: string, epoch: number): void {
    this.stopWaiting(
      waiter => waiter.requestId === requestId && waiter.epoch <= epoch,
    );
  }

  /** Frees the slot of a request, at once or after its running steps. */
  free(requestId: string): void {
    const sequence = this.resident.get(requestId);
    if (sequence === undefined) {
      return;
    }
    if (sequence.runningSteps > 0) {
      sequence.isFreePending = true;
      return;
    }
    this.resident.delete(requestId);
    this.admitWaiters();
  }

  /** Frees sequences last used before a time (monotonic milliseconds). */
  freeIdle(before: number): void {
    for (const sequence of [...this.resident.values()]) {
      if (sequence.runningSteps === 0 && sequence.lastUsed < before) {
        this.free(sequence.requestId);
      }
    }
  }

  /** Removes all sequences; waiting steps resolve with undefined. */
  clear(): void {
    this.resident.clear();
    this.stopWaiting(() => true);
  }

  private stopWaiting(matches: (waiter: Waiter) => boolean): void {
    const stopped = this.waiters.filter(matches);
    this.waiters = this.waiters.filter(waiter => !matches(waiter));
    stopped.forEach(waiter => waiter.settle(undefined));
  }

  private admitWaiters(): void {
    for (let next = this.findNextWaiter(); next; next = this.findNextWaiter()) {
      const admitted = next;
      this.waiters = this.waiters.filter(waiter => waiter !== admitted);
      admitted.settle(this.makeResident(admitted.requestId));
    }
  }

  private findNextWaiter(): Waiter | undefined {
    const hasFreeSlot = this.resident.size < this.limit;
    let best: Waiter | undefined;
    for (const waiter of this.waiters) {
      const canRun = hasFreeSlot || this.resident.has(waiter.requestId);
      if (canRun && (best === undefined || precedes(waiter, best))) {
        best = waiter;
      }
    }
    return best;
  }

  private makeResident(requestId: string): Sequence {
    const sequence = this.resident.get(requestId) ?? new Sequence(requestId);
    this.resident.set(requestId, sequence);
    return sequence;
  }
}

function precedes(left: Waiter, right: Waiter): boolean {
  if (left.priority !== right.priority) {
    return left.priority < right.priority;
  }
  return left.arrival < right.arrival;
}
