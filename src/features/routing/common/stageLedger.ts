import {EngineReport} from '../../../infrastructure/engine/common/engineConnection.js';
import {DecayedMean} from './decayedMean.js';
import {RecentQuantile} from './recentQuantile.js';

/** Tracks the outstanding work at one engine, from this owner's reservations and the engine's load reports. */

interface OutstandingReservation {
  readonly reservedAt: number;
  readonly finishAt: number;
  readonly expiresAt: number;
}

interface ReleasedReservation {
  readonly reservedAt: number;
  readonly releasedAt: number;
}

/** A load report with the time when it was made, on this process's monotonic clock. */
export interface TimestampedReport {
  readonly report: EngineReport;
  readonly takenAt: number;
}

const MEASUREMENT_TIME_CONSTANT_MILLISECONDS = 5000;
const HOLD_TIME_CONSTANT_MILLISECONDS = 30000;
/** Hold time that is assumed until releases have been measured. */
const DEFAULT_HOLD_MILLISECONDS = 2000;
/** Factor on the hold time of unattributed sequences while they outnumber own reservations. */
const UNATTRIBUTED_HOLD_FACTOR = 1.5;
/** Age from which a reservation that still runs is certain to be counted in a load report. */
const SETTLING_MILLISECONDS = 2000;
const MAXIMUM_ROUND_TRIPS = 8;
const MAXIMUM_RELEASED = 512;
const MAXIMUM_OUTSTANDING = 2048;

/** Outstanding sequences of one engine, with the decode, link and hold times measured there. */
export class StageLedger {
  private readonly outstanding = new Map<string, OutstandingReservation>();
  private released: ReleasedReservation[] = [];
  private latestReport: TimestampedReport | undefined;
  private readonly holdTimes = new DecayedMean(HOLD_TIME_CONSTANT_MILLISECONDS);
  private readonly decode = new DecayedMean(
    MEASUREMENT_TIME_CONSTANT_MILLISECONDS,
  );
  private readonly link = new DecayedMean(
    MEASUREMENT_TIME_CONSTANT_MILLISECONDS,
  );
  private readonly roundTrips = new RecentQuantile(MAXIMUM_ROUND_TRIPS);

  get report(): TimestampedReport | undefined {
    return this.latestReport;
  }

  get reservations(): number {
    return this.outstanding.size;
  }

  /** Adds a reservation; it expires at `expiresAt` if it isn't released before. */
  reserve(
    reservationId: string,
    now: number,
    finishAt: number,
    expiresAt: number,
  ): void {
    if (this.outstanding.size >= MAXIMUM_OUTSTANDING) {
      const [oldest] = this.outstanding.keys();
      this.outstanding.delete(oldest!);
    }
    this.outstanding.set(reservationId, {reservedAt: now, finishAt, expiresAt});
  }

  /** Removes a reservation; unknown ids are ignored. */
  release(reservationId: string, now: number): void {
    const reservation = this.outstanding.get(reservationId);
    if (reservation === undefined) {
      return;
    }
    this.outstanding.delete(reservationId);
    this.holdTimes.add(now - reservation.reservedAt, 1, now);
    this.released.push({reservedAt: reservation.reservedAt, releasedAt: now});
    this.released = this.released.slice(-MAXIMUM_RELEASED);
  }

  /** Drops all reservations, for instance after the engine failed or restarted. */
  clear(): void {
    this.outstanding.clear();
    this.released = [];
  }

  /** Applies a load report; returns whether the engine has restarted since the previous one. */
  applyReport(
    report: EngineReport,
    roundTripMilliseconds: number,
    now: number,
  ): boolean {
    const takenAt = now - report.ageMilliseconds;
    const previousIncarnation = this.latestReport?.report.engineIncarnation;
    const hasRestarted =
      previousIncarnation !== undefined &&
      previousIncarnation !== report.engineIncarnation;
    if (hasRestarted) {
      this.clear();
    }
    this.latestReport = {report, takenAt};
    this.roundTrips.add(roundTripMilliseconds);
    this.released = this.released.filter(
      reservation => reservation.releasedAt > takenAt,
    );
    return hasRestarted;
  }

  /** Adds mean times that a dispatcher measured over a number of steps. */
  addMeasurements(
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

  /** Time of a decode step: measured by dispatchers, otherwise as the engine reports it. */
  decodeMilliseconds(now: number): number {
    return this.decode.value(
      this.latestReport?.report.decodeMilliseconds ?? 0,
      now,
    );
  }

  /**
   * Time of a hop: measured by dispatchers, otherwise the shortest recent round trip of a load report.
   * Longer round trips include connection setup and queueing, which a step doesn't incur.
   */
  linkMilliseconds(now: number): number {
    return this.link.value(this.roundTrips.quantile(0) ?? 0, now);
  }

  /** Age of the latest load report; Infinity before the first. */
  reportAge(now: number): number {
    return this.latestReport === undefined
      ? Infinity
      : now - this.latestReport.takenAt;
  }

  /** Expected finish times of all reserved or reported sequences, ascending; in the past if overdue. */
  predictFinishTimes(now: number): readonly number[] {
    this.removeExpired(now);
    const own = this.ownFinishTimes();
    const unattributed = this.unattributedFinishTimes(own.length, now);
    return [...own, ...unattributed].sort((a, b) => a - b);
  }

  private removeExpired(now: number): void {
    for (const [id, reservation] of this.outstanding) {
      if (reservation.expiresAt <= now) {
        this.outstanding.delete(id);
      }
    }
  }

  /** Finish times of own reservations, except those that must have ended according to the latest report. */
  private ownFinishTimes(): number[] {
    return [...this.outstanding.values()]
      .map(reservation => reservation.finishAt)
      .sort((a, b) => a - b)
      .slice(this.missedReleaseCount());
  }

  /** Number of reservations that have ended without their release arriving, according to the latest report. */
  private missedReleaseCount(): number {
    if (this.latestReport === undefined) {
      return 0;
    }
    const {report, takenAt} = this.latestReport;
    const settledBefore = takenAt - SETTLING_MILLISECONDS;
    const settledCount = [...this.outstanding.values()].filter(
      reservation => reservation.reservedAt <= settledBefore,
    ).length;
    return Math.max(0, settledCount - sequenceCount(report));
  }

  /** Finish times of reported sequences without a reservation here, spread evenly over the expected hold time. */
  private unattributedFinishTimes(ownCount: number, now: number): number[] {
    if (this.latestReport === undefined) {
      return [];
    }
    const {report, takenAt} = this.latestReport;
    const count = Math.max(0, sequenceCount(report) - this.ownCountAt(takenAt));
    const holdFactor = count > ownCount ? UNATTRIBUTED_HOLD_FACTOR : 1;
    const holdMilliseconds =
      this.holdTimes.value(DEFAULT_HOLD_MILLISECONDS, now) * holdFactor;
    return Array.from(
      {length: count},
      (_, index) => takenAt + (holdMilliseconds * (index + 1)) / (count + 1),
    ).filter(finish => finish > now);
  }

  /** Number of own reservations that may have been resident at a past time. */
  private ownCountAt(time: number): number {
    const stillOutstanding = [...this.outstanding.values()].filter(
      reservation => reservation.reservedAt <= time,
    );
    const releasedSince = this.released.filter(
      reservation =>
        reservation.reservedAt <= time && reservation.releasedAt > time,
    );
    return stillOutstanding.length + releasedSince.length;
  }
}

function sequenceCount(report: EngineReport): number {
  return report.residentSequences + report.queuedSequences;
}
