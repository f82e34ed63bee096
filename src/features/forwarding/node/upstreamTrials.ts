import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner, toDisposable} from '../../../base/common/lifecycle.js';
import {
  SuspicionReason,
  Suspicions,
  TRIAL_PERIOD_MILLISECONDS,
} from '../../fleet/common/suspicions.js';
import {Slowness} from '../../fleet/common/slowness.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {
  UpstreamControl,
  UpstreamReport,
} from '../../fleet/common/upstreamControl.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';

/** An upstream that answered is not tried again for this long: its streams have another cause. */
const ANSWER_VALID_MILLISECONDS = 250;

/**
 * Trials of upstreams on silent or slow paths: enough for all members of a few paths at once. In the mean
 * they cost less than the pauses that they spare: a report is charged half as much as a new connection.
 */
const TRIAL_BURST = 40;
const TRIALS_PER_SECOND = 20;

/**
 * A timer that fires so much too late says that this process was held up: an answer may have come that it has
 * not read yet, since timers run before what has arrived.
 */
const HELD_UP_MILLISECONDS = 5;

/** Time after the limit in which an answer that has arrived is read. */
const READING_MILLISECONDS = 3;

/** Longest time of a trial call: for an upstream that is suspected already, and while this process is held up. */
const LONG_TRIAL_MILLISECONDS = 250;

/** The trial's time is over. */
const OVERDUE = Symbol('overdue');

/** Tries upstreams that may be lost, and those that are suspected until they answer. */
export class UpstreamTrials extends DisposableOwner {
  private readonly running = new Map<
    string,
    Promise<UpstreamReport | undefined>
  >();
  private trialsLeft = TRIAL_BURST;
  private filledAt = 0;
  private readonly answeredAt = new Map<string, number>();
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly clock: Clock,
    private readonly control: UpstreamControl,
    private readonly directory: UpstreamDirectory,
    private readonly suspicions: Suspicions,
    private readonly slowness: Slowness,
    private readonly trialMilliseconds: number,
  ) {
    super();
    this.timer = setInterval(
      () => this.trySuspected(),
      TRIAL_PERIOD_MILLISECONDS,
    );
    this.register(toDisposable(() => clearInterval(this.timer)));
    this.register(directory.onDidChange(() => this.forgetGone()));
  }

  /** Whether an upstream answered a trial just now. */
  hasJustAnswered(id: string): boolean {
    return this.hasAnsweredWithin(id, ANSWER_VALID_MILLISECONDS);
  }

  /** Whether an upstream answered a report within a time. */
  hasAnsweredWithin(id: string, milliseconds: number): boolean {
    const at = this.answeredAt.get(id) ?? -Infinity;
    return this.clock.monotonicMilliseconds() - at < milliseconds;
  }

  /** Whether another trial may be made; they are charged, and when everything is slow they tell nothing. */
  private takeTrial(): boolean {
    const now = this.clock.monotonicMilliseconds();
    const gained = ((now - this.filledAt) * TRIALS_PER_SECOND) / 1000;
    this.trialsLeft = Math.min(TRIAL_BURST, this.trialsLeft + gained);
    this.filledAt = now;
    if (this.trialsLeft < 1) {
      return false;
    }
    this.trialsLeft--;
    return true;
  }

  /** Asks for a report; an upstream that does not answer is suspected. Trials of one upstream are joined. */
  try(
    upstream: Upstream,
    reason: SuspicionReason,
    evidence: Readonly<Record<string, unknown>>,
  ): Promise<UpstreamReport | undefined> {
    const running = this.running.get(upstream.id);
    if (running !== undefined) {
      return running;
    }
    if (!this.takeTrial()) {
      return Promise.resolve(undefined);
    }
    const trial = this.askInTime(upstream).then(report => {
      if (report === undefined) {
        this.suspicions.suspect(upstream.id, reason, evidence);
      }
      return report;
    });
    this.running.set(upstream.id, trial);
    void trial.finally(() => this.running.delete(upstream.id));
    return trial;
  }

  /** The report if it comes in time; one that comes later ends the suspicion. */
  private async askInTime(
    upstream: Upstream,
  ): Promise<UpstreamReport | undefined> {
    const answer = this.ask(upstream, LONG_TRIAL_MILLISECONDS);
    const inTime = await Promise.race([answer, this.untilOverdue()]);
    if (inTime !== OVERDUE) {
      return inTime;
    }
    void answer.then(report => {
      if (report !== undefined) {
        this.suspicions.clear(upstream.id, 'answered');
      }
    });
    return undefined;
  }

  /** Resolves after a trial's time in which this process was not held up, and could read what had come. */
  private async untilOverdue(): Promise<typeof OVERDUE> {
    while ((await this.sleep(this.trialMilliseconds)) > HELD_UP_MILLISECONDS) {
      // What came meanwhile has not been read yet.
    }
    await this.sleep(READING_MILLISECONDS);
    return OVERDUE;
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
   * Whether an upstream is still there. An answer that ends with its connection is whole only then: the
   * connections of one that crashed end, too.
   */
  async isAlive(upstream: Upstream): Promise<boolean> {
    const report = await this.ask(upstream, LONG_TRIAL_MILLISECONDS);
    return report !== undefined;
  }

  private async ask(
    upstream: Upstream,
    milliseconds: number,
  ): Promise<UpstreamReport | undefined> {
    const report = await this.control.report(upstream, milliseconds);
    if (report.ok) {
      this.answeredAt.set(upstream.id, this.clock.monotonicMilliseconds());
      this.slowness.note(upstream.id, report.value.slowness);
      return report.value;
    }
    // Plain services refuse reports; an answer is an answer.
    return report.error.kind === 'refused' ? NO_REPORT : undefined;
  }

  private trySuspected(): void {
    for (const {upstream: id} of this.suspicions.all) {
      const upstream = this.directory.find(id);
      if (upstream === undefined) {
        this.suspicions.clear(id, 'gone');
      } else if (!this.running.has(id)) {
        const trial = this.ask(upstream, LONG_TRIAL_MILLISECONDS);
        this.running.set(id, trial);
        void trial.then(report => {
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

  private forgetGone(): void {
    for (const id of this.answeredAt.keys()) {
      if (this.directory.find(id) === undefined) {
        this.answeredAt.delete(id);
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
  layers: undefined,
  stalled: [],
};
