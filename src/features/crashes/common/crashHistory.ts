import {Clock} from '../../../base/common/clock.js';
import {hashText} from '../../../base/common/hashText.js';
import {CrashReport, SuspectRequest} from './crashReport.js';

/** Time for which a crash is remembered: a deadly prompt may come back once an hour. */
const RETENTION_MILLISECONDS = 24 * 60 * 60_000;

/** Bounds on memory. Each crash costs whoever causes it a request, and the fleet an upstream. */
const CRASH_LIMIT = 64;
const REQUESTS_PER_CRASH_LIMIT = 128;

/** Prompt parts of the requests of one crash, and of all crashes, counting each as often as requests have it. */
const PARTS_PER_CRASH_LIMIT = 16_384;
const PART_LIMIT = 131_072;

/** A report that is this young is told to every peer; gossip reaches hundreds of instances in less time. */
const NEWS_MILLISECONDS = 2_000;

/** A report that is this old is known to all instances, so it counts in the digest. */
const SETTLED_MILLISECONDS = 5_000;

/** A crash as this instance knows it. */
export interface Crash {
  readonly upstream: string;
  /** Monotonic milliseconds. */
  readonly at: number;
  readonly requests: readonly SuspectRequest[];
}

interface StoredCrash extends Crash {
  /** Monotonic milliseconds at which the report or its last addition arrived here. */
  readonly learnedAt: number;
}

/** The recent crashes of upstreams, each once, however many instances report it. */
export class CrashHistory {
  private readonly stored = new Map<string, StoredCrash>();
  /** Number of crashes whose suspect requests have a prompt part, by part. */
  private readonly crashCounts = new Map<string, number>();
  private partCount = 0;
  private changeCount = 0;
  /** Crashes until then don't count, in monotonic milliseconds. */
  private forgottenUntil = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Increases with each change. */
  get version(): number {
    return this.changeCount;
  }

  get crashes(): readonly Crash[] {
    return [...this.stored.values()];
  }

  get size(): number {
    return this.stored.size;
  }

  has(upstream: string): boolean {
    return this.stored.has(upstream);
  }

  /** Adds a report to what is known of the crash; returns whether it told anything new. */
  add({upstream, ageMilliseconds, requests}: CrashReport): boolean {
    if (ageMilliseconds > RETENTION_MILLISECONDS) {
      return false;
    }
    const known = this.stored.get(upstream);
    const merged = mergeRequests(known?.requests ?? [], requests);
    if (known !== undefined && merged.length === known.requests.length) {
      return false;
    }
    const learnedAt = this.now();
    const at = Math.min(known?.at ?? Infinity, learnedAt - ageMilliseconds);
    if (at <= this.forgottenUntil) {
      return false;
    }
    this.remove(upstream);
    this.store({upstream, at, requests: merged, learnedAt});
    this.removeExcess();
    return true;
  }

  /** Number of crashes whose suspect requests have a prompt part. */
  crashCountOf(part: string): number {
    return this.crashCounts.get(part) ?? 0;
  }

  /** Forgets crashes that are too old to count. */
  removeExpired(): void {
    this.removeUntil(this.now() - RETENTION_MILLISECONDS);
  }

  /** Forgets the crashes until a moment, in monotonic milliseconds; reports of them are no news any more. */
  forgetUntil(at: number): void {
    this.forgottenUntil = Math.max(this.forgottenUntil, at);
    this.removeUntil(at);
  }

  private removeUntil(until: number): void {
    for (const {upstream, at} of [...this.stored.values()]) {
      if (at <= until) {
        this.remove(upstream);
      }
    }
  }

  /** Digest of the reports that all instances should know. */
  get digest(): number {
    const until = this.now() - SETTLED_MILLISECONDS;
    const settled = [...this.stored.values()].filter(
      ({learnedAt}) => learnedAt <= until,
    );
    const lines = settled.map(
      ({upstream, requests}) => `${upstream} ${requests.length}`,
    );
    return hashText(lines.sort().join('\n'));
  }

  /** Reports that peers may not know yet. */
  get news(): readonly CrashReport[] {
    const from = this.now() - NEWS_MILLISECONDS;
    return this.toReports(crash => crash.learnedAt >= from);
  }

  get all(): readonly CrashReport[] {
    return this.toReports(() => true);
  }

  private toReports(
    isIncluded: (crash: StoredCrash) => boolean,
  ): readonly CrashReport[] {
    const now = this.now();
    return [...this.stored.values()]
      .filter(isIncluded)
      .map(({upstream, at, requests}) => ({
        upstream,
        ageMilliseconds: Math.max(0, Math.round(now - at)),
        requests,
      }));
  }

  /**
   * Removes the oldest crashes of the account that is named in most of them. So an account that crashes upstreams with ever new
   * prompts can't displace what is known of others.
   */
  private removeExcess(): void {
    while (this.stored.size > CRASH_LIMIT || this.partCount > PART_LIMIT) {
      this.remove(this.findMostDispensable().upstream);
    }
  }

  private findMostDispensable(): StoredCrash {
    const counts = new Map<string, number>();
    for (const {requests} of this.stored.values()) {
      for (const account of new Set(requests.map(suspect => suspect.account))) {
        counts.set(account, (counts.get(account) ?? 0) + 1);
      }
    }
    const [most] = [...counts].sort(([, left], [, right]) => right - left);
    return [...this.stored.values()]
      .filter(({requests}) =>
        requests.some(({account}) => account === most?.[0]),
      )
      .reduce((left, right) => (left.at <= right.at ? left : right));
  }

  private store(crash: StoredCrash): void {
    this.stored.set(crash.upstream, crash);
    this.partCount += countParts(crash.requests);
    for (const part of distinctParts(crash)) {
      this.crashCounts.set(part, this.crashCountOf(part) + 1);
    }
    this.changeCount++;
  }

  private remove(upstream: string): void {
    const crash = this.stored.get(upstream);
    if (crash === undefined) {
      return;
    }
    this.stored.delete(upstream);
    this.partCount -= countParts(crash.requests);
    for (const part of distinctParts(crash)) {
      const count = this.crashCountOf(part) - 1;
      if (count > 0) {
        this.crashCounts.set(part, count);
      } else {
        this.crashCounts.delete(part);
      }
    }
    this.changeCount++;
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}

/** Adds requests as far as the bounds on memory allow; the first one always fits. */
function mergeRequests(
  known: readonly SuspectRequest[],
  added: readonly SuspectRequest[],
): readonly SuspectRequest[] {
  const ids = new Set(known.map(({request}) => request));
  const merged = [...known];
  let partCount = countParts(known);
  for (const suspect of added) {
    const {length} = suspect.promptParts;
    const fits =
      merged.length === 0 ||
      (merged.length < REQUESTS_PER_CRASH_LIMIT &&
        partCount + length <= PARTS_PER_CRASH_LIMIT);
    if (fits && !ids.has(suspect.request)) {
      ids.add(suspect.request);
      merged.push(suspect);
      partCount += length;
    }
  }
  return merged;
}

function countParts(requests: readonly SuspectRequest[]): number {
  return requests.reduce((sum, {promptParts}) => sum + promptParts.length, 0);
}

/** The parts of the prompts of a crash's suspect requests. */
export function distinctParts({requests}: Crash): ReadonlySet<string> {
  return new Set(requests.flatMap(({promptParts}) => promptParts));
}
