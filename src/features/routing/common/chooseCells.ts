import {RandomSource} from '../../../base/common/randomSource.js';
import {WorkEstimate} from './routing.js';

/** Free capacity for a model in a cell, as its owner last reported it. */
export interface CellSummary {
  readonly cell: string;
  readonly model: string;
  readonly dataCentre: string;
  /** Slots free at every layer range, so that each allows one whole pipeline. */
  readonly freeSlots: number;
  /** Milliseconds from the summary's computation until a pipeline can start. */
  readonly earliestStartMilliseconds: number;
  /** One-way network latency from this process to the cell's data centre. */
  readonly linkMilliseconds: number;
  /** Milliseconds since the summary was computed; Infinity if none was received. */
  readonly ageMilliseconds: number;
}

const MAXIMUM_CELLS = 3;
const AGE_TIME_CONSTANT_MILLISECONDS = 2000;

/** Confidence in a summary: 1 if new, decaying exponentially towards 0 with its age. */
function freshness(summary: CellSummary): number {
  return Math.exp(-summary.ageMilliseconds / AGE_TIME_CONSTANT_MILLISECONDS);
}

/** Sampling weight: by free slots while the summary is fresh, converging to equal weights as it ages. */
function samplingWeight(summary: CellSummary): number {
  return 1 + freshness(summary) * Math.max(0, summary.freeSlots);
}

/** Delay of the first token apart from compute: the wait that remains since the summary, and the round trip. */
function expectedDelayMilliseconds(summary: CellSummary): number {
  const start = summary.earliestStartMilliseconds;
  const elapsed = Number.isFinite(summary.ageMilliseconds)
    ? summary.ageMilliseconds
    : 0;
  const wait = summary.freeSlots > 0 ? 0 : Math.max(0, start - elapsed);
  return wait + 2 * summary.linkMilliseconds;
}

/** Samples one summary by weight and removes it from the list. */
function sampleOne(
  remaining: CellSummary[],
  random: RandomSource,
): CellSummary | undefined {
  const total = remaining.reduce(
    (sum, summary) => sum + samplingWeight(summary),
    0,
  );
  let threshold = random.next() * total;
  const found = remaining.findIndex(
    summary => (threshold -= samplingWeight(summary)) < 0,
  );
  const index = found < 0 ? remaining.length - 1 : found;
  return remaining.splice(index, 1)[0];
}

/** Samples two summaries by weight and returns the one with the shorter expected delay first. */
function sampleTwo(
  cells: readonly CellSummary[],
  random: RandomSource,
): CellSummary[] {
  const remaining = [...cells];
  const sampled = [sampleOne(remaining, random), sampleOne(remaining, random)];
  return sampled
    .filter(summary => summary !== undefined)
    .sort(
      (a, b) => expectedDelayMilliseconds(a) - expectedDelayMilliseconds(b),
    );
}

/**
 * Chooses up to three cells to ask for capacity, in order: two sampled by free slots and age in the own
 * data centre, then two elsewhere. Cells whose expected delay alone exceeds the first-token target
 * go last.
 */
export function chooseCells(
  summaries: readonly CellSummary[],
  model: string,
  work: WorkEstimate,
  dataCentre: string,
  random: RandomSource,
): readonly string[] {
  const candidates = summaries.filter(summary => summary.model === model);
  const near = candidates.filter(summary => summary.dataCentre === dataCentre);
  const far = candidates.filter(summary => summary.dataCentre !== dataCentre);
  const order = [...sampleTwo(near, random), ...sampleTwo(far, random)];
  const inTime = order.filter(
    summary =>
      expectedDelayMilliseconds(summary) < work.firstTokenWithinMilliseconds,
  );
  const late = order.filter(
    summary =>
      expectedDelayMilliseconds(summary) >= work.firstTokenWithinMilliseconds,
  );
  return [...inTime, ...late]
    .slice(0, MAXIMUM_CELLS)
    .map(summary => summary.cell);
}
