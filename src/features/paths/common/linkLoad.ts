import {Clock} from '../../../base/common/clock.js';

/** Crossings of this time count: a transfer that waits longer breaks the pauses that callers allow. */
const WINDOW_MILLISECONDS = 1_000;

/**
 * Part of the link between data centres that paths may take. Prompts that cross hold up the tokens of
 * all streams that cross; beyond half of the link they wait for each other, streams last longer, more of
 * them are under way, and nothing gets better until load falls.
 */
const USABLE_SHARE = 0.5;

const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1_000_000;

interface Crossing {
  readonly at: number;
  readonly bytes: number;
}

/** How much of the link between data centres this instance's paths take, and by guess all instances'. */
export class LinkLoad {
  private readonly crossings: Crossing[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly instanceCount: () => number,
  ) {}

  /** A path was taken whose tokens cross. */
  note(bytes: number): void {
    if (bytes > 0) {
      this.crossings.push({at: this.clock.monotonicMilliseconds(), bytes});
    }
  }

  /**
   * Factor on the cost of a crossing: 1 on an idle link, Infinity when paths may take no more of it.
   * All instances are taken to cross as much as this one.
   */
  costFactor(pipeMegabits: number): number {
    this.forgetOld();
    const own = this.crossings.reduce((sum, {bytes}) => sum + bytes, 0);
    const bits = own * BITS_PER_BYTE * Math.max(1, this.instanceCount());
    const perSecond = (bits * 1000) / WINDOW_MILLISECONDS;
    const share = perSecond / Math.max(1, pipeMegabits * BITS_PER_MEGABIT);
    return share >= USABLE_SHARE ? Infinity : 1 / (1 - share / USABLE_SHARE);
  }

  private forgetOld(): void {
    const from = this.clock.monotonicMilliseconds() - WINDOW_MILLISECONDS;
    while (this.crossings[0] !== undefined && this.crossings[0].at < from) {
      this.crossings.shift();
    }
  }
}
