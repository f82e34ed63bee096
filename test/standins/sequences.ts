import {LayerRange} from '../../src/infrastructure/engine/common/engineConnection.js';
import {LayerCache, ReplyPlan} from './referenceModel.js';

/** Steps that may wait for a slot; more are refused as overloaded. */
const WAITING_LIMIT = 1000;

/** A request's KV cache, which holds one of the engine's slots. */
export class Sequence {
  readonly caches = new Map<number, LayerCache>();
  /** Token texts, at first stages only. */
  readonly tokens: string[] = [];
  /** Of the tokens; undefined until a first stage has computed it. */
  plan: ReplyPlan | undefined;
  runningSteps = 0;
  lastUsed = performance.now();
  /** Its slot is given up when the last running step ends. */
  isEnding = false;
  /** How much its last timer overshot; taken off the next. */
  overshoot = 0;
  private tail: Promise<void> = Promise.resolve();

  constructor(readonly requestId: string) {}

  /** Positions that the caches of all these layers cover. */
  coveredTo(layers: LayerRange): number {
    let covered = Number.POSITIVE_INFINITY;
    for (let layer = layers.from; layer < layers.to; layer++) {
      covered = Math.min(covered, this.caches.get(layer)?.length ?? 0);
    }
    return Number.isFinite(covered) ? covered : 0;
  }

  cacheOf(layer: number): LayerCache {
    const existing = this.caches.get(layer);
    if (existing !== undefined) {
      return existing;
    }
    const created: LayerCache = [];
    this.caches.set(layer, created);
    return created;
  }

  /** Runs steps of one sequence one after the other. */
  async inTurn<T>(run: () => Promise<T>): Promise<T> {
    const before = this.tail;
    let finish = (): void => undefined;
    this.tail = new Promise(resolve => {
      finish = resolve;
    });
    await before;
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

/** The sequences resident at an engine and those that wait, by priority then arrival. */
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

  get isFull(): boolean {
    return this.waiters.length >= WAITING_LIMIT;
  }

  get(requestId: string): Sequence | undefined {
    return this.resident.get(requestId);
  }

  /** Waits for a slot; undefined when it stopped waiting for one. */
  acquire(
    requestId: string,
    epoch: number,
    priority: number,
    onDidGo: (stop: () => void) => void,
  ): Promise<Sequence | undefined> {
    return new Promise(resolve => {
      this.arrivals++;
      const arrival = this.arrivals;
      const waiter = {requestId, epoch, priority, arrival, settle: resolve};
      this.waiters.push(waiter);
      onDidGo(() => this.stopWaiting(candidate => candidate === waiter));
      this.admit();
    });
  }

  /** Ends the waiting of a request at this and lower epochs. */
  stopRequest(requestId: string, epoch: number): void {
    this.stopWaiting(
      waiter => waiter.requestId === requestId && waiter.epoch <= epoch,
    );
  }

  /** Frees the slot of a request, at once or after its running step. */
  free(requestId: string): void {
    const sequence = this.resident.get(requestId);
    if (sequence === undefined) {
      return;
    }
    if (sequence.runningSteps > 0) {
      sequence.isEnding = true;
      return;
    }
    this.resident.delete(requestId);
    this.admit();
  }

  /** Frees sequences without steps since a time. */
  freeIdle(before: number): void {
    for (const sequence of [...this.resident.values()]) {
      if (sequence.runningSteps === 0 && sequence.lastUsed < before) {
        this.free(sequence.requestId);
      }
    }
  }

  /** Drops everything; those that wait are told so. */
  clear(): void {
    this.resident.clear();
    this.stopWaiting(() => true);
  }

  private stopWaiting(matches: (waiter: Waiter) => boolean): void {
    const stopped = this.waiters.filter(matches);
    this.waiters = this.waiters.filter(waiter => !matches(waiter));
    stopped.forEach(waiter => waiter.settle(undefined));
  }

  private admit(): void {
    for (let next = this.nextAdmitted(); next; next = this.nextAdmitted()) {
      const admitted = next;
      this.waiters = this.waiters.filter(waiter => waiter !== admitted);
      admitted.settle(this.makeResident(admitted.requestId));
    }
  }

  private nextAdmitted(): Waiter | undefined {
    const hasRoom = this.resident.size < this.limit;
    let best: Waiter | undefined;
    for (const waiter of this.waiters) {
      const mayRun = hasRoom || this.resident.has(waiter.requestId);
      if (mayRun && (best === undefined || comesBefore(waiter, best))) {
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

function comesBefore(left: Waiter, right: Waiter): boolean {
  if (left.priority !== right.priority) {
    return left.priority < right.priority;
  }
  return left.arrival < right.arrival;
}
