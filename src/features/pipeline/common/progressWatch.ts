import {BoundedMap} from './boundedMap.js';
import {MovingSpread} from './movingSpread.js';
import {WatchSettings} from './pipelineSettings.js';

const ENOUGH_SAMPLES = 8;

/** Says how long an answer of a stage may take before the stage counts as silent; times in milliseconds. */
export class ProgressWatch {
  private readonly spreads: BoundedMap<string, MovingSpread>;

  constructor(private readonly settings: WatchSettings) {
    this.spreads = new BoundedMap(settings.trackedUpstreams);
  }

  /** The observed decode step times of an upstream; whoever holds it may add to it. */
  spreadOf(upstream: string): MovingSpread {
    return this.spreads.obtain(upstream, () => new MovingSpread());
  }

  /** The limit of one decode step, given the token target of the class. */
  decodeLimit(spread: MovingSpread, betweenTokensTarget: number): number {
    const byTarget = this.settings.targetMultiple * betweenTokensTarget;
    const limit = Math.max(this.settings.decodeFloorMilliseconds, byTarget);
    if (spread.samples < ENOUGH_SAMPLES) {
      return limit;
    }
    const bySpread = spread.mean + this.settings.deviations * spread.deviation;
    return Math.max(limit, bySpread);
  }

  /**
   * The limit of a step over many positions.
   * `expectedMilliseconds` is what a prefill of the whole prompt should take.
   */
  prefillLimit(
    positions: number,
    promptTokens: number,
    expectedMilliseconds: number,
  ): number {
    const scale = Math.max(1, positions / Math.max(1, promptTokens));
    const bySize = this.settings.prefillMultiple * expectedMilliseconds * scale;
    return Math.max(this.settings.prefillFloorMilliseconds, bySize);
  }
}
