import {Demand} from './placementView.js';
import {ReplicaState} from './replicaState.js';

const SMOOTHING_MILLISECONDS = 60_000;

/**
 * Smooths the load that engines report, by model. No message is spent on it: by Little's law the
 * sequences resident and queued are the request rate times the time that requests take.
 */
export class DemandMeter {
  private sequences = new Map<string, number>();
  private startedAt: number | undefined;
  private observedAt = 0;

  /** Takes the replicas as they are now. */
  observe(states: readonly ReplicaState[], now: number): void {
    const present = sequencesByModel(states);
    const isFirst = this.startedAt === undefined;
    const elapsed = now - this.observedAt;
    const weight = isFirst
      ? 1
      : 1 - Math.exp(-elapsed / SMOOTHING_MILLISECONDS);
    const names = new Set([...present.keys(), ...this.sequences.keys()]);
    const smoothed = new Map<string, number>();
    for (const name of names) {
      const before = this.sequences.get(name) ?? 0;
      const value = before + weight * ((present.get(name) ?? 0) - before);
      if (value > NEGLIGIBLE) {
        smoothed.set(name, value);
      }
    }
    this.sequences = smoothed;
    this.startedAt ??= now;
    this.observedAt = now;
  }

  /** What was observed so far. */
  demand(now: number): Demand {
    const observedMilliseconds = now - (this.startedAt ?? now);
    return {sequences: this.sequences, observedMilliseconds};
  }

  /** Forgets everything, as after a time without observation. */
  reset(): void {
    this.sequences = new Map();
    this.startedAt = undefined;
  }
}

const NEGLIGIBLE = 0.01;

function sequencesByModel(
  states: readonly ReplicaState[],
): ReadonlyMap<string, number> {
  const found = new Map<string, number>();
  for (const {model, occupied} of states) {
    if (model !== undefined) {
      found.set(model, (found.get(model) ?? 0) + occupied);
    }
  }
  return found;
}
