/** A mean of samples whose weight halves with age, mixed with a fallback as they age. */
export class DecayedMean {
  private weightedSum = 0;
  private weight = 0;
  private at = 0;

  /** @param timeConstant milliseconds in which the weight of a sample falls to 1/e */
  constructor(private readonly timeConstant: number) {}

  /** Adds a sample that stands for `count` measurements. */
  add(value: number, count: number, now: number): void {
    this.decayTo(now);
    this.weightedSum += value * count;
    this.weight += count;
  }

  /** The mean, drawn towards the fallback once the samples have aged. */
  value(fallback: number, now: number): number {
    this.decayTo(now);
    const trust = Math.min(1, this.weight);
    if (trust === 0) {
      return fallback;
    }
    const mean = this.weightedSum / this.weight;
    return trust * mean + (1 - trust) * fallback;
  }

  private decayTo(now: number): void {
    const factor = Math.exp(-(now - this.at) / this.timeConstant);
    this.at = now;
    this.weight = this.weight * factor < SMALLEST ? 0 : this.weight * factor;
    this.weightedSum = this.weight === 0 ? 0 : this.weightedSum * factor;
  }
}

const SMALLEST = 1e-6;
