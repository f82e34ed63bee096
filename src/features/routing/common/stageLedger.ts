import {EngineReport} from '../../../infrastructure/engine/common/engineConnection.js';
import {DecayedMean} from './decayedMean.js';
import {RecentQuantile} from './recentQuantile.js';

/** What is outstanding at one engine, from own reservations and from its load reports. */

interface Outstanding {
  readonly reservedAt: number;
  readonly finishAt: number;
  readonly expiresAt: number;
}

interface Returned {
  readonly reservedAt: number;
  readonly returnedAt: number;
}

/** The newest load report, dated on this process's monotonic clock. */
export interface DatedReport {
  readonly report: EngineReport;
  readonly takenAt: number;
}

const LEARNING_MILLISECONDS = 5000;
const HOLD_MEMORY_MILLISECONDS = 30000;
/** Assumed time that a sequence of unknown origin stays. */
const ASSUMED_HOLD_MILLISECONDS = 2000;
/** How much longer unknown sequences are taken to stay while they outnumber own reservations. */
const UNKNOWN_WIDENING = 1.5;
/** A reservation this old must show in the resident count if it is still running. */
const RESIDENT_AFTER_MILLISECONDS = 2000;
/** Round trips of reports kept. */
const TRIPS_KEPT = 8;
const RETURNED_KEPT = 512;
const OUTSTANDING_KEPT = 2048;

/** Outstanding sequences of one engine and times learned there. */
export class StageLedger {
  private readonly outstanding = new Map<string, Outstanding>();
  private returned: Returned[] = [];
  private newest: DatedReport | undefined;
  private readonly holds = new DecayedMean(HOLD_MEMORY_MILLISECONDS);
  private readonly decode = new DecayedMean(LEARNING_MILLISECONDS);
  private readonly link = new DecayedMean(LEARNING_MILLISECONDS);
  private readonly trips = new RecentQuantile(TRIPS_KEPT);

  get report(): DatedReport | undefined {
    return this.newest;
  }

  get reservations(): number {
    return this.outstanding.size;
  }

  /** Enters a reservation; it is forgotten by itself at `expiresAt`. */
  reserve(
    reservationId: string,
    now: number,
    finishAt: number,
    expiresAt: number,
  ): void {
    if (this.outstanding.size >= OUTSTANDING_KEPT) {
      const [oldest] = this.outstanding.keys();
      this.outstanding.delete(oldest!);
    }
    this.outstanding.set(reservationId, {reservedAt: now, finishAt, expiresAt});
  }

  /** Takes a reservation out; unknown ones are ignored. */
  release(reservationId: string, now: number): void {
    const entry = this.outstanding.get(reservationId);
    if (entry === undefined) {
      return;
    }
    this.outstanding.delete(reservationId);
    this.holds.add(now - entry.reservedAt, 1, now);
    this.returned.push({reservedAt: entry.reservedAt, returnedAt: now});
    this.returned = this.returned.slice(-RETURNED_KEPT);
  }

  /** Drops all reservations, as when the engine failed or restarted. */
  clear(): void {
    this.outstanding.clear();
    this.returned = [];
  }

  /** Takes a load report; true if the engine's process is another one than before. */
  takeReport(
    report: EngineReport,
    roundTripMilliseconds: number,
    now: number,
  ): boolean {
    const takenAt = now - report.ageMilliseconds;
    const before = this.newest?.report.engineIncarnation;
    const restarted =
      before !== undefined && before !== report.engineIncarnation;
    if (restarted) {
      this.clear();
    }
    this.newest = {report, takenAt};
    this.trips.add(roundTripMilliseconds);
    this.returned = this.returned.filter(one => one.returnedAt > takenAt);
    return restarted;
  }

  /** Takes times that a dispatcher measured; `steps` is how many they stand for. */
  learn(
    decodeMilliseconds: number | undefined,
    linkMilliseconds: number | undefined,
    steps: number,
    now: number,
  ): void {
    const count = Math.max(1, steps);
    if (decodeMilliseconds !== undefined && decodeMilliseconds > 0) {
      this.decode.add(decodeMilliseconds, count, now);
    }
    if (linkMilliseconds !== undefined && linkMilliseconds >= 0) {
      this.link.add(linkMilliseconds, count, now);
    }
  }

  /** Milliseconds of a decode step: measured by dispatchers, else as reported. */
  decodeMilliseconds(now: number): number {
    return this.decode.value(this.newest?.report.decodeMilliseconds ?? 0, now);
  }

  /**
   * Milliseconds of a hop: measured by dispatchers, else the shortest of the last round trips of
   * load reports; the others hold connecting and waiting that a step doesn't meet.
   */
  linkMilliseconds(now: number): number {
    return this.link.value(this.trips.quantile(0) ?? 0, now);
  }

  /** Age of the load report in milliseconds; Infinity before the first. */
  reportAge(now: number): number {
    return this.newest === undefined ? Infinity : now - this.newest.takenAt;
  }

  /** Expected finish times of all that is resident or about to be, ascending; in the past if overdue. */
  busyUntil(now: number): readonly number[] {
    this.expire(now);
    const own = this.ownFinishes();
    const unknown = this.unknownFinishes(own.length, now);
    return [...own, ...unknown].sort((a, b) => a - b);
  }

  private expire(now: number): void {
    for (const [id, entry] of this.outstanding) {
      if (entry.expiresAt <= now) {
        this.outstanding.delete(id);
      }
    }
  }

  /** Own reservations, without those that the resident count shows to have ended. */
  private ownFinishes(): number[] {
    return [...this.outstanding.values()]
      .map(entry => entry.finishAt)
      .sort((a, b) => a - b)
      .slice(this.endedUnnoticed());
  }

  /** How many reservations must have ended without a release reaching us, by the newest report. */
  private endedUnnoticed(): number {
    if (this.newest === undefined) {
      return 0;
    }
    const {report, takenAt} = this.newest;
    const residentBefore = takenAt - RESIDENT_AFTER_MILLISECONDS;
    const settled = [...this.outstanding.values()].filter(
      entry => entry.reservedAt <= residentBefore,
    ).length;
    return Math.max(0, settled - sequencesOf(report));
  }

  /** Sequences in the newest report that no reservation here explains, spread over their likely stay. */
  private unknownFinishes(ownCount: number, now: number): number[] {
    if (this.newest === undefined) {
      return [];
    }
    const {report, takenAt} = this.newest;
    const count = Math.max(0, sequencesOf(report) - this.ownAt(takenAt));
    const widening = count > ownCount ? UNKNOWN_WIDENING : 1;
    const hold = this.holds.value(ASSUMED_HOLD_MILLISECONDS, now) * widening;
    return Array.from(
      {length: count},
      (_, index) => takenAt + (hold * (index + 1)) / (count + 1),
    ).filter(finish => finish > now);
  }

  /** Own reservations that may have been resident at a time in the past. */
  private ownAt(time: number): number {
    const running = [...this.outstanding.values()].filter(
      entry => entry.reservedAt <= time,
    );
    const since = this.returned.filter(
      one => one.reservedAt <= time && one.returnedAt > time,
    );
    return running.length + since.length;
  }
}

function sequencesOf(report: EngineReport): number {
  return report.residentSequences + report.queuedSequences;
}
