/** Randomness as a port, so that decisions can be repeated from a seed. */
export abstract class RandomSource {
  /** A number in [0, 1). */
  abstract next(): number;

  /** A whole number in [0, limit). */
  nextInteger(limit: number): number {
    return Math.floor(this.next() * limit);
  }
}

const MULBERRY_INCREMENT = 0x6d2b79f5;
const TWO_TO_THE_32 = 4294967296;

/** A repeatable source (mulberry32); not for secrets. */
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
    return ((mixed ^ (mixed >>> 14)) >>> 0) / TWO_TO_THE_32;
  }
}
