import {Clock} from '../../../base/common/clock.js';

/** Window over which the load is measured. A transfer that waits longer exceeds the pause that callers tolerate. */
const LOAD_WINDOW_MILLISECONDS = 1_000;

/**
 * Share of the link between data centres that paths may use. Prompts on the link delay the tokens of all crossing
 * streams. Beyond half of the link, transfers queue behind each other: streams last longer, more of them are active
 * at once, and the queue does not shrink until load falls.
 */
const USABLE_LINK_SHARE = 0.5;

const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1_000_000;

interface Crossing {
  readonly at: number;
  readonly bytes: number;
}

/** Load on the link between data centres from the paths of this instance, and an estimate for all instances. */
export class LinkLoad {
  private readonly crossings: Crossing[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly instanceCount: () => number,
  ) {}

  /** Records the bytes that a chosen path sends between data centres. */
  recordCrossing(bytes: number): void {
    if (bytes > 0) {
      this.crossings.push({at: this.clock.monotonicMilliseconds(), bytes});
    }
  }

  /**
   * Factor on the cost of a crossing: 1 on an idle link, Infinity at the usable share of the link.
   * All instances are assumed to transfer as much as this one.
   */
  costFactor(pipeMegabits: number): number {
    this.removeExpired();
    const ownBytes = this.crossings.reduce((sum, {bytes}) => sum + bytes, 0);
    const bits = ownBytes * BITS_PER_BYTE * Math.max(1, this.instanceCount());
    const perSecond = (bits * 1000) / LOAD_WINDOW_MILLISECONDS;
    const share = perSecond / Math.max(1, pipeMegabits * BITS_PER_MEGABIT);
    return share >= USABLE_LINK_SHARE
      ? Infinity
      : 1 / (1 - share / USABLE_LINK_SHARE);
  }

  private removeExpired(): void {
    const from = this.clock.monotonicMilliseconds() - LOAD_WINDOW_MILLISECONDS;
    while (this.crossings[0] !== undefined && this.crossings[0].at < from) {
      this.crossings.shift();
    }
  }
}
