import {Crash} from './crashHistory.js';

/**
 * What is known of crashes and must outlast all processes: enough for the same verdicts, and nothing about requests that are let
 * through. Records of several instances merge, in any order and repeatedly.
 */

/** Requests of one crash that a record holds; the cause shows in two of them. */
export const RECORDED_REQUESTS_PER_CRASH = 4;

/** Parts of one prompt that a record holds. */
export const RECORDED_PARTS_PER_PROMPT = 16;

/** Crashes, and parts with times, that a record holds for each kind of evidence. */
export const RECORDED_CRASHES = 64;
export const RECORDED_PART_TIMES = 128;

/** A moment that concerns a prompt part. */
export interface PartTime {
  readonly part: string;
  readonly at: number;
}

/** What is recorded of one evidence. */
export interface EvidenceRecord {
  /** Crashes under requests that are refused, with the suspect parts of their prompts and the last one. */
  readonly crashes: readonly Crash[];
  /** When these parts were last shown to be sound. */
  readonly soundParts: readonly PartTime[];
  /** When any request was last shown to be sound; undefined if never, or if there are no crashes that it could matter to. */
  readonly anySoundAt?: number | undefined;
}

/** The evidence of each kind, in milliseconds of one clock: the platform's, or that of one process. */
export interface CrashRecord {
  readonly early: EvidenceRecord;
  readonly late: EvidenceRecord;
  readonly lateShared: EvidenceRecord;
  /** When a part was last tried. */
  readonly trials: readonly PartTime[];
  /** Crashes until then don't count; undefined if all do. */
  readonly forgottenUntil?: number | undefined;
}

const EMPTY_EVIDENCE: EvidenceRecord = {crashes: [], soundParts: []};

/** The record of a system without crashes. */
export const EMPTY_RECORD: CrashRecord = {
  early: EMPTY_EVIDENCE,
  late: EMPTY_EVIDENCE,
  lateShared: EMPTY_EVIDENCE,
  trials: [],
};

/** Whether a record holds no crash. */
export function hasNoCrash({early, late, lateShared}: CrashRecord): boolean {
  return [early, late, lateShared].every(({crashes}) => crashes.length === 0);
}

/** The same record on a clock that is ahead by some milliseconds, in whole ones. */
export function shiftRecord(
  {early, late, lateShared, trials, forgottenUntil}: CrashRecord,
  milliseconds: number,
): CrashRecord {
  return {
    early: shiftEvidence(early, milliseconds),
    late: shiftEvidence(late, milliseconds),
    lateShared: shiftEvidence(lateShared, milliseconds),
    trials: shiftTimes(trials, milliseconds),
    ...(forgottenUntil !== undefined && {
      forgottenUntil: Math.round(forgottenUntil + milliseconds),
    }),
  };
}

function shiftEvidence(
  {crashes, soundParts, anySoundAt}: EvidenceRecord,
  milliseconds: number,
): EvidenceRecord {
  return {
    crashes: crashes.map(crash => ({
      ...crash,
      at: Math.round(crash.at + milliseconds),
    })),
    soundParts: shiftTimes(soundParts, milliseconds),
    ...(anySoundAt !== undefined && {
      anySoundAt: Math.round(anySoundAt + milliseconds),
    }),
  };
}

function shiftTimes(
  times: readonly PartTime[],
  milliseconds: number,
): readonly PartTime[] {
  return times.map(({part, at}) => ({
    part,
    at: Math.round(at + milliseconds),
  }));
}
