/** Decode samples needed before an upstream is judged or serves as a peer. */
const SAMPLES_NEEDED = 8;
const PEERS_NEEDED = 2;
const SMOOTHING = 0.2;
/** Times the median of its peers at which an upstream counts as much slower. */
const MUCH_SLOWER = 3;
/** Observations in a row that must be much slower. */
const CONSECUTIVE = 5;

interface DecodeRecord {
  readonly kind: string;
  mean: number;
  samples: number;
  slowInARow: number;
}

/** Tells when an upstream decodes much slower than its peers of the same kind and layer count. */
export class SlownessDetector {
  private readonly records = new Map<string, DecodeRecord>();

  /** Takes a mean decode time; true if the upstream is now much slower than its peers. */
  observe(upstream: string, kind: string, milliseconds: number): boolean {
    const record = this.recordOf(upstream, kind);
    const median = this.peerMedian(upstream, kind);
    const slow = median !== undefined && milliseconds > MUCH_SLOWER * median;
    record.slowInARow = slow ? record.slowInARow + 1 : 0;
    record.mean += SMOOTHING * (milliseconds - record.mean);
    record.samples += 1;
    return record.slowInARow >= CONSECUTIVE;
  }

  /** Forgets an upstream's figures, as after a restart. */
  forget(upstream: string): void {
    this.records.delete(upstream);
  }

  private recordOf(upstream: string, kind: string): DecodeRecord {
    const known = this.records.get(upstream);
    if (known !== undefined && known.kind === kind) {
      return known;
    }
    const record = {kind, mean: 0, samples: 0, slowInARow: 0};
    this.records.set(upstream, record);
    return record;
  }

  private peerMedian(upstream: string, kind: string): number | undefined {
    const means: number[] = [];
    for (const [name, record] of this.records) {
      const isPeer = name !== upstream && record.kind === kind;
      if (isPeer && record.samples >= SAMPLES_NEEDED) {
        means.push(record.mean);
      }
    }
    if (means.length < PEERS_NEEDED) {
      return undefined;
    }
    means.sort((a, b) => a - b);
    return means[Math.floor(means.length / 2)];
  }
}
