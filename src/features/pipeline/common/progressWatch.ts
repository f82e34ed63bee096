import {BoundedMap} from './boundedMap.js';
import {MovingSpread} from './movingSpread.js';
import {WatchSettings} from './pipelineSettings.js';

const ENOUGH_SAMPLES = 8;

/** What is kept of an upstream across requests. */
export class UpstreamKnowledge {
  /** Observed decode step times, in milliseconds. */
  readonly spread = new MovingSpread();
  /** The engine's process that answered last. */
  incarnation: string | undefined;
}

/** Says how long an answer of a stage may take before the stage counts as silent; times in milliseconds. */
export class ProgressWatch {
  private readonly known: BoundedMap<string, UpstreamKnowledge>;

  constructor(private readonly settings: WatchSettings) {
    this.known = new BoundedMap(settings.trackedUpstreams);
  }

  /** What is known of an upstream; whoever holds it may add to it. */
  knowledgeOf(upstream: string): UpstreamKnowledge {
    return this.known.obtain(upstream, () => new UpstreamKnowledge());
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
