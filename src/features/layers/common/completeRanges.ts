import {
  LayerRange,
  layerCountOf,
  Upstream,
} from '../../fleet/common/upstream.js';

/**
 * Finds ranges with which the upstreams of a data centre hold every layer again after a loss, with little to
 * load and little to give up. Small shifts of many boundaries beat the move of one upstream: that leaves
 * a gap of its own, and cuts off all that runs through it.
 */

/** An upstream of the data centre, with what it may hold. */
export interface RangeHolder {
  readonly upstream: Upstream;
  readonly held: LayerRange;
  /** Most layers that it may hold. */
  readonly limit: number;
  /** Part of the wanted room for requests that a number of layers leaves it, up to 1. */
  readonly roomShareOf: (layerCount: number) => number;
  /** Whether it has an order to carry out, and so keeps its range. */
  readonly isFixed: boolean;
}

/** A range that an upstream is to hold instead of its present one. */
export interface ChangedRange {
  readonly upstream: Upstream;
  readonly range: LayerRange;
}

/**
 * Cost of a layer that is given up, in loads: what runs through it is cut off and read again elsewhere, as after
 * a loss, which costs callers more than a gap that lasts for the load of two layers (0.35 s of 14 s for 80).
 */
const GIVEN_UP_COST = 6;

/**
 * Cost of having half of the wanted room for requests, in squared loads: the upstream with the least room bounds
 * what its data centre takes. As much as a load of seven layers, 1.2 s. On seven simulated days of losses callers got 0.011 more
 * of what they were owed than at 16: -0.014 to 0.083 where many upstreams were slow, -0.013 to 0.003 at the others.
 */
const ROOM_COST = 48;

/** The changes of a data centre, and what they cost. */
export interface Completion {
  readonly changes: readonly ChangedRange[];
  /** In squared loads of a layer; layers that are given up weigh more. */
  readonly cost: number;
  /** Layers that upstreams give up, which cuts off what runs through them. */
  readonly givenUp: number;
}

const NOTHING: Completion = {changes: [], cost: 0, givenUp: 0};

/** The changes that leave no layer unheld at the least cost; undefined where the limits allow none. */
export function completeRanges(
  layerCount: number,
  holders: readonly RangeHolder[],
): Completion | undefined {
  const unheld = firstUnheld(layerCount, holders);
  if (unheld === undefined) {
    return NOTHING;
  }
  const spares = holders.filter(holder => isSpare(holder, holders));
  const best = [undefined, ...spares]
    .map(spare => inOrder(holders, spare, unheld))
    .map(ordered => coverAll(layerCount, ordered))
    .filter(cover => cover !== undefined)
    .sort((left, right) => left.cost - right.cost);
  return best[0];
}

function firstUnheld(
  layerCount: number,
  holders: readonly RangeHolder[],
): number | undefined {
  for (let layer = 0; layer < layerCount; layer++) {
    if (!holders.some(({held}) => holds(held, layer))) {
      return layer;
    }
  }
  return undefined;
}

function holds({from, to}: LayerRange, layer: number): boolean {
  return from <= layer && layer < to;
}

/** Whether others hold all that an upstream holds, so that it may take up any other place. */
function isSpare(
  {held, isFixed, upstream}: RangeHolder,
  holders: readonly RangeHolder[],
): boolean {
  const others = holders.filter(other => other.upstream.id !== upstream.id);
  for (let layer = held.from; layer < held.to; layer++) {
    if (!others.some(other => holds(other.held, layer))) {
      return false;
    }
  }
  return !isFixed;
}

/** By first layer, since ranges keep their order; a spare one stands where layers are unheld. */
function inOrder(
  holders: readonly RangeHolder[],
  spare: RangeHolder | undefined,
  unheld: number,
): readonly RangeHolder[] {
  const placeOf = (holder: RangeHolder): number =>
    holder === spare ? unheld : holder.held.from;
  return [...holders].sort(
    (left, right) =>
      placeOf(left) - placeOf(right) || left.held.to - right.held.to,
  );
}

function coverAll(
  layerCount: number,
  ordered: readonly RangeHolder[],
): Completion | undefined {
  let covers: Array<Completion | undefined> = [NOTHING];
  for (const holder of ordered) {
    covers = coversWith(layerCount, covers, holder);
  }
  return covers[layerCount];
}

/** Covers by boundary once a holder may be used too, behind those before it. */
function coversWith(
  layerCount: number,
  covers: ReadonlyArray<Completion | undefined>,
  holder: RangeHolder,
): Array<Completion | undefined> {
  const next = [...covers];
  for (let from = 0; from < layerCount; from++) {
    const before = covers[from];
    const last = Math.min(layerCount, from + widthOf(holder));
    for (let to = from + 1; before !== undefined && to <= last; to++) {
      const cover = extend(before, holder, {from, to});
      if (cover.cost < (next[to]?.cost ?? Infinity)) {
        next[to] = cover;
      }
    }
  }
  return next;
}

function widthOf({held, isFixed, limit}: RangeHolder): number {
  return isFixed ? layerCountOf(held) : Math.max(limit, layerCountOf(held));
}

function extend(
  before: Completion,
  holder: RangeHolder,
  part: LayerRange,
): Completion {
  const {held, isFixed, upstream} = holder;
  if (held.from <= part.from && part.to <= held.to) {
    return before;
  }
  if (isFixed) {
    return {...before, cost: Infinity};
  }
  const range = rangeAround(part, held, widthOf(holder));
  const kept = overlapOf(range, held);
  const loaded = layerCountOf(range) - kept;
  const givenUp = layerCountOf(held) - kept;
  // Squared: a gap lasts as long as the largest load, so several small ones are better than one.
  const room = holder.roomShareOf(layerCountOf(range));
  const cost =
    before.cost +
    loaded * loaded +
    GIVEN_UP_COST * givenUp +
    ROOM_COST * (1 / room - 1);
  return {
    cost,
    changes: [...before.changes, {upstream, range}],
    givenUp: before.givenUp + givenUp,
  };
}

/** A range with the part, and with as much of what is held already as the width allows. */
function rangeAround(
  part: LayerRange,
  held: LayerRange,
  width: number,
): LayerRange {
  const isApart = held.to < part.from || part.to < held.from;
  if (isApart) {
    return part;
  }
  const spare = width - layerCountOf(part);
  const left = Math.min(spare, Math.max(0, part.from - held.from));
  const right = Math.min(spare - left, Math.max(0, held.to - part.to));
  return {from: part.from - left, to: part.to + right};
}

function overlapOf(left: LayerRange, right: LayerRange): number {
  const from = Math.max(left.from, right.from);
  return Math.max(0, Math.min(left.to, right.to) - from);
}
