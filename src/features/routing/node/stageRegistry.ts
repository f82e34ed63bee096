import {EngineReport} from '../../../infrastructure/engine/common/engineConnection.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {ConcurrencyLimit} from '../common/concurrencyLimit.js';
import {StageObservation, StageView} from '../common/routing.js';
import {StageLedger} from '../common/stageLedger.js';
import {
  HealthChange,
  ListedUpstream,
  UpstreamHealthTracker,
} from '../common/upstreamHealthTracker.js';

/** An engine that this process follows. */
export interface FollowedStage {
  readonly member: UpstreamMember;
  readonly ledger: StageLedger;
}

/** Milliseconds for which an engine that refused a step as leaving or not holding the layers gets nothing new. */
const REFUSED_MILLISECONDS = 1000;

/** Load reports missed in a row after which an engine counts as out of reach, unless it refuses connections. */
const FAILURES_NEEDED = 2;

/** Everything known of the engines that this process follows: ledgers, health, learned limits. */
export class StageRegistry {
  private readonly stages = new Map<string, FollowedStage>();
  private readonly tracker = new UpstreamHealthTracker();
  private readonly limits = new ConcurrencyLimit();
  private readonly refusedUntil = new Map<string, number>();
  private readonly reportFailures = new Map<string, number>();

  /** @param onHealthChange told of each change of health */
  constructor(
    private readonly onHealthChange: (change: HealthChange) => void,
  ) {}

  /**
   * Follows exactly these engines; what is known of those that stay is kept. `joined` tells which
   * engines are new to the system, not only to this process; all that weren't followed if absent.
   */
  follow(
    members: readonly UpstreamMember[],
    now: number,
    joined: (upstream: string) => boolean = () => true,
  ): void {
    const wanted = new Set(members.map(member => member.id));
    for (const id of [...this.stages.keys()]) {
      if (!wanted.has(id)) {
        this.forget(id);
      }
    }
    for (const member of members) {
      const known = this.stages.get(member.id);
      const stays = known?.member.address === member.address;
      const ledger = stays ? known.ledger : new StageLedger();
      this.stages.set(member.id, {member, ledger});
    }
    this.tellTracker(now, joined);
  }

  get(upstream: string): FollowedStage | undefined {
    return this.stages.get(upstream);
  }

  /** All engines followed. */
  get followed(): readonly FollowedStage[] {
    return [...this.stages.values()];
  }

  /** Takes what a dispatcher saw of an engine. */
  observe(observation: StageObservation, now: number): void {
    const stage = this.stages.get(observation.upstream);
    if (stage === undefined) {
      return;
    }
    const {decodeMilliseconds, linkMilliseconds, steps} = observation;
    stage.ledger.learn(decodeMilliseconds, linkMilliseconds, steps, now);
    this.learnLimit(stage, decodeMilliseconds, now);
    if (observation.outcome === 'refused') {
      const until = now + REFUSED_MILLISECONDS;
      this.refusedUntil.set(observation.upstream, until);
    }
    this.apply(this.tracker.observe(observation, now));
  }

  /** A load report could not be had; `isSure` if no connection was made. Engines out of reach get nothing new. */
  reportFailed(upstream: string, isSure: boolean, now: number): void {
    const before = this.reportFailures.get(upstream) ?? 0;
    const after = before + (isSure ? FAILURES_NEEDED : 1);
    this.reportFailures.set(upstream, after);
    if (before < FAILURES_NEEDED && after >= FAILURES_NEEDED) {
      this.apply(this.tracker.connectionFailed(upstream, now));
    }
  }

  /** Takes a load report. */
  reportCame(
    report: EngineReport,
    roundTripMilliseconds: number,
    now: number,
  ): void {
    const stage = this.stages.get(report.upstream);
    if (stage === undefined) {
      return;
    }
    this.reportFailures.delete(report.upstream);
    const before = stage.ledger.report?.report;
    const restarted = stage.ledger.takeReport(
      report,
      roundTripMilliseconds,
      now,
    );
    if (restarted) {
      this.restart(report.upstream, now);
    }
    if (before?.leaving !== report.leaving) {
      this.tellTracker(now);
    }
  }

  /** Lets quarantined engines be probed once their time is over. */
  tick(now: number): void {
    this.apply(this.tracker.tick(now));
  }

  /** The stage as the policy sees it; undefined if it may get nothing new or nothing is known of it. */
  viewOf(upstream: string, now: number): StageView | undefined {
    const stage = this.stages.get(upstream);
    const report = stage?.ledger.report?.report;
    if (stage === undefined || report === undefined) {
      return undefined;
    }
    const isBarred = isLeaving(stage) || this.isOutOfReach(upstream);
    if (isBarred || this.wasRefused(upstream, now)) {
      return undefined;
    }
    const {member, ledger} = stage;
    const learned = this.limits.limit(upstream, report.sequenceLimit);
    return {
      upstream,
      address: member.address,
      dataCentre: member.dataCentre,
      replica: member.group,
      acceleratorKind: report.acceleratorKind,
      layers: report.layers,
      health: this.tracker.health(upstream),
      leaving: false,
      sequenceLimit: this.tracker.sequenceLimit(upstream, learned, now),
      busyUntil: ledger.busyUntil(now),
      decodeMilliseconds: ledger.decodeMilliseconds(now),
      prefillMillisecondsPerToken: report.prefillMillisecondsPerToken,
      linkMilliseconds: ledger.linkMilliseconds(now),
      reportAgeMilliseconds: ledger.reportAge(now),
      cachedPrefixes: new Set(report.cachedPrefixes),
    };
  }

  /** Whether one request is trying an engine after a quarantine. */
  isProbing(upstream: string): boolean {
    return this.tracker.health(upstream) === 'probing';
  }

  private learnLimit(
    stage: FollowedStage,
    decodeMilliseconds: number | undefined,
    now: number,
  ): void {
    const reported = stage.ledger.report?.report.sequenceLimit;
    if (decodeMilliseconds === undefined || reported === undefined) {
      return;
    }
    const {id} = stage.member;
    const resident = stage.ledger.busyUntil(now).length;
    this.limits.observe(id, decodeMilliseconds, resident, reported, now);
  }

  /** Whether load reports can't be had, so that no request should try. */
  isOutOfReach(upstream: string): boolean {
    return (this.reportFailures.get(upstream) ?? 0) >= FAILURES_NEEDED;
  }

  /** A new process is a new upstream: what its predecessor failed at is not held against it. */
  private restart(upstream: string, now: number): void {
    this.limits.forget(upstream);
    const others = this.followed.filter(one => one.member.id !== upstream);
    this.apply(this.tracker.list(others.map(listedUpstream), now));
    this.tellTracker(now);
  }

  private wasRefused(upstream: string, now: number): boolean {
    const until = this.refusedUntil.get(upstream);
    if (until === undefined || until > now) {
      return until !== undefined;
    }
    this.refusedUntil.delete(upstream);
    return false;
  }

  private forget(upstream: string): void {
    this.stages.delete(upstream);
    this.limits.forget(upstream);
    this.refusedUntil.delete(upstream);
    this.reportFailures.delete(upstream);
  }

  private tellTracker(
    now: number,
    joined: (upstream: string) => boolean = () => true,
  ): void {
    const listed = this.followed.map(stage => ({
      ...listedUpstream(stage),
      established: !joined(stage.member.id),
    }));
    this.apply(this.tracker.list(listed, now));
  }

  private apply(changes: readonly HealthChange[]): void {
    for (const change of changes) {
      if (change.to === 'quarantined' && change.cause !== 'slowness') {
        this.stages.get(change.upstream)?.ledger.clear();
      }
      this.onHealthChange(change);
    }
  }
}

function isLeaving(stage: FollowedStage): boolean {
  const reported = stage.ledger.report?.report.leaving ?? false;
  return reported || stage.member.state === 'leaving';
}

function listedUpstream(stage: FollowedStage): ListedUpstream {
  const {member, ledger} = stage;
  const report = ledger.report?.report;
  const layerCount = report ? report.layers.to - report.layers.from : 0;
  return {
    upstream: member.id,
    dataCentre: member.dataCentre,
    kind: `${report?.acceleratorKind ?? 'unknown'}/${layerCount}`,
    leaving: isLeaving(stage),
  };
}
