import {Demand} from './placementView.js';
import {ReplicaState} from './replicaState.js';

const SMOOTHING_MILLISECONDS = 60_000;

/**
 * Smooths the reported load of each model. Needs no messages of its own: by Little's law, the number of resident and
 * queued sequences is the request rate times the time that requests take.
 */
export class DemandMeter {
  private smoothedSequences = new Map<string, number>();
  private startedAt: number | undefined;
  private lastObservedAt = 0;

  /** Adds the current load of the replicas. */
  observe(states: readonly ReplicaState[], now: number): void {
    const current = sequencesByModel(states);
    const isFirst = this.startedAt === undefined;
    const elapsed = now - this.lastObservedAt;
    const weight = isFirst
      ? 1
      : 1 - Math.exp(-elapsed / SMOOTHING_MILLISECONDS);
    const names = new Set([
      ...current.keys(),
      ...this.smoothedSequences.keys(),
    ]);
    const smoothed = new Map<string, number>();
    for (const name of names) {
      const previous = this.smoothedSequences.get(name) ?? 0;
      const value = previous + weight * ((current.get(name) ?? 0) - previous);
      if (value > NEGLIGIBLE_SEQUENCES) {
        smoothed.set(name, value);
      }
    }
    this.smoothedSequences = smoothed;
    this.startedAt ??= now;
    this.lastObservedAt = now;
  }

  /** Returns the smoothed load and the time over which it was observed. */
  demand(now: number): Demand {
    const observedMilliseconds = now - (this.startedAt ?? now);
    return {sequences: this.smoothedSequences, observedMilliseconds};
  }

  /** Discards the load, which is outdated after a time without observation. */
  reset(): void {
    this.smoothedSequences = new Map();
    this.startedAt = undefined;
  }
}

const NEGLIGIBLE_SEQUENCES = 0.01;

function sequencesByModel(
  states: readonly ReplicaState[],
): ReadonlyMap<string, number> {
  const totals = new Map<string, number>();
  for (const {model, occupied} of states) {
    if (model !== undefined) {
      totals.set(model, (totals.get(model) ?? 0) + occupied);
    }
  }
  return totals;
}
