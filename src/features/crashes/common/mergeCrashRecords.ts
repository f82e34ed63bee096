import {Crash, distinctParts} from './crashHistory.js';
import {
  CrashRecord,
  EvidenceRecord,
  PartTime,
  RECORDED_CRASHES,
  RECORDED_PART_TIMES,
  RECORDED_REQUESTS_PER_CRASH,
} from './crashRecord.js';
import {SuspectRequest} from './crashReport.js';

/** Merges records of crashes within the bounds of a row: in any order, and repeatedly, with the same result. */

/** Sound parts up to which those that no crash concerns are added. */
const RECORDED_OTHER_PARTS = 96;

/** Size of all crashes, and of each list of parts with times. Together they fit into a row of the platform, of 64 KB. */
const RECORDED_CRASH_BYTES = 32_768;
const RECORDED_TIME_BYTES = 6_144;

const RETENTION_MILLISECONDS = 24 * 60 * 60_000;

/** A time that is further ahead was not written by an instance. */
const AHEAD_TOLERANCE_MILLISECONDS = 60_000;

/** Two times of a trial that are less apart are the same trial, as two instances count it. */
const TRIAL_TOLERANCE_MILLISECONDS = 1_000;

/**
 * Adds what an instance knows to a record. A time that is there stays unless the new one changes a verdict, so that instances whose
 * times differ slightly don't replace each other's.
 * @param now of the clock of both records
 * @param addsOtherSoundParts whether to add sound parts that no crash concerns, too, as far as there is room: they change no verdict
 * now, but save these parts from suspicion at later crashes
 */
export function mergeRecords(
  known: CrashRecord,
  added: CrashRecord,
  now: number,
  addsOtherSoundParts = false,
): CrashRecord {
  const until = now + AHEAD_TOLERANCE_MILLISECONDS;
  const forgottenUntil = latest(
    [known.forgottenUntil, added.forgottenUntil],
    until,
  );
  const from = Math.max(
    now - RETENTION_MILLISECONDS,
    forgottenUntil ?? -Infinity,
  );
  const isCounted: TimeTest = at => at > from && at <= until;
  const merge = (kind: 'early' | 'late' | 'lateShared'): EvidenceRecord =>
    mergeEvidence(known[kind], added[kind], isCounted, addsOtherSoundParts);
  return {
    ...limitSize({
      early: merge('early'),
      late: merge('late'),
      lateShared: merge('lateShared'),
    }),
    trials: mergeTrials(known.trials, added.trials, isCounted),
    ...(forgottenUntil !== undefined && {forgottenUntil}),
  };
}

/** Whether what has happened at a time counts. */
type TimeTest = (at: number) => boolean;

function mergeEvidence(
  known: EvidenceRecord,
  added: EvidenceRecord,
  isCounted: TimeTest,
  addsOtherSoundParts: boolean,
): EvidenceRecord {
  const isPartCounted = ({at}: PartTime): boolean => isCounted(at);
  const crashes = mergeCrashes(known.crashes, added.crashes).filter(({at}) =>
    isCounted(at),
  );
  const soundAt = mergeSoundTimes(
    known.soundParts.filter(isPartCounted),
    added.soundParts.filter(isPartCounted),
    crashes,
    addsOtherSoundParts ? RECORDED_OTHER_PARTS : 0,
  );
  const kept = orderByWorth(
    crashes.flatMap(crash => withoutSoundParts(crash, soundAt)),
  ).slice(0, RECORDED_CRASHES);
  const anySoundAt =
    kept.length === 0
      ? undefined
      : chooseTime(known.anySoundAt, added.anySoundAt, crashes, isCounted);
  return {
    crashes: kept,
    soundParts: toPartTimes(soundAt),
    ...(anySoundAt !== undefined && {anySoundAt}),
  };
}

function mergeCrashes(
  known: readonly Crash[],
  added: readonly Crash[],
): readonly Crash[] {
  const byUpstream = new Map(known.map(crash => [crash.upstream, crash]));
  for (const crash of added) {
    const before = byUpstream.get(crash.upstream);
    byUpstream.set(crash.upstream, {
      upstream: crash.upstream,
      at: before?.at ?? crash.at,
      requests: mergeRequests(before?.requests ?? [], crash.requests),
    });
  }
  return [...byUpstream.values()];
}

/** Merges the requests of one crash. Of two versions of a prompt the one with more parts counts. */
function mergeRequests(
  known: readonly SuspectRequest[],
  added: readonly SuspectRequest[],
): readonly SuspectRequest[] {
  const byRequest = new Map(known.map(suspect => [suspect.request, suspect]));
  for (const suspect of added) {
    const before = byRequest.get(suspect.request)?.promptParts.length ?? 0;
    if (suspect.promptParts.length > before) {
      byRequest.set(suspect.request, suspect);
    }
  }
  return [...byRequest.values()].slice(0, RECORDED_REQUESTS_PER_CRASH);
}

/** When each part of the crashes' prompts was last sound, and each part that is known or for which there is room. */
function mergeSoundTimes(
  known: readonly PartTime[],
  added: readonly PartTime[],
  crashes: readonly Crash[],
  room: number,
): ReadonlyMap<string, number> {
  const soundAt = new Map(known.map(({part, at}) => [part, at]));
  const crashesByPart = groupByPart(crashes);
  for (const {part, at} of added) {
    const before = soundAt.get(part);
    const concerned = crashesByPart.get(part) ?? [];
    const isAdded = concerned.length > 0 || soundAt.size < room;
    const chosen = chooseTime(before, at, concerned);
    if (chosen !== undefined && (before !== undefined || isAdded)) {
      soundAt.set(part, chosen);
    }
  }
  return soundAt;
}

function groupByPart(
  crashes: readonly Crash[],
): ReadonlyMap<string, readonly Crash[]> {
  const groups = new Map<string, Crash[]>();
  for (const crash of crashes) {
    for (const part of distinctParts(crash)) {
      const group = groups.get(part) ?? [];
      group.push(crash);
      groups.set(part, group);
    }
  }
  return groups;
}

/** The later time if a crash lies between the two, so that it makes a difference; else the known one. */
function chooseTime(
  known: number | undefined,
  added: number | undefined,
  crashes: readonly Crash[],
  isCounted: TimeTest = () => true,
): number | undefined {
  const [before, after] = [known, added].map(at =>
    at !== undefined && isCounted(at) ? at : undefined,
  );
  if (before === undefined || after === undefined) {
    return before ?? after;
  }
  const matters = crashes.some(({at}) => at > before && at <= after);
  return matters ? after : before;
}

/** The crash without the parts that were sound since, and without the requests of which nothing else than their last part is left. */
function withoutSoundParts(
  crash: Crash,
  soundAt: ReadonlyMap<string, number>,
): readonly Crash[] {
  const {at, upstream} = crash;
  const requests = crash.requests.flatMap(suspect => {
    const {promptParts} = suspect;
    const left = promptParts.filter(
      part => at > (soundAt.get(part) ?? -Infinity),
    );
    const isLastOnly = left.length === 1 && promptParts.length > 1;
    return left.length === 0 || isLastOnly
      ? []
      : [{...suspect, promptParts: left}];
  });
  return requests.length === 0 ? [] : [{upstream, at, requests}];
}

/**
 * Orders crashes by what they are worth: the latest one of each account, then the second latest, and so on. So an account that
 * crashes upstreams with ever new prompts displaces its own crashes. A crash that was left out once comes last again.
 */
function orderByWorth(crashes: readonly Crash[]): readonly Crash[] {
  const counts = new Map<string, number>();
  const ranked = [...crashes].sort(compareCrashes).map(crash => {
    const {account} = crash.requests[0]!;
    const rank = counts.get(account) ?? 0;
    counts.set(account, rank + 1);
    return {crash, rank};
  });
  ranked.sort((left, right) => left.rank - right.rank);
  return ranked.map(({crash}) => crash);
}

/** The evidences of a record. */
type Evidences = Pick<CrashRecord, 'early' | 'late' | 'lateShared'>;

/** Leaves out the crashes that are worth least until the rest fits. */
function limitSize({early, late, lateShared}: Evidences): Evidences {
  let left = RECORDED_CRASH_BYTES;
  const limit = (evidence: EvidenceRecord): EvidenceRecord => {
    const crashes = takeFitting(evidence.crashes, left);
    left -= sizeOf(crashes);
    return {...evidence, crashes};
  };
  return {
    early: limit(early),
    lateShared: limit(lateShared),
    late: limit(late),
  };
}

function mergeTrials(
  known: readonly PartTime[],
  added: readonly PartTime[],
  isCounted: TimeTest,
): readonly PartTime[] {
  const triedAt = new Map(known.map(({part, at}) => [part, at]));
  for (const {part, at} of added) {
    const before = triedAt.get(part) ?? -Infinity;
    triedAt.set(part, at > before + TRIAL_TOLERANCE_MILLISECONDS ? at : before);
  }
  return toPartTimes(triedAt).filter(({at}) => isCounted(at));
}

/** The latest times, as many as a record holds. */
function toPartTimes(times: ReadonlyMap<string, number>): readonly PartTime[] {
  const latestFirst = [...times]
    .map(([part, at]) => ({part, at}))
    .sort(compareLatestFirst)
    .slice(0, RECORDED_PART_TIMES);
  return takeFitting(latestFirst, RECORDED_TIME_BYTES);
}

/** The first items, as many as fit into a number of bytes. */
function takeFitting<T>(items: readonly T[], bytes: number): readonly T[] {
  let left = bytes;
  const firstTooLarge = items.findIndex(item => {
    left -= sizeOf(item);
    return left < 0;
  });
  return firstTooLarge < 0 ? items : items.slice(0, firstTooLarge);
}

/** Bytes of a value as JSON. */
function sizeOf(value: unknown): number {
  return new TextEncoder().encode(JSON.stringify(value)).length;
}

/** The latest of the times up to a moment; undefined if there is none. */
function latest(
  times: ReadonlyArray<number | undefined>,
  until: number,
): number | undefined {
  const counted = times.flatMap(at =>
    at !== undefined && at <= until ? [at] : [],
  );
  return counted.length === 0 ? undefined : Math.max(...counted);
}

function compareLatestFirst(left: PartTime, right: PartTime): number {
  return right.at - left.at || compareTexts(left.part, right.part);
}

function compareCrashes(left: Crash, right: Crash): number {
  return right.at - left.at || compareTexts(left.upstream, right.upstream);
}

function compareTexts(left: string, right: string): number {
  return left < right ? -1 : Number(left > right);
}
