import {Clock} from '../../../base/common/clock.js';
import {
  Disposable,
  DisposableOwner,
  toDisposable,
} from '../../../base/common/lifecycle.js';
import {
  SuspicionReason,
  SuspicionTracker,
  PROBE_PERIOD_MILLISECONDS,
} from '../../fleet/common/suspicionTracker.js';
import {SlownessTracker} from '../../fleet/common/slownessTracker.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {
  UpstreamControl,
  UpstreamReport,
} from '../../fleet/common/upstreamControl.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';

/**
 * An upstream that responded is not probed again for this long: the silence of its streams has another
 * cause.
 */
const RESPONSE_VALID_MILLISECONDS = 250;

/**
 * Limits the probes of upstreams on silent or slow paths; the burst covers all members of a few paths at
 * once. On average probes cost less than the pauses that they avoid: a report is charged half as much as a
 * new connection.
 */
const PROBE_BURST = 40;
const PROBES_PER_SECOND = 20;

/**
 * A timer that fires this late indicates that the event loop was blocked. A response may have arrived that
 * is not read yet, since timers run before pending input is read.
 */
const TIMER_DELAY_LIMIT_MILLISECONDS = 5;

/** Time after the timeout in which a response that has already arrived is read. */
const READ_GRACE_MILLISECONDS = 3;

/**
 * Maximum time of a report request, for upstreams that are already suspected and while the event loop is
 * blocked.
 */
const LONG_PROBE_MILLISECONDS = 250;

/** A probe that has waited less than this many times as long as the last response took may still be answered. */
const LATENESS_FACTOR = 1.5;

/** Marks a probe that exceeded its timeout. */
const OVERDUE = Symbol('overdue');

/** Probes upstreams that may be lost, and suspected upstreams until they respond. */
export class UpstreamProber extends DisposableOwner {
  private readonly running = new Map<
    string,
    Promise<UpstreamReport | undefined>
  >();
  /** Number of probes that are neither answered nor overdue. */
  private pendingProbes = 0;
  /** Upstreams whose report is requested without being suspected. */
  private readonly refreshing = new Set<string>();
  private probeTokens = PROBE_BURST;
  private refilledAt = 0;
  private readonly respondedAt = new Map<string, number>();
  /** Milliseconds that the last report took that arrived; undefined before the first one. */
  private lastResponseMilliseconds: number | undefined;
  /** Monotonic milliseconds at which the last report arrived. */
  private lastResponseAt = -Infinity;
  private recheckTimer: Disposable;

  constructor(
    private readonly clock: Clock,
    private readonly control: UpstreamControl,
    private readonly directory: UpstreamDirectory,
    private readonly suspicions: SuspicionTracker,
    private readonly slowness: SlownessTracker,
    private readonly trialMilliseconds: number,
  ) {
    super();
    this.recheckTimer = this.scheduleRecheck();
    this.register(toDisposable(() => this.recheckTimer.dispose()));
    this.register(directory.onDidChange(() => this.removeUnlisted()));
  }

  /** Whether an upstream responded to a probe recently. */
  hasRecentlyResponded(id: string): boolean {
    return this.hasRespondedWithin(id, RESPONSE_VALID_MILLISECONDS);
  }

  /** Whether an upstream responded to a report request within the given time. */
  hasRespondedWithin(id: string, milliseconds: number): boolean {
    const respondedAt = this.respondedAt.get(id) ?? -Infinity;
    return this.clock.monotonicMilliseconds() - respondedAt < milliseconds;
  }

  /**
   * Takes a token for a probe; returns false if none is left. Probes are charged, and they show nothing
   * while everything is slow.
   */
  private tryTakeProbe(): boolean {
    const now = this.clock.monotonicMilliseconds();
    const refill = ((now - this.refilledAt) * PROBES_PER_SECOND) / 1000;
    this.probeTokens = Math.min(PROBE_BURST, this.probeTokens + refill);
    this.refilledAt = now;
    if (this.probeTokens < 1) {
      return false;
    }
    this.probeTokens--;
    return true;
  }

  /**
   * Requests a report and suspects the upstream if it does not respond in time. Concurrent probes of an
   * upstream share one request.
   */
  probe(
    upstream: Upstream,
    reason: SuspicionReason,
    evidence: Readonly<Record<string, unknown>>,
  ): Promise<UpstreamReport | undefined> {
    const pending = this.running.get(upstream.id);
    if (pending !== undefined) {
      return pending;
    }
    if (!this.tryTakeProbe()) {
      return Promise.resolve(undefined);
    }
    const startedAt = this.clock.monotonicMilliseconds();
    const pendingReport = this.requestReportInTime(upstream).then(report => {
      if (report === undefined) {
        const details = {...evidence, ...this.describeMissed(startedAt)};
        this.suspicions.suspect(upstream.id, reason, details);
      }
      return report;
    });
    this.running.set(upstream.id, pendingReport);
    void pendingReport.finally(() => this.running.delete(upstream.id));
    return pendingReport;
  }

  /** Requests a report for what it states; that it comes late or not at all is no sign of a loss. */
  async requestReport(upstream: Upstream): Promise<void> {
    const {id} = upstream;
    const isPending = this.running.has(id) || this.refreshing.has(id);
    if (isPending || !this.tryTakeProbe()) {
      return;
    }
    this.refreshing.add(id);
    await this.ask(upstream, LONG_PROBE_MILLISECONDS);
    this.refreshing.delete(id);
  }

  /** What shows whether a missed report is due to its upstream or to this process. */
  private describeMissed(startedAt: number): Readonly<Record<string, unknown>> {
    return {
      waited: Math.round(this.clock.monotonicMilliseconds() - startedAt),
      pending: this.running.size,
      lastResponse: this.lastResponseMilliseconds ?? null,
    };
  }

  /** Returns the report if it arrives in time; one that arrives later clears the suspicion. */
  private async requestReportInTime(
    upstream: Upstream,
  ): Promise<UpstreamReport | undefined> {
    const pendingReport = this.ask(upstream, LONG_PROBE_MILLISECONDS);
    this.pendingProbes++;
    const result = await Promise.race([pendingReport, this.waitUntilOverdue()]);
    this.pendingProbes--;
    if (result !== OVERDUE) {
      return result;
    }
    void pendingReport.then(report => {
      if (report !== undefined) {
        this.suspicions.clear(upstream.id, 'answered');
      }
    });
    return undefined;
  }

  /**
   * Resolves after a probe timeout in which responses could be read, and in which those of other upstreams were not
   * late as well.
   */
  private async waitUntilOverdue(): Promise<typeof OVERDUE> {
    const startedAt = this.clock.monotonicMilliseconds();
    let delay: number;
    do {
      delay = await this.sleep(this.trialMilliseconds);
      // Responses that arrived in the meantime have not been read yet.
    } while (
      delay > TIMER_DELAY_LIMIT_MILLISECONDS ||
      this.areResponsesLate(startedAt)
    );
    await this.sleep(READ_GRACE_MILLISECONDS);
    return OVERDUE;
  }

  /**
   * Whether the responses to the probes since a moment are late. Several upstreams are hardly lost at once: it is rather
   * this instance's own link that holds up their responses.
   */
  private areResponsesLate(startedAt: number): boolean {
    const now = this.clock.monotonicMilliseconds();
    const isLastTrial =
      now + this.trialMilliseconds >= startedAt + LONG_PROBE_MILLISECONDS;
    if (isLastTrial) {
      return false;
    }
    return this.lastResponseAt >= startedAt
      ? now - startedAt < LATENESS_FACTOR * (this.lastResponseMilliseconds ?? 0)
      : this.pendingProbes > 1;
  }

  /** Resolves with the milliseconds by which the timer was late. */
  private sleep(milliseconds: number): Promise<number> {
    const dueAt = this.clock.monotonicMilliseconds() + milliseconds;
    return new Promise(resolve => {
      this.clock.setTimer(milliseconds, () =>
        resolve(this.clock.monotonicMilliseconds() - dueAt),
      );
    });
  }

  /**
   * Whether an upstream is still alive. Only then is a response that ended with its connection complete,
   * since the connections of a crashed upstream end, too.
   */
  async isAlive(upstream: Upstream): Promise<boolean> {
    const report = await this.ask(upstream, LONG_PROBE_MILLISECONDS);
    return report !== undefined;
  }

  private async ask(
    upstream: Upstream,
    milliseconds: number,
  ): Promise<UpstreamReport | undefined> {
    const startedAt = this.clock.monotonicMilliseconds();
    const report = await this.control.report(upstream, milliseconds);
    if (report.ok) {
      this.recordResponse(upstream.id, startedAt);
      this.slowness.recordOwn(upstream.id, report.value.slowness);
      if (report.value.isLeaving) {
        this.directory.markLeaving(upstream.id);
      }
      return report.value;
    }
    // Plain services refuse reports; a refusal also shows that the upstream is alive.
    return report.error.kind === 'refused' ? NO_REPORT : undefined;
  }

  private recordResponse(id: string, requestedAt: number): void {
    const now = this.clock.monotonicMilliseconds();
    this.lastResponseMilliseconds = Math.round(now - requestedAt);
    this.lastResponseAt = now;
    this.respondedAt.set(id, now);
  }

  private scheduleRecheck(): Disposable {
    return this.clock.setTimer(PROBE_PERIOD_MILLISECONDS, () => {
      this.recheckTimer = this.scheduleRecheck();
      this.recheckSuspected();
    });
  }

  /** Probes the suspected upstreams; those that respond are cleared. */
  recheckSuspected(): void {
    for (const {upstream: id} of this.suspicions.all) {
      const upstream = this.directory.find(id);
      if (upstream === undefined) {
        this.suspicions.clear(id, 'gone');
      } else if (!this.running.has(id)) {
        const pendingReport = this.ask(upstream, LONG_PROBE_MILLISECONDS);
        this.running.set(id, pendingReport);
        void pendingReport.then(report => {
          this.running.delete(id);
          if (report !== undefined) {
            this.suspicions.clear(id, 'answered');
          } else {
            this.suspicions.suspect(id, 'silent', {trial: 'return'});
          }
        });
      }
    }
  }

  private removeUnlisted(): void {
    for (const id of this.respondedAt.keys()) {
      if (this.directory.find(id) === undefined) {
        this.respondedAt.delete(id);
      }
    }
    for (const {upstream} of this.suspicions.all) {
      if (this.directory.find(upstream) === undefined) {
        this.suspicions.clear(upstream, 'gone');
      }
    }
  }
}

const NO_REPORT: UpstreamReport = {
  orderCount: 0,
  isBusy: false,
  slowness: 1,
  isLeaving: false,
  layers: undefined,
  stalled: [],
};
