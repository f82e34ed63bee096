import {isUsable, waitForSlot} from './pipelineSearch.js';
import {StageView} from './routing.js';

/** Free slots and earliest start along the narrowest layer range of a group of stages. */
export interface SlotSummary {
  readonly freeSlots: number;
  readonly earliestStartMilliseconds: number;
}

/** Milliseconds told when no stage can be used. */
const NO_STAGE_MILLISECONDS = 1000;

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
      wait: Math.min(known.wait, waitForSlot(stage, now)),
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
