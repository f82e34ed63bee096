/** Source of random numbers, so that decisions can be reproduced from a seed. */
export abstract class RandomSource {
  /** A number in [0, 1). */
  abstract next(): number;

  /** An integer in [0, limit). */
  nextInteger(limit: number): number {
    return Math.floor(this.next() * limit);
  }
}

const MULBERRY_INCREMENT = 0x6d2b79f5;
const UINT32_RANGE = 4294967296;

/** A reproducible generator (mulberry32); not cryptographically secure. */
export class SeededRandomSource extends RandomSource {
  private state: number;

  constructor(seed: number) {
    super();
    this.state = seed >>> 0;
  }

  override next(): number {
    this.state = (this.state + MULBERRY_INCREMENT) >>> 0;
    let mixed = this.state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE;
  }
}
