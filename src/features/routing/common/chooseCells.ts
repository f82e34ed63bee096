import {RandomSource} from '../../../base/common/randomSource.js';
import {WorkEstimate} from './routing.js';

/** What an owner tells other instances about its cell. */
export interface CellSummary {
  readonly cell: string;
  readonly model: string;
  readonly dataCentre: string;
  /** Slots free along whole pipelines. */
  readonly freeSlots: number;
  /** Milliseconds from the summary's making until a pipeline can start. */
  readonly earliestStartMilliseconds: number;
  /** Time of one trip from here to the cell's data centre. */
  readonly linkMilliseconds: number;
  /** Milliseconds since the summary was made; Infinity if none came. */
  readonly ageMilliseconds: number;
}

const MAXIMUM_ASKED = 3;
const AGE_TIME_CONSTANT_MILLISECONDS = 2000;

/** How far a summary can be believed, from 1 (fresh) towards 0. */
function trust(summary: CellSummary): number {
  return Math.exp(-summary.ageMilliseconds / AGE_TIME_CONSTANT_MILLISECONDS);
}

/** Weight in the random draw: free slots if the figures are fresh, alike for all as they age. */
function drawWeight(summary: CellSummary): number {
  return 1 + trust(summary) * Math.max(0, summary.freeSlots);
}

/** Milliseconds to the first token beyond compute: the wait, less certain with age, and the trip. */
function expectedWait(summary: CellSummary): number {
  const start = summary.earliestStartMilliseconds;
  const passed = Number.isFinite(summary.ageMilliseconds)
    ? summary.ageMilliseconds
    : 0;
  const wait = summary.freeSlots > 0 ? 0 : Math.max(0, start - passed);
  return wait + 2 * summary.linkMilliseconds;
}

/** Draws one by weight and removes it from the list. */
function draw(
  remaining: CellSummary[],
  random: RandomSource,
): CellSummary | undefined {
  const total = remaining.reduce((sum, one) => sum + drawWeight(one), 0);
  let point = random.next() * total;
  const found = remaining.findIndex(one => (point -= drawWeight(one)) < 0);
  const index = found < 0 ? remaining.length - 1 : found;
  return remaining.splice(index, 1)[0];
}

/** Two drawn by weight, the one with the shorter expected wait first. */
function drawTwo(
  cells: readonly CellSummary[],
  random: RandomSource,
): CellSummary[] {
  const remaining = [...cells];
  const drawn = [draw(remaining, random), draw(remaining, random)];
  return drawn
    .filter(one => one !== undefined)
    .sort((a, b) => expectedWait(a) - expectedWait(b));
}

/**
 * Chooses which cells to ask for capacity, in order, at most three: two random choices weighted by
 * free slots and age in the nearest data centre that serves the model, then two choices elsewhere.
 * Cells whose wait alone exceeds the first token's target go last.
 */
export function chooseCells(
  summaries: readonly CellSummary[],
  model: string,
  work: WorkEstimate,
  dataCentre: string,
  random: RandomSource,
): readonly string[] {
  const serving = summaries.filter(one => one.model === model);
  const near = serving.filter(one => one.dataCentre === dataCentre);
  const far = serving.filter(one => one.dataCentre !== dataCentre);
  const order = [...drawTwo(near, random), ...drawTwo(far, random)];
  const inTime = order.filter(one => expectedWait(one) < work.firstTokenWithin);
  const late = order.filter(one => expectedWait(one) >= work.firstTokenWithin);
  return [...inTime, ...late].slice(0, MAXIMUM_ASKED).map(one => one.cell);
}
