import {LayerRange, Upstream} from '../../fleet/common/upstream.js';
import {GapClosure, closeGaps, RangeHolder} from './closeGaps.js';
import {LayeredModel} from '../../traffic/common/trafficConfiguration.js';
import {RangeSizes} from './rangeSizes.js';

/** Assigns layers to upstreams that hold none, and moves upstreams if a layer has no holder. */

/** A range that an upstream is to load. */
export interface LayerAssignment {
  readonly upstream: Upstream;
  readonly range: LayerRange;
  readonly reason: 'empty' | 'layerUnheld' | 'dataCentreIncomplete';
}

/** The state that a plan is made for. */
export interface LayerPlanInput {
  readonly layers: LayeredModel;
  readonly sizes: RangeSizes;
  /** Upstreams that are neither leaving nor considered lost. */
  readonly upstreams: readonly Upstream[];
  /** Maximum number of layers that an upstream may hold while its data centre lacks some. */
  readonly limitOf: (upstream: Upstream) => number;
  /** Share of the wanted KV-cache capacity that remains on an upstream beside a number of layers, at most 1. */
  readonly capacityShareOf: (upstream: Upstream, layerCount: number) => number;
  /** Whether ranges may be extended and shifted to close the gaps of a data centre. */
  readonly canCloseGaps: boolean;
  /** Ranges that were ordered but not yet reported, by upstream. */
  readonly orderedRanges: ReadonlyMap<string, LayerRange>;
  /** Upstreams that were added recently. If no layer is missing, they wait until the one that they replace leaves. */
  readonly recentlyAdded: ReadonlySet<string>;
}

/**
 * Weight of the holders in all data centres, relative to those in the upstream's own. Paths inside one data
 * centre are preferred, so a layer that is missing there has the highest priority.
 */
const GLOBAL_SCARCITY_WEIGHT = 0.2;

/** Holders that each layer of an upstream must keep if the upstream is moved elsewhere. */
const MIN_REMAINING_HOLDERS = 2;

/** Number of holders of each layer, by data centre and in total. */
class HolderCounts {
  private readonly totals: number[];
  private readonly countsByDataCentre = new Map<string, number[]>();

  constructor(private readonly layerCount: number) {
    this.totals = new Array<number>(layerCount).fill(0);
  }

  add(dataCentre: string, range: LayerRange, amount = 1): void {
    const local = this.countsIn(dataCentre);
    for (let layer = range.from; layer < range.to; layer++) {
      local[layer]! += amount;
      this.totals[layer]! += amount;
    }
  }

  /** The benefit of one more holder of a range in a data centre. Layers with few holders count most. */
  benefitOf(dataCentre: string, range: LayerRange): number {
    const local = this.countsIn(dataCentre);
    let benefit = 0;
    for (let layer = range.from; layer < range.to; layer++) {
      benefit += scarcity(local[layer]!);
      benefit += GLOBAL_SCARCITY_WEIGHT * scarcity(this.totals[layer]!);
    }
    return benefit;
  }

  /** Number of layers without a holder in a data centre, within a range or overall. */
  unheldLayersIn(
    dataCentre: string,
    range: LayerRange = {from: 0, to: this.layerCount},
  ): number {
    const local = this.countsIn(dataCentre);
    let unheld = 0;
    for (let layer = range.from; layer < range.to; layer++) {
      unheld += local[layer] === 0 ? 1 : 0;
    }
    return unheld;
  }

  /** The smallest number of holders of a layer in a range, over all data centres. */
  minHoldersIn(range: LayerRange): number {
    return Math.min(...this.totals.slice(range.from, range.to));
  }

  /** The first layer without a holder in any data centre. */
  get firstUnheldLayer(): number | undefined {
    const layer = this.totals.indexOf(0);
    return layer === -1 ? undefined : layer;
  }

  private countsIn(dataCentre: string): number[] {
    let local = this.countsByDataCentre.get(dataCentre);
    if (local === undefined) {
      local = new Array<number>(this.layerCount).fill(0);
      this.countsByDataCentre.set(dataCentre, local);
    }
    return local;
  }
}

/** Falls with the square of the number of holders: the first holder counts far more than the second. */
function scarcity(holders: number): number {
  return 1 / ((holders + 0.1) * (holders + 0.1));
}

/**
 * Excludes slow upstreams, so that the layers they hold count as missing. Loading these elsewhere takes one or two
 * seconds, and a slowdown lasts longer. Slow upstreams stay in a data centre whose other upstreams could not hold
 * the whole model, since a slow path is better than crossing data centres for each token.
 */
export function excludeSlow(
  upstreams: readonly Upstream[],
  isSlow: (upstream: string) => boolean,
  input: Pick<LayerPlanInput, 'layers' | 'limitOf'>,
): readonly Upstream[] {
  return [...groupByDataCentre(upstreams).values()].flatMap(group => {
    const healthy = group.filter(({id}) => !isSlow(id));
    return canHoldModel(input, healthy) ? healthy : group;
  });
}

/** Plans the assignments that the current state requires; empty if none. */
export function planLayers(input: LayerPlanInput): readonly LayerAssignment[] {
  const holderCounts = new HolderCounts(input.layers.layerCount);
  const empty: Upstream[] = [];
  for (const upstream of input.upstreams) {
    const range = input.orderedRanges.get(upstream.id) ?? upstream.layers;
    if (range === undefined) {
      empty.push(upstream);
    } else {
      holderCounts.add(upstream.dataCentre, range);
    }
  }
  const assigned = assignToEmpty(input, holderCounts, empty);
  const gapAssignments = input.canCloseGaps
    ? closeDataCentreGaps(input, holderCounts, assigned)
    : [];
  const isSettled = empty.length === 0 && gapAssignments.length === 0;
  const moved = isSettled ? moveToUnheld(input, holderCounts) : [];
  return [...assigned, ...gapAssignments, ...moved];
}

function assignToEmpty(
  input: LayerPlanInput,
  holderCounts: HolderCounts,
  empty: readonly Upstream[],
): readonly LayerAssignment[] {
  const size = (upstream: Upstream) => sizeOf(input, upstream);
  // Large upstreams come first, so that small ones fill the remaining gaps.
  const ordered = [...empty].sort(
    (left, right) => size(right) - size(left) || (left.id < right.id ? -1 : 1),
  );
  const assignments: LayerAssignment[] = [];
  for (const upstream of ordered) {
    const {dataCentre, id} = upstream;
    if (
      input.recentlyAdded.has(id) &&
      holderCounts.unheldLayersIn(dataCentre) === 0
    ) {
      continue;
    }
    const range = bestRange(input, holderCounts, upstream);
    if (range !== undefined) {
      holderCounts.add(upstream.dataCentre, range);
      assignments.push({upstream, range, reason: 'empty'});
    }
  }
  return assignments;
}

/**
 * Closes the gaps of each data centre whose upstreams can hold the whole model, so that paths need not cross data
 * centres. Layers are released in one data centre at a time, since the requests aborted there need the capacity of
 * the others.
 */
function closeDataCentreGaps(
  input: LayerPlanInput,
  holderCounts: HolderCounts,
  assigned: readonly LayerAssignment[],
): readonly LayerAssignment[] {
  const closures: GapClosure[] = [];
  for (const [dataCentre, upstreams] of groupByDataCentre(input.upstreams)) {
    if (holderCounts.unheldLayersIn(dataCentre) > 0) {
      const holders = rangeHoldersOf(input, upstreams, assigned);
      const found = closeGaps(input.layers.layerCount, holders);
      closures.push(...(found === undefined ? [] : [found]));
    }
  }
  const nonReleasing = closures.filter(({givenUp}) => givenUp === 0);
  const [cheapestReleasing] = closures
    .filter(({givenUp}) => givenUp > 0)
    .sort((left, right) => left.cost - right.cost);
  const hasNoOtherChange =
    nonReleasing.length === 0 && input.orderedRanges.size === 0;
  const chosen =
    cheapestReleasing !== undefined && hasNoOtherChange
      ? [...nonReleasing, cheapestReleasing]
      : nonReleasing;
  const reason = 'dataCentreIncomplete';
  return chosen
    .flatMap(({changes}) => changes)
    .map(change => ({...change, reason}));
}

function rangeHoldersOf(
  {limitOf, orderedRanges, capacityShareOf}: LayerPlanInput,
  upstreams: readonly Upstream[],
  assigned: readonly LayerAssignment[],
): readonly RangeHolder[] {
  const assignedRanges = new Map(
    assigned.map(({upstream, range}) => [upstream.id, range]),
  );
  return upstreams.flatMap(upstream => {
    const newRange =
      orderedRanges.get(upstream.id) ?? assignedRanges.get(upstream.id);
    const held = newRange ?? upstream.layers;
    const isFixed = newRange !== undefined;
    return held === undefined
      ? []
      : [
          {
            upstream,
            held,
            limit: limitOf(upstream),
            capacityShareOf: count => capacityShareOf(upstream, count),
            isFixed,
          },
        ];
  });
}

/** Whether the upstreams of a data centre can hold the whole model within their limits. */
function canHoldModel(
  input: Pick<LayerPlanInput, 'layers' | 'limitOf'>,
  upstreams: readonly Upstream[],
): boolean {
  const total = upstreams.reduce(
    (sum, upstream) => sum + input.limitOf(upstream),
    0,
  );
  return total >= input.layers.layerCount;
}

function groupByDataCentre(
  upstreams: readonly Upstream[],
): ReadonlyMap<string, readonly Upstream[]> {
  const groups = new Map<string, Upstream[]>();
  for (const upstream of upstreams) {
    const group = groups.get(upstream.dataCentre) ?? [];
    groups.set(upstream.dataCentre, [...group, upstream]);
  }
  return groups;
}

/** Moves the upstream whose layers have the most holders to the first layer without one. */
function moveToUnheld(
  input: LayerPlanInput,
  holderCounts: HolderCounts,
): readonly LayerAssignment[] {
  const layer = holderCounts.firstUnheldLayer;
  if (layer === undefined) {
    return [];
  }
  let best: {upstream: Upstream; minHolders: number} | undefined;
  for (const upstream of input.upstreams) {
    if (upstream.layers === undefined || input.orderedRanges.has(upstream.id)) {
      continue;
    }
    const minHolders = holderCounts.minHoldersIn(upstream.layers);
    if (
      minHolders > MIN_REMAINING_HOLDERS &&
      minHolders > (best?.minHolders ?? 0)
    ) {
      best = {upstream, minHolders};
    }
  }
  if (best === undefined) {
    return [];
  }
  const {upstream} = best;
  const size = sizeOf(input, upstream);
  const from = Math.min(layer, input.layers.layerCount - size);
  const range = {from, to: from + size};
  return [{upstream, range, reason: 'layerUnheld'}];
}

function bestRange(
  input: LayerPlanInput,
  holderCounts: HolderCounts,
  upstream: Upstream,
): LayerRange | undefined {
  const size = sizeOf(input, upstream);
  let best: {range: LayerRange; benefit: number} | undefined;
  for (let from = 0; from + size <= input.layers.layerCount; from++) {
    const range = {from, to: from + size};
    const benefit = holderCounts.benefitOf(upstream.dataCentre, range);
    if (size > 0 && benefit > (best?.benefit ?? 0)) {
      best = {range, benefit};
    }
  }
  return best?.range;
}

function sizeOf(
  {sizes}: Pick<LayerPlanInput, 'sizes'>,
  upstream: Upstream,
): number {
  return sizes.get(upstream.acceleratorKind ?? '') ?? 0;
}
