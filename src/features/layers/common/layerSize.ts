import {roomTokens} from '../../paths/common/pathCost.js';
import {
  AcceleratorKind,
  EngineSettings,
  LayerModel,
} from '../../traffic/common/trafficConfiguration.js';

/** How many layers an accelerator holds. */

/**
 * Room is measured in the usual size of requests times the engine's slots. Every request takes room on
 * its whole path, so the accelerator with the least room bounds all. The search begins with room for
 * all slots, and gives up a step of it at a time until the model fits.
 */
const ROOM_STEP = 0.95;
const LEAST_ROOM_SHARE = 0.02;

/** Copies over all data centres where no data centre can hold the model alone. */
const WANTED_COPIES = 2;

/**
 * Copies in each data centre that can hold the model alone, where that leaves enough room. Second holders of some
 * layers spare streams a whole new start after a loss. Share of what callers were owed that they got in time, less what
 * serving them cost, in the mean of five simulated days of losses at 1, 1.15 and 1.3 copies: 0.693, 0.712 and 0.656;
 * at 1.3 there is too little room left for the others' load when a data centre is out.
 */
const COPIES_IN_DATA_CENTRE = 1.15;

/** Share of the room for all slots that second holders must leave; the same as that of upstreams that take over. */
export const SPARE_ROOM_SHARE = 0.45;

/** Layers for each kind of accelerator, by name. */
export type LayerSizes = ReadonlyMap<string, number>;

/** How many accelerators of each kind there are, by data centre and name of the kind. */
export type KindCounts = ReadonlyMap<string, ReadonlyMap<string, number>>;

/**
 * The most room, the same on each kind, with which every data centre that can hold the model alone still
 * does, and some layers twice: paths then need not cross between data centres, whose links are slow.
 */
export function chooseLayerSizes(
  engine: EngineSettings,
  layers: LayerModel,
  counts: KindCounts,
  hasSecondHolders = true,
): LayerSizes {
  const doubled = largestRoom(engine, layers, counts, COPIES_IN_DATA_CENTRE);
  return hasSecondHolders && doubled.share >= SPARE_ROOM_SHARE
    ? doubled.sizes
    : largestRoom(engine, layers, counts, 1).sizes;
}

/** The search for one number of copies in each data centre that can hold the model alone. */
function largestRoom(
  engine: EngineSettings,
  layers: LayerModel,
  counts: KindCounts,
  copies: number,
): {readonly share: number; readonly sizes: LayerSizes} {
  const usual = engine.usualPromptTokens + engine.usualAnswerTokens;
  const most = sizesFor(engine, layers, 0);
  const able = [...counts.values()].filter(
    kinds => totalLayers(most, kinds) >= layers.layerCount,
  );
  const wanted = copies * layers.layerCount;
  const fits = (sizes: LayerSizes): boolean =>
    able.length > 0
      ? able.every(kinds => totalLayers(sizes, kinds) >= wanted)
      : totalOfAll(sizes, counts) >= WANTED_COPIES * layers.layerCount;
  let share = 1;
  let sizes = sizesFor(engine, layers, engine.slots * usual);
  while (share > LEAST_ROOM_SHARE && !fits(sizes)) {
    share *= ROOM_STEP;
    sizes = sizesFor(engine, layers, engine.slots * usual * share);
  }
  return {share, sizes};
}

/** The larger of two sizes for each kind. */
export function largerSizes(left: LayerSizes, right: LayerSizes): LayerSizes {
  const kinds = new Set([...left.keys(), ...right.keys()]);
  return new Map(
    [...kinds].map(kind => [
      kind,
      Math.max(left.get(kind) ?? 0, right.get(kind) ?? 0),
    ]),
  );
}

function totalOfAll(sizes: LayerSizes, counts: KindCounts): number {
  return [...counts.values()].reduce(
    (sum, kinds) => sum + totalLayers(sizes, kinds),
    0,
  );
}

function totalLayers(
  sizes: LayerSizes,
  kinds: ReadonlyMap<string, number>,
): number {
  let total = 0;
  for (const [kind, count] of kinds) {
    total += count * (sizes.get(kind) ?? 0);
  }
  return total;
}

function sizesFor(
  engine: EngineSettings,
  layers: LayerModel,
  room: number,
): LayerSizes {
  return new Map(
    layers.kinds.map(kind => [
      kind.name,
      layersWithRoom(engine, layers, kind, room),
    ]),
  );
}

/** The most layers that leave room for a number of tokens on an accelerator; at least one that fits. */
export function layersWithRoom(
  engine: EngineSettings,
  layers: LayerModel,
  kind: AcceleratorKind,
  room: number,
): number {
  const {memoryMegabytes} = kind;
  const fitting = Math.floor(memoryMegabytes / layers.layerMegabytes);
  let size = Math.min(fitting, layers.layerCount);
  while (size > 1 && roomTokens(engine, layers, memoryMegabytes, size) < room) {
    size--;
  }
  return size;
}
