import {LruMap} from './lruMap.js';
import {MovingStatistics} from './movingStatistics.js';
import {StepTimeoutSettings} from './pipelineSettings.js';

const MINIMUM_SAMPLES = 8;

/** Observations of an upstream that are kept across requests. */
export class UpstreamHistory {
  /** Observed durations of decode steps, in milliseconds. */
  readonly decodeTimes = new MovingStatistics();
  /** The engine process that sent the latest response. */
  incarnation: string | undefined;
}

/** Computes how long a stage may take to respond before it counts as silent; times in milliseconds. */
export class StepTimeouts {
  private readonly known: LruMap<string, UpstreamHistory>;

  constructor(private readonly settings: StepTimeoutSettings) {
    this.known = new LruMap(settings.trackedUpstreams);
  }

  /** The shared history of an upstream; callers add their observations to it. */
  historyOf(upstream: string): UpstreamHistory {
    return this.known.getOrCreate(upstream, () => new UpstreamHistory());
  }

  /** The time-out of one decode step, given the class's target between tokens. */
  decodeTimeoutMilliseconds(
    decodeTimes: MovingStatistics,
    betweenTokensTarget: number,
  ): number {
    const byTarget = this.settings.targetMultiple * betweenTokensTarget;
    const minimum = Math.max(this.settings.decodeFloorMilliseconds, byTarget);
    if (decodeTimes.sampleCount < MINIMUM_SAMPLES) {
      return minimum;
    }
    const byHistory =
      decodeTimes.mean + this.settings.deviations * decodeTimes.meanDeviation;
    return Math.max(minimum, byHistory);
  }

  /**
   * The time-out of a step over many positions; `expectedMilliseconds` is the expected duration of a prefill of the
   * whole prompt.
   */
  prefillTimeoutMilliseconds(
    positions: number,
    promptTokens: number,
    expectedMilliseconds: number,
  ): number {
    const scale = Math.max(1, positions / Math.max(1, promptTokens));
    const bySize = this.settings.prefillMultiple * expectedMilliseconds * scale;
    return Math.max(this.settings.prefillFloorMilliseconds, bySize);
  }
}
