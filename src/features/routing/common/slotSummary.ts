import {isUsable} from './pipelineSearch.js';
import {StageView} from './routing.js';

/** Free slots and earliest start over a group of stages, each set by the most limiting layer range. */
export interface SlotSummary {
  readonly freeSlots: number;
  readonly earliestStartMilliseconds: number;
}

/** Earliest start reported if no stage is usable. */
const NO_STAGE_WAIT_MILLISECONDS = 1000;

/** Minimum wait reported if no slot is free. */
const MINIMUM_WAIT_MILLISECONDS = 20;

interface RangeSlots {
  readonly freeSlots: number;
  readonly waitMilliseconds: number;
}

/** Summarizes the stages of one model: a rough guide for choosing which cell to ask, not a decision. */
export function summarizeSlots(
  stages: readonly StageView[],
  now: number,
): SlotSummary {
  const ranges = new Map<number, RangeSlots>();
  for (const stage of stages.filter(isUsable)) {
    const range = ranges.get(stage.layers.from) ?? {
      freeSlots: 0,
      waitMilliseconds: Infinity,
    };
    ranges.set(stage.layers.from, {
      freeSlots: range.freeSlots + freeSlotsOf(stage),
      waitMilliseconds: Math.min(
        range.waitMilliseconds,
        waitMillisecondsOf(stage, now),
      ),
    });
  }
  if (ranges.size === 0) {
    return {
      freeSlots: 0,
      earliestStartMilliseconds: NO_STAGE_WAIT_MILLISECONDS,
    };
  }
  const all = [...ranges.values()];
  return {
    freeSlots: Math.min(...all.map(slots => slots.freeSlots)),
    earliestStartMilliseconds: Math.max(
      ...all.map(slots => slots.waitMilliseconds),
    ),
  };
}

function freeSlotsOf(stage: StageView): number {
  return Math.max(
    0,
    Math.floor(stage.sequenceLimit) - stage.expectedFinishTimes.length,
  );
}

/** Time until the sequence finishes that frees a slot; 0 if one is free. */
function waitMillisecondsOf(stage: StageView, now: number): number {
  const freeingIndex =
    stage.expectedFinishTimes.length - Math.floor(stage.sequenceLimit);
  const finish = stage.expectedFinishTimes[freeingIndex];
  if (finish === undefined) {
    return 0;
  }
  return Math.max(MINIMUM_WAIT_MILLISECONDS, Math.round(finish - now));
}
