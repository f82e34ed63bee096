import {isUsable} from './pipelineSearch.js';
import {StageView} from './routing.js';

/** Free slots and earliest start along the narrowest layer range of a group of stages. */
export interface SlotSummary {
  readonly freeSlots: number;
  readonly earliestStartMilliseconds: number;
}

/** Milliseconds told when no stage can be used. */
const NO_STAGE_MILLISECONDS = 1000;

/** Milliseconds told at least when no slot is free. */
const SHORTEST_WAIT_MILLISECONDS = 20;

interface RangeSlots {
  readonly free: number;
  readonly wait: number;
}

/** Sums up the stages of one model; a rough guide for choosing whom to ask, not a decision. */
export function slotSummary(
  stages: readonly StageView[],
  now: number,
): SlotSummary {
  const ranges = new Map<number, RangeSlots>();
  for (const stage of stages.filter(isUsable)) {
    const known = ranges.get(stage.layers.from) ?? {free: 0, wait: Infinity};
    ranges.set(stage.layers.from, {
      free: known.free + freeSlotsOf(stage),
      wait: Math.min(known.wait, waitOf(stage, now)),
    });
  }
  if (ranges.size === 0) {
    return {freeSlots: 0, earliestStartMilliseconds: NO_STAGE_MILLISECONDS};
  }
  const all = [...ranges.values()];
  return {
    freeSlots: Math.min(...all.map(range => range.free)),
    earliestStartMilliseconds: Math.max(...all.map(range => range.wait)),
  };
}

function freeSlotsOf(stage: StageView): number {
  return Math.max(0, Math.floor(stage.sequenceLimit) - stage.busyUntil.length);
}

/** Milliseconds until the sequence ends that leaves one slot free; 0 if one is. */
function waitOf(stage: StageView, now: number): number {
  const ahead = stage.busyUntil.length - Math.floor(stage.sequenceLimit);
  const finish = stage.busyUntil[ahead];
  if (finish === undefined) {
    return 0;
  }
  return Math.max(SHORTEST_WAIT_MILLISECONDS, Math.round(finish - now));
}
