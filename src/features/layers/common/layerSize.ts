import {roomTokens} from '../../paths/common/pathCost.js';
import {
  AcceleratorKind,
  EngineSettings,
  LayerModel,
} from '../../traffic/common/trafficConfiguration.js';

/** How many layers an accelerator holds. */

/**
 * Share of an engine's slots, at the usual size of requests, for which every accelerator keeps room.
 * Every request takes room on its whole path, so the accelerator with the least room bounds all; at
 * 0.4 the copies of the model and the room of each are both enough for twice the usual load.
 */
const ROOM_SHARE = 0.4;

/** Room is given up in these steps until the model fits this often. */
const ROOM_STEP = 0.8;
const WANTED_COPIES = 2;
const LEAST_ROOM_SHARE = 0.02;

/** Layers for each kind of accelerator, by name. */
export type LayerSizes = ReadonlyMap<string, number>;

/**
 * Sizes that leave the same room on each kind. Room is given up only while all accelerators together
 * would hold the model less than twice.
 * @param counts accelerators of each kind
 */
export function chooseLayerSizes(
  engine: EngineSettings,
  layers: LayerModel,
  counts: ReadonlyMap<string, number>,
): LayerSizes {
  const usual = engine.usualPromptTokens + engine.usualAnswerTokens;
  let share = ROOM_SHARE;
  let sizes = sizesFor(engine, layers, engine.slots * usual * share);
  while (
    share > LEAST_ROOM_SHARE &&
    totalLayers(sizes, counts) < WANTED_COPIES * layers.layerCount
  ) {
    share *= ROOM_STEP;
    sizes = sizesFor(engine, layers, engine.slots * usual * share);
  }
  return sizes;
}

function totalLayers(
  sizes: LayerSizes,
  counts: ReadonlyMap<string, number>,
): number {
  let total = 0;
  for (const [kind, count] of counts) {
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
    layers.kinds.map(kind => [kind.name, sizeFor(engine, layers, kind, room)]),
  );
}

/** The most layers that leave the room; at least one that fits. */
function sizeFor(
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
