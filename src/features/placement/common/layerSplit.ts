import {
  EngineReport,
  LayerRange,
} from '../../../infrastructure/engine/common/engineConnection.js';

/** Divides a model's layers over the engines of one replica. */

/**
 * An engine gets at most so many times the layers that it holds: reports don't state memory, so
 * only what an engine holds shows what it can hold.
 */
const GROWTH_LIMIT = 2;

/** Whether ranges, sorted by their start, cover all layers once and in order. */
export function coversOnce(
  ranges: readonly LayerRange[],
  layerCount: number,
): boolean {
  let reached = 0;
  for (const {from, to} of ranges) {
    if (from !== reached || to <= from) {
      return false;
    }
    reached = to;
  }
  return reached === layerCount;
}

/** Whether some of the ranges, sorted by their start, form a chain over all layers. */
export function hasChain(
  ranges: readonly LayerRange[],
  layerCount: number,
): boolean {
  const reached = new Set([0]);
  for (const {from, to} of ranges) {
    if (reached.has(from) && to > from) {
      reached.add(to);
    }
  }
  return layerCount > 0 && reached.has(layerCount);
}

/**
 * Ranges for engines in order; those held are kept if they cover the layers, else each engine gets
 * layers in proportion to its speed. Undefined if the engines can't hold the model.
 */
export function splitLayers(
  reports: readonly EngineReport[],
  layerCount: number,
): readonly LayerRange[] | undefined {
  const held = reports.map(report => report.layers);
  if (coversOnce(held, layerCount)) {
    return held;
  }
  if (reports.length === 0 || reports.length > layerCount) {
    return undefined;
  }
  const counts = countsBySpeed(reports, layerCount);
  return counts && toRanges(counts);
}

/** Gives layer after layer to the engine that would be done with one more the soonest. */
function countsBySpeed(
  reports: readonly EngineReport[],
  layerCount: number,
): readonly number[] | undefined {
  const counts = reports.map(() => 1);
  for (let given = reports.length; given < layerCount; given++) {
    const next = soonestDone(reports, counts);
    if (next === undefined) {
      return undefined;
    }
    counts[next]! += 1;
  }
  return counts;
}

function soonestDone(
  reports: readonly EngineReport[],
  counts: readonly number[],
): number | undefined {
  let found: number | undefined;
  let least = Infinity;
  reports.forEach((report, index) => {
    const wanted = counts[index]! + 1;
    const time = wanted * millisecondsPerLayer(report);
    if (wanted <= GROWTH_LIMIT * layersOf(report) && time < least) {
      least = time;
      found = index;
    }
  });
  return found;
}

function millisecondsPerLayer(report: EngineReport): number {
  return Math.max(report.decodeMilliseconds, 0.001) / layersOf(report);
}

function layersOf({layers}: EngineReport): number {
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
