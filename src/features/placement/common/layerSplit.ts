import {
  EngineReport,
  LayerRange,
} from '../../../infrastructure/engine/common/engineConnection.js';

/** Splits a model's layers over the engines of one replica. */

/**
 * Largest ratio of an engine's new layer count to its present one. Reports don't state memory, so the layers that an
 * engine holds are the only sign of how many it can hold.
 */
const MAX_LAYER_GROWTH = 2;

/** Whether ranges, sorted by their start, cover all layers without gap or overlap. */
export function partitionsLayers(
  ranges: readonly LayerRange[],
  layerCount: number,
): boolean {
  let coveredTo = 0;
  for (const {from, to} of ranges) {
    if (from !== coveredTo || to <= from) {
      return false;
    }
    coveredTo = to;
  }
  return coveredTo === layerCount;
}

/** Whether a subset of the ranges, sorted by their start, covers all layers without gap or overlap. */
export function hasLayerChain(
  ranges: readonly LayerRange[],
  layerCount: number,
): boolean {
  const reachable = new Set([0]);
  for (const {from, to} of ranges) {
    if (reachable.has(from) && to > from) {
      reachable.add(to);
    }
  }
  return layerCount > 0 && reachable.has(layerCount);
}

/**
 * Returns one range per engine, in order. Keeps the present ranges if they cover the layers without overlap; otherwise
 * gives each engine layers in proportion to its speed. Undefined if the engines can't hold the model.
 */
export function splitLayers(
  reports: readonly EngineReport[],
  layerCount: number,
): readonly LayerRange[] | undefined {
  const held = reports.map(report => report.layers);
  if (partitionsLayers(held, layerCount)) {
    return held;
  }
  if (reports.length === 0 || reports.length > layerCount) {
    return undefined;
  }
  const counts = layerCountsBySpeed(reports, layerCount);
  return counts && toRanges(counts);
}

/** Assigns layers one by one, each to the engine that would have the shortest step time with it. */
function layerCountsBySpeed(
  reports: readonly EngineReport[],
  layerCount: number,
): readonly number[] | undefined {
  const counts = reports.map(() => 1);
  for (let assigned = reports.length; assigned < layerCount; assigned++) {
    const next = engineForNextLayer(reports, counts);
    if (next === undefined) {
      return undefined;
    }
    counts[next]! += 1;
  }
  return counts;
}

function engineForNextLayer(
  reports: readonly EngineReport[],
  counts: readonly number[],
): number | undefined {
  let found: number | undefined;
  let leastMilliseconds = Infinity;
  reports.forEach((report, index) => {
    const newCount = counts[index]! + 1;
    const stepMilliseconds = newCount * millisecondsPerLayer(report);
    if (
      newCount <= MAX_LAYER_GROWTH * layerCountOf(report) &&
      stepMilliseconds < leastMilliseconds
    ) {
      leastMilliseconds = stepMilliseconds;
      found = index;
    }
  });
  return found;
}

function millisecondsPerLayer(report: EngineReport): number {
  return Math.max(report.decodeMilliseconds, 0.001) / layerCountOf(report);
}

function layerCountOf({layers}: EngineReport): number {
  return Math.max(1, layers.to - layers.from);
}

function toRanges(counts: readonly number[]): readonly LayerRange[] {
  let from = 0;
  return counts.map(count => {
    const range = {from, to: from + count};
    from = range.to;
    return range;
  });
}
