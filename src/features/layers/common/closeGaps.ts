import {
  LayerRange,
  layerCountOf,
  Upstream,
} from '../../fleet/common/upstream.js';

/**
 * Finds ranges with which the upstreams of a data centre hold every layer again after a loss, while few layers
 * are loaded or released. Small shifts of many boundaries are better than moving one upstream, which leaves
 * a gap at its old range and aborts all requests that run through it.
 */

/** An upstream of the data centre, with the range that it holds and the limits for a new one. */
export interface RangeHolder {
  readonly upstream: Upstream;
  readonly held: LayerRange;
  /** Maximum number of layers that it may hold. */
  readonly limit: number;
  /** Share of the wanted KV-cache capacity that remains beside a number of layers, at most 1. */
  readonly capacityShareOf: (layerCount: number) => number;
  /** Whether it must keep its range because an order for it is pending. */
  readonly isFixed: boolean;
}

/** A new range for an upstream, in place of the one that it holds. */
export interface RangeChange {
  readonly upstream: Upstream;
  readonly range: LayerRange;
}

/**
 * Cost of a released layer, in squared layer loads. Requests that run through it are aborted and prefilled again
 * elsewhere, which costs callers more than a gap that lasts while two layers load (0.35 s at 14 s for 80 layers).
 */
const RELEASED_LAYER_COST = 6;

/**
 * Cost of halving the wanted KV-cache capacity, in squared layer loads: the upstream with the least capacity
 * limits the throughput of its data centre. About the cost of loading seven layers, which takes 1.2 s.
 */
const CAPACITY_LOSS_COST = 48;

/** Range changes that close the gaps of a data centre, and their cost. */
export interface GapClosure {
  readonly changes: readonly RangeChange[];
  /** In squared layer loads, with penalties for released layers and for lost capacity. */
  readonly cost: number;
  /** Number of layers that upstreams release, which aborts the requests that run through them. */
  readonly givenUp: number;
}

const NO_CHANGES: GapClosure = {changes: [], cost: 0, givenUp: 0};

/** Finds the cheapest changes after which every layer is held; undefined if the limits permit none. */
export function closeGaps(
  layerCount: number,
  holders: readonly RangeHolder[],
): GapClosure | undefined {
  const unheld = findUnheldLayer(layerCount, holders);
  if (unheld === undefined) {
    return NO_CHANGES;
  }
  const spares = holders.filter(holder => isRedundant(holder, holders));
  const best = [undefined, ...spares]
    .map(spare => sortHolders(holders, spare, unheld))
    .map(ordered => findCheapestCover(layerCount, ordered))
    .filter(cover => cover !== undefined)
    .sort((left, right) => left.cost - right.cost);
  return best[0];
}

function findUnheldLayer(
  layerCount: number,
  holders: readonly RangeHolder[],
): number | undefined {
  for (let layer = 0; layer < layerCount; layer++) {
    if (!holders.some(({held}) => includesLayer(held, layer))) {
      return layer;
    }
  }
  return undefined;
}

function includesLayer({from, to}: LayerRange, layer: number): boolean {
  return from <= layer && layer < to;
}

/** Whether other upstreams hold all layers of this one, so that it can move to any other range. */
function isRedundant(
  {held, isFixed, upstream}: RangeHolder,
  holders: readonly RangeHolder[],
): boolean {
  const others = holders.filter(other => other.upstream.id !== upstream.id);
  for (let layer = held.from; layer < held.to; layer++) {
    if (!others.some(other => includesLayer(other.held, layer))) {
      return false;
    }
  }
  return !isFixed;
}

/** Sorts by first layer, since ranges keep their order; the spare holder is placed at the first unheld layer. */
function sortHolders(
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

function findCheapestCover(
  layerCount: number,
  ordered: readonly RangeHolder[],
): GapClosure | undefined {
  let covers: Array<GapClosure | undefined> = [NO_CHANGES];
  for (const holder of ordered) {
    covers = addHolder(layerCount, covers, holder);
  }
  return covers[layerCount];
}

/** The cheapest covers of the first layers, by their number, with one more holder available at the end. */
function addHolder(
  layerCount: number,
  covers: ReadonlyArray<GapClosure | undefined>,
  holder: RangeHolder,
): Array<GapClosure | undefined> {
  const next = [...covers];
  for (let from = 0; from < layerCount; from++) {
    const before = covers[from];
    const last = Math.min(layerCount, from + maxLayersOf(holder));
    for (let to = from + 1; before !== undefined && to <= last; to++) {
      const cover = extendCover(before, holder, {from, to});
      if (cover.cost < (next[to]?.cost ?? Infinity)) {
        next[to] = cover;
      }
    }
  }
  return next;
}

function maxLayersOf({held, isFixed, limit}: RangeHolder): number {
  return isFixed ? layerCountOf(held) : Math.max(limit, layerCountOf(held));
}

function extendCover(
  before: GapClosure,
  holder: RangeHolder,
  part: LayerRange,
): GapClosure {
  const {held, isFixed, upstream} = holder;
  if (held.from <= part.from && part.to <= held.to) {
    return before;
  }
  if (isFixed) {
    return {...before, cost: Infinity};
  }
  const range = rangeAround(part, held, maxLayersOf(holder));
  const overlap = overlapOf(range, held);
  const loaded = layerCountOf(range) - overlap;
  const givenUp = layerCountOf(held) - overlap;
  // Loads are squared because a gap lasts as long as the largest load: several small loads beat a large one.
  const capacityShare = holder.capacityShareOf(layerCountOf(range));
  const cost =
    before.cost +
    loaded * loaded +
    RELEASED_LAYER_COST * givenUp +
    CAPACITY_LOSS_COST * (1 / capacityShare - 1);
  return {
    cost,
    changes: [...before.changes, {upstream, range}],
    givenUp: before.givenUp + givenUp,
  };
}

/** A range that contains the part, extended over layers already held as far as the maximum permits. */
function rangeAround(
  part: LayerRange,
  held: LayerRange,
  maxLayers: number,
): LayerRange {
  const isDisjoint = held.to < part.from || part.to < held.from;
  if (isDisjoint) {
    return part;
  }
  const spare = maxLayers - layerCountOf(part);
  const left = Math.min(spare, Math.max(0, part.from - held.from));
  const right = Math.min(spare - left, Math.max(0, held.to - part.to));
  return {from: part.from - left, to: part.to + right};
}

function overlapOf(left: LayerRange, right: LayerRange): number {
  const from = Math.max(left.from, right.from);
  return Math.max(0, Math.min(left.to, right.to) - from);
}
