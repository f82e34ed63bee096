import {Crash} from './crashHistory.js';

/**
 * Finds the prompt parts under which upstreams keep crashing, and which of them is the cause, from crashes and from what was
 * written without one.
 */

/** Crashes that make a part suspect while requests without it are written; fewer never do. */
export const CRASHES_FOR_PROOF = 3;

/** Crashes that make a part suspect when nothing else was written, so that all upstreams may be failing. */
const CRASHES_WITHOUT_CONTRAST = 5;

/** Crashes that are less apart count as one: a rack or a data centre ends many upstreams at once. */
const MOMENT_MILLISECONDS = 150;

/**
 * A request that an upstream has written for this long is sound. A deadly one makes it crash a tenth of a second after it began to
 * write. Longer proofs leave sound parts suspect while upstreams crash several times a second.
 */
export const SOUND_WRITING_MILLISECONDS = 500;

/** Requests that must have had a part before it can be the cause of other requests' crashes: one may be on them by chance. */
const REQUESTS_FOR_CAUSE = 2;

/**
 * Crashes under a part that no other part explains, from which on a request with the part is held to be deadly; more for a part
 * that was sound at some time.
 */
const UNEXPLAINED_CRASHES = 2;
const UNEXPLAINED_CRASHES_ONCE_SOUND = 5;

/** Accounts from which on a part is held against every account; before, only for those that crashed upstreams with it. */
const ACCOUNTS_FOR_ALL = 2;

/** What is known of sound parts, in monotonic milliseconds; -Infinity for never. */
export interface Soundness {
  lastSoundAt(part: string): number;
  readonly lastAnySoundAt: number;
}

/** A prompt part under which upstreams keep crashing: the cause, or a part that is usual in prompts. */
export interface SuspectPart {
  readonly part: string;
  /** Crashes under the part since it was last shown to be sound, oldest first. */
  readonly crashes: readonly Crash[];
  /** Number of moments at which upstreams crashed. */
  readonly moments: number;
  /** Monotonic milliseconds. */
  readonly lastCrashAt: number;
  /** The requests that had the part. */
  readonly requests: ReadonlySet<string>;
  readonly accounts: ReadonlySet<string>;
  /** Whether the part was shown to be sound at some time, before these crashes. */
  readonly wasSound: boolean;
  /** Equal for parts that the same requests had at the same crashes: what holds for one of them holds for all. */
  readonly evidence: string;
}

/** A prompt and the client account that sent it; the account is empty without one. */
export interface AccountPrompt {
  readonly account: string;
  readonly promptParts: readonly string[];
}

/**
 * Returns the parts under which upstreams keep crashing, by their identifiers.
 * @param crashCountOf number of crashes whose requests had a part
 */
export function findSuspectParts(
  crashes: readonly Crash[],
  soundness: Soundness,
  crashCountOf: (part: string) => number,
): ReadonlyMap<string, SuspectPart> {
  const suspectParts = new Map<string, SuspectPart>();
  const mayBeSuspect = (part: string): boolean =>
    crashCountOf(part) >= CRASHES_FOR_PROOF;
  for (const [part, group] of groupByPart(crashes, soundness, mayBeSuspect)) {
    const ordered = [...group.crashes].sort(
      (left, right) => left.at - right.at,
    );
    const moments = countMoments(ordered);
    const hasContrast = soundness.lastAnySoundAt > ordered[0]!.at;
    const needed = hasContrast ? CRASHES_FOR_PROOF : CRASHES_WITHOUT_CONTRAST;
    const isProved =
      !group.isShared || group.requests.size >= REQUESTS_FOR_CAUSE;
    if (moments >= needed && isProved) {
      const {requests, accounts} = group;
      const lastCrashAt = ordered.at(-1)!.at;
      const wasSound = soundness.lastSoundAt(part) > -Infinity;
      suspectParts.set(part, {
        part,
        crashes: ordered,
        moments,
        lastCrashAt,
        requests,
        accounts,
        wasSound,
        evidence: describeEvidence(group, wasSound),
      });
    }
  }
  return suspectParts;
}

/**
 * Returns the part for which a prompt is held to be deadly; undefined if there is none. A part that crashes have in common with
 * the cause is not held against prompts without the cause.
 * @param otherCauses likely causes of crashes in another phase, which may explain these, too
 */
export function findCause(
  suspectParts: ReadonlyMap<string, SuspectPart>,
  {account, promptParts}: AccountPrompt,
  otherCauses: readonly SuspectPart[],
): SuspectPart | undefined {
  const causes = [...likelyCauses(suspectParts, promptParts), ...otherCauses];
  const explained = new Set<string>();
  for (const part of promptParts) {
    const candidate = suspectParts.get(part);
    if (candidate === undefined || explained.has(candidate.evidence)) {
      continue;
    }
    if (concerns(candidate, account) && !hasOtherCause(candidate, causes)) {
      return candidate;
    }
    explained.add(candidate.evidence);
  }
  return undefined;
}

/** Whether so many crashes under a part may be due to other parts that it is not held to be deadly. */
function hasOtherCause(
  candidate: SuspectPart,
  causes: readonly SuspectPart[],
): boolean {
  const explaining = causes.filter(cause => mayExplain(cause, candidate));
  const unexplained = candidate.crashes.filter(
    ({upstream}) => !explaining.some(cause => crashedUnder(cause, upstream)),
  );
  const needed = candidate.wasSound
    ? UNEXPLAINED_CRASHES_ONCE_SOUND
    : UNEXPLAINED_CRASHES;
  return countMoments(unexplained) < needed;
}

/**
 * Whether an upstream crashed under a suspect part that a prompt doesn't have, and that is a likelier cause than all of the prompt's
 * own parts. A part at as many moments is no likelier: parts of requests that are sent on together crash the same upstreams.
 */
export function isExplained(
  suspectParts: ReadonlyMap<string, SuspectPart>,
  upstream: string,
  promptParts: readonly string[],
): boolean {
  const ownParts = distinctByEvidence(
    promptParts.flatMap(part => suspectParts.get(part) ?? []),
  );
  return likelyCauses(suspectParts, promptParts).some(
    cause =>
      !cause.wasSound &&
      crashedUnder(cause, upstream) &&
      ownParts.every(part => isLikelier(cause, part)),
  );
}

/**
 * The suspect parts that a prompt doesn't have, and that can be the cause of other requests' crashes; one of those with the same
 * evidence.
 */
export function likelyCauses(
  suspectParts: ReadonlyMap<string, SuspectPart>,
  promptParts: readonly string[],
): readonly SuspectPart[] {
  const own = new Set(promptParts);
  const causes = [...suspectParts.values()].filter(
    ({part, requests}) => requests.size >= REQUESTS_FOR_CAUSE && !own.has(part),
  );
  return distinctByEvidence(causes);
}

function distinctByEvidence(
  parts: readonly SuspectPart[],
): readonly SuspectPart[] {
  return [...new Map(parts.map(part => [part.evidence, part])).values()];
}

function describeEvidence(
  {crashes, requests, accounts}: PartGroup,
  wasSound: boolean,
): string {
  const upstreams = [...crashes].map(({upstream}) => upstream);
  return [wasSound, ...upstreams, '', ...requests, '', ...accounts].join('\n');
}

/**
 * Whether the crashes under one part may be due to another one. A part that was never sound explains those of a part that was,
 * and not the other way round. Otherwise it must be at more moments, at as many with no fewer crashes, or belong only to
 * requests with the first part, as a part does that follows it in their prompts.
 */
function mayExplain(cause: SuspectPart, explained: SuspectPart): boolean {
  const isAsStrong =
    cause.wasSound === explained.wasSound &&
    cause.moments === explained.moments &&
    cause.crashes.length >= explained.crashes.length;
  return isAsStrong || isLikelier(cause, explained);
}

/** Like `mayExplain`, but a part at as many moments is not enough. */
function isLikelier(cause: SuspectPart, other: SuspectPart): boolean {
  if (cause.wasSound !== other.wasSound) {
    return other.wasSound;
  }
  const isNested = [...cause.requests].every(request =>
    other.requests.has(request),
  );
  return isNested || cause.moments > other.moments;
}

function crashedUnder({crashes}: SuspectPart, upstream: string): boolean {
  return crashes.some(crash => crash.upstream === upstream);
}

/** Whether a part is held against an account. So an account can't have the prompts of others refused by its own crashes. */
function concerns({accounts}: SuspectPart, account: string): boolean {
  return accounts.has(account) || accounts.size >= ACCOUNTS_FOR_ALL;
}

/** What the crashes under one part have in common. */
interface PartGroup {
  readonly crashes: Set<Crash>;
  readonly requests: Set<string>;
  readonly accounts: Set<string>;
  /** Whether any prompt goes on after the part; the last part belongs to one request or session. */
  isShared: boolean;
}

/** Groups the crashes under each part that the predicate accepts, since it was last shown to be sound. */
function groupByPart(
  crashes: readonly Crash[],
  soundness: Soundness,
  mayBeSuspect: (part: string) => boolean,
): ReadonlyMap<string, PartGroup> {
  const groups = new Map<string, PartGroup>();
  for (const crash of crashes) {
    for (const suspect of crash.requests) {
      for (const part of suspect.promptParts) {
        if (mayBeSuspect(part) && crash.at > soundness.lastSoundAt(part)) {
          const group = groups.get(part) ?? createGroup();
          groups.set(part, group);
          group.crashes.add(crash);
          group.requests.add(suspect.request);
          group.accounts.add(suspect.account);
          group.isShared ||= part !== suspect.promptParts.at(-1);
        }
      }
    }
  }
  return groups;
}

function createGroup(): PartGroup {
  return {
    crashes: new Set(),
    requests: new Set(),
    accounts: new Set(),
    isShared: false,
  };
}

function countMoments(ordered: readonly Crash[]): number {
  let moments = 0;
  let momentAt = -Infinity;
  for (const {at} of ordered) {
    if (at - momentAt >= MOMENT_MILLISECONDS) {
      moments++;
      momentAt = at;
    }
  }
  return moments;
}
