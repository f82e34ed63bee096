import {kvCapacityTokens} from '../../paths/common/pathCost.js';
import {
  AcceleratorKind,
  EngineSettings,
  LayeredModel,
} from '../../traffic/common/trafficConfiguration.js';

/** Chooses how many layers an accelerator of each kind holds. */

/**
 * KV-cache capacity is measured as a share of what requests of the usual size in all slots of the engine need.
 * A request takes capacity on every upstream of its path, so the accelerator with the least capacity is the
 * bottleneck. The search starts at the full capacity and reduces it by this factor until the model fits.
 */
const CAPACITY_STEP_FACTOR = 0.95;
const MIN_CAPACITY_SHARE = 0.02;

/** Copies of the model over all data centres if none of them can hold it alone. */
const COPIES_IN_TOTAL = 2;

/**
 * Copies of the model in each data centre that can hold it alone, if enough KV-cache capacity remains. A second
 * holder of a layer saves streams a full restart after a loss. At 1.3 copies, too little
 * capacity remains for the load of a data centre that is out.
 */
const COPIES_PER_DATA_CENTRE = 1.15;

/**
 * Share of the full KV-cache capacity that must remain with second holders, on upstreams that take over layers, and in data
 * centres that hold the whole model.
 */
export const REDUNDANCY_CAPACITY_SHARE = 0.45;

/** Number of layers in a range, by name of the accelerator kind. */
export type RangeSizes = ReadonlyMap<string, number>;

/** Number of accelerators, by data centre and name of their kind. */
export type AcceleratorCounts = ReadonlyMap<
  string,
  ReadonlyMap<string, number>
>;

/**
 * Chooses the sizes that leave the most KV-cache capacity, equal for all kinds, while each data centre that can
 * hold the model alone still does, with second holders for some layers if wanted and if enough capacity remains.
 * Paths then stay inside one data centre; the links between data centres are slow.
 */
export function chooseRangeSizes(
  engine: EngineSettings,
  layers: LayeredModel,
  counts: AcceleratorCounts,
  hasSecondHolders = true,
): RangeSizes {
  const withSecondHolders = findLargestCapacity(
    engine,
    layers,
    counts,
    COPIES_PER_DATA_CENTRE,
  );
  return hasSecondHolders &&
    withSecondHolders.share >= REDUNDANCY_CAPACITY_SHARE
    ? withSecondHolders.sizes
    : findLargestCapacity(engine, layers, counts, 1).sizes;
}

/** Finds the largest capacity share with which a number of copies fits into each data centre that can hold one. */
function findLargestCapacity(
  engine: EngineSettings,
  layers: LayeredModel,
  counts: AcceleratorCounts,
  copies: number,
): {readonly share: number; readonly sizes: RangeSizes} {
  const usualTokens = engine.usualPromptTokens + engine.usualAnswerTokens;
  const fullCapacityTokens = engine.slots * usualTokens;
  const capableDataCentres = findCapable(
    engine,
    layers,
    counts,
    fullCapacityTokens,
  );
  const wantedLayers = copies * layers.layerCount;
  const fits = (sizes: RangeSizes): boolean =>
    capableDataCentres.length > 0
      ? capableDataCentres.every(
          kinds => totalLayers(sizes, kinds) >= wantedLayers,
        )
      : totalLayersOverall(sizes, counts) >=
        COPIES_IN_TOTAL * layers.layerCount;
  let share = 1;
  let sizes = sizesWithCapacity(engine, layers, fullCapacityTokens);
  while (share > MIN_CAPACITY_SHARE && !fits(sizes)) {
    share *= CAPACITY_STEP_FACTOR;
    sizes = sizesWithCapacity(engine, layers, fullCapacityTokens * share);
  }
  return {share, sizes};
}

/**
 * The data centres that can hold the model beside enough capacity, or else those that can hold it at all. All data
 * centres use the same sizes, so one that has to fill its memory with layers would leave the others no capacity.
 */
function findCapable(
  engine: EngineSettings,
  layers: LayeredModel,
  counts: AcceleratorCounts,
  fullCapacityTokens: number,
): ReadonlyArray<ReadonlyMap<string, number>> {
  const capableBeside = (
    capacityTokens: number,
  ): ReadonlyArray<ReadonlyMap<string, number>> => {
    const sizes = sizesWithCapacity(engine, layers, capacityTokens);
    return [...counts.values()].filter(
      kinds => totalLayers(sizes, kinds) >= layers.layerCount,
    );
  };
  const capable = capableBeside(REDUNDANCY_CAPACITY_SHARE * fullCapacityTokens);
  return capable.length > 0 ? capable : capableBeside(0);
}

/** The larger of the two sizes of each kind. */
export function maxRangeSizes(left: RangeSizes, right: RangeSizes): RangeSizes {
  const kinds = new Set([...left.keys(), ...right.keys()]);
  return new Map(
    [...kinds].map(kind => [
      kind,
      Math.max(left.get(kind) ?? 0, right.get(kind) ?? 0),
    ]),
  );
}

function totalLayersOverall(
  sizes: RangeSizes,
  counts: AcceleratorCounts,
): number {
  return [...counts.values()].reduce(
    (sum, kinds) => sum + totalLayers(sizes, kinds),
    0,
  );
}

function totalLayers(
  sizes: RangeSizes,
  kinds: ReadonlyMap<string, number>,
): number {
  let total = 0;
  for (const [kind, count] of kinds) {
    total += count * (sizes.get(kind) ?? 0);
  }
  return total;
}

function sizesWithCapacity(
  engine: EngineSettings,
  layers: LayeredModel,
  capacityTokens: number,
): RangeSizes {
  return new Map(
    layers.kinds.map(kind => [
      kind.name,
      maxLayersWithCapacity(engine, layers, kind, capacityTokens),
    ]),
  );
}

/** The most layers beside which a number of tokens fits into an accelerator's memory, but at least one if it fits. */
export function maxLayersWithCapacity(
  engine: EngineSettings,
  layers: LayeredModel,
  kind: AcceleratorKind,
  capacityTokens: number,
): number {
  const {memoryMegabytes} = kind;
  const layersInMemory = Math.floor(memoryMegabytes / layers.layerMegabytes);
  let size = Math.min(layersInMemory, layers.layerCount);
  while (
    size > 1 &&
    kvCapacityTokens(engine, layers, memoryMegabytes, size) < capacityTokens
  ) {
    size--;
  }
  return size;
}
