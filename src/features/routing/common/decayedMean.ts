/** A mean with exponentially decaying sample weights, blended with a fallback as its samples age. */
export class DecayedMean {
  private weightedSum = 0;
  private weight = 0;
  private updatedAt = 0;

  /** @param timeConstantMilliseconds time in which the weight of a sample falls to 1/e */
  constructor(private readonly timeConstantMilliseconds: number) {}

  /** Adds a sample that stands for `count` measurements. */
  add(value: number, count: number, now: number): void {
    this.decayTo(now);
    this.weightedSum += value * count;
    this.weight += count;
  }

  /** The mean; once the total weight falls below 1, the fallback makes up the rest. */
  value(fallback: number, now: number): number {
    this.decayTo(now);
    const confidence = Math.min(1, this.weight);
    if (confidence === 0) {
      return fallback;
    }
    const mean = this.weightedSum / this.weight;
    return confidence * mean + (1 - confidence) * fallback;
  }

  private decayTo(now: number): void {
    const factor = Math.exp(
      -(now - this.updatedAt) / this.timeConstantMilliseconds,
    );
    this.updatedAt = now;
    this.weight =
      this.weight * factor < MINIMUM_WEIGHT ? 0 : this.weight * factor;
    this.weightedSum = this.weight === 0 ? 0 : this.weightedSum * factor;
  }
}

const MINIMUM_WEIGHT = 1e-6;
