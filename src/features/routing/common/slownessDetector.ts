/** Decode samples that an upstream needs before others are compared with it. */
const MINIMUM_SAMPLES = 8;
const MINIMUM_PEERS = 2;
const MEAN_SMOOTHING = 0.2;
/** Ratio to the median of its peers above which an observation counts as slow. */
const SLOW_RATIO = 3;
/** Slow observations in a row after which an upstream is reported. */
const CONSECUTIVE_SLOW_OBSERVATIONS = 5;

interface DecodeRecord {
  readonly kind: string;
  meanMilliseconds: number;
  samples: number;
  consecutiveSlow: number;
}

/** Detects upstreams that decode much slower than their peers of the same kind (accelerator and layer count). */
export class SlownessDetector {
  private readonly records = new Map<string, DecodeRecord>();

  /** Adds a mean decode time; returns whether the upstream now counts as much slower than its peers. */
  observe(upstream: string, kind: string, milliseconds: number): boolean {
    const record = this.recordOf(upstream, kind);
    const median = this.peerMedian(upstream, kind);
    const isSlow = median !== undefined && milliseconds > SLOW_RATIO * median;
    record.consecutiveSlow = isSlow ? record.consecutiveSlow + 1 : 0;
    record.meanMilliseconds +=
      MEAN_SMOOTHING * (milliseconds - record.meanMilliseconds);
    record.samples += 1;
    return record.consecutiveSlow >= CONSECUTIVE_SLOW_OBSERVATIONS;
  }

  /** Drops an upstream's record, for instance after a restart. */
  forget(upstream: string): void {
    this.records.delete(upstream);
  }

  private recordOf(upstream: string, kind: string): DecodeRecord {
    const existing = this.records.get(upstream);
    if (existing !== undefined && existing.kind === kind) {
      return existing;
    }
    const record = {kind, meanMilliseconds: 0, samples: 0, consecutiveSlow: 0};
    this.records.set(upstream, record);
    return record;
  }

  private peerMedian(upstream: string, kind: string): number | undefined {
    const means: number[] = [];
    for (const [name, record] of this.records) {
      const isPeer = name !== upstream && record.kind === kind;
      if (isPeer && record.samples >= MINIMUM_SAMPLES) {
        means.push(record.meanMilliseconds);
      }
    }
    if (means.length < MINIMUM_PEERS) {
      return undefined;
    }
    means.sort((a, b) => a - b);
    return means[Math.floor(means.length / 2)];
  }
}
