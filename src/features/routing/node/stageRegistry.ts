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

/** An engine that this process tracks. */
export interface TrackedStage {
  readonly member: UpstreamMember;
  readonly ledger: StageLedger;
}

/** Time without new work after an engine refused a step because it is leaving or doesn't hold the layers. */
const REFUSAL_BACKOFF_MILLISECONDS = 1000;

/** Consecutive missed load reports that make an engine unreachable. A failed connection alone suffices. */
const FAILURES_UNTIL_UNREACHABLE = 2;

/** State of the engines that this process tracks: ledgers, health and learned concurrency limits. */
export class StageRegistry {
  private readonly stages = new Map<string, TrackedStage>();
  private readonly healthTracker = new UpstreamHealthTracker();
  private readonly limits = new ConcurrencyLimit();
  private readonly backoffUntil = new Map<string, number>();
  private readonly consecutiveReportFailures = new Map<string, number>();

  /** @param onHealthChange called for each change of an engine's health */
  constructor(
    private readonly onHealthChange: (change: HealthChange) => void,
  ) {}

  /**
   * Tracks exactly these engines and keeps the state of those already tracked at the same address. `isNew` tells
   * whether an engine is new to the system, not only to this process; if omitted, all that weren't tracked are new.
   */
  track(
    members: readonly UpstreamMember[],
    now: number,
    isNew: (upstream: string) => boolean = () => true,
  ): void {
    const listedIds = new Set(members.map(member => member.id));
    for (const id of [...this.stages.keys()]) {
      if (!listedIds.has(id)) {
        this.forget(id);
      }
    }
    for (const member of members) {
      const known = this.stages.get(member.id);
      const isSameAddress = known?.member.address === member.address;
      const ledger = isSameAddress ? known.ledger : new StageLedger();
      this.stages.set(member.id, {member, ledger});
    }
    this.updateHealthTracker(now, isNew);
  }

  get(upstream: string): TrackedStage | undefined {
    return this.stages.get(upstream);
  }

  get trackedStages(): readonly TrackedStage[] {
    return [...this.stages.values()];
  }

  /** Records what a dispatcher observed at an engine; engines that aren't tracked are ignored. */
  observe(observation: StageObservation, now: number): void {
    const stage = this.stages.get(observation.upstream);
    if (stage === undefined) {
      return;
    }
    const {decodeMilliseconds, linkMilliseconds, steps} = observation;
    stage.ledger.addMeasurements(
      decodeMilliseconds,
      linkMilliseconds,
      steps,
      now,
    );
    this.updateConcurrencyLimit(stage, decodeMilliseconds, now);
    if (observation.outcome === 'refused') {
      const until = now + REFUSAL_BACKOFF_MILLISECONDS;
      this.backoffUntil.set(observation.upstream, until);
    }
    this.apply(this.healthTracker.observe(observation, now));
  }

  /** Records a failed poll. A connection failure makes the engine unreachable at once, so that it gets no new work. */
  recordReportFailure(
    upstream: string,
    isConnectionFailure: boolean,
    now: number,
  ): void {
    const previous = this.consecutiveReportFailures.get(upstream) ?? 0;
    const failures =
      previous + (isConnectionFailure ? FAILURES_UNTIL_UNREACHABLE : 1);
    this.consecutiveReportFailures.set(upstream, failures);
    if (
      previous < FAILURES_UNTIL_UNREACHABLE &&
      failures >= FAILURES_UNTIL_UNREACHABLE
    ) {
      this.apply(this.healthTracker.connectionFailed(upstream, now));
    }
  }

  /** Records a load report, which makes the engine reachable again. */
  recordReport(
    report: EngineReport,
    roundTripMilliseconds: number,
    now: number,
  ): void {
    const stage = this.stages.get(report.upstream);
    if (stage === undefined) {
      return;
    }
    this.consecutiveReportFailures.delete(report.upstream);
    const previousReport = stage.ledger.report?.report;
    const hasRestarted = stage.ledger.applyReport(
      report,
      roundTripMilliseconds,
      now,
    );
    if (hasRestarted) {
      this.handleRestart(report.upstream, now);
    }
    if (previousReport?.leaving !== report.leaving) {
      this.updateHealthTracker(now);
    }
  }

  /** Starts probing the engines whose quarantine is over. */
  tick(now: number): void {
    this.apply(this.healthTracker.tick(now));
  }

  /** The stage as routing policies see it; undefined if it has no report yet or must not get new work. */
  viewOf(upstream: string, now: number): StageView | undefined {
    const stage = this.stages.get(upstream);
    const report = stage?.ledger.report?.report;
    if (stage === undefined || report === undefined) {
      return undefined;
    }
    const isUnavailable = isLeaving(stage) || this.isUnreachable(upstream);
    if (isUnavailable || this.isBackingOff(upstream, now)) {
      return undefined;
    }
    const {member, ledger} = stage;
    const learnedLimit = this.limits.limit(upstream, report.sequenceLimit);
    return {
      upstream,
      address: member.address,
      dataCentre: member.dataCentre,
      replica: member.group,
      acceleratorKind: report.acceleratorKind,
      layers: report.layers,
      health: this.healthTracker.health(upstream),
      leaving: false,
      sequenceLimit: this.healthTracker.sequenceLimit(
        upstream,
        learnedLimit,
        now,
      ),
      expectedFinishTimes: ledger.predictFinishTimes(now),
      decodeMilliseconds: ledger.decodeMilliseconds(now),
      prefillMillisecondsPerToken: report.prefillMillisecondsPerToken,
      linkMilliseconds: ledger.linkMilliseconds(now),
      reportAgeMilliseconds: ledger.reportAge(now),
      cachedPrefixes: new Set(report.cachedPrefixes),
    };
  }

  /** Whether an engine's quarantine is over and a single request is testing it. */
  isProbing(upstream: string): boolean {
    return this.healthTracker.health(upstream) === 'probing';
  }

  private updateConcurrencyLimit(
    stage: TrackedStage,
    decodeMilliseconds: number | undefined,
    now: number,
  ): void {
    const reportedLimit = stage.ledger.report?.report.sequenceLimit;
    if (decodeMilliseconds === undefined || reportedLimit === undefined) {
      return;
    }
    const {id} = stage.member;
    const resident = stage.ledger.predictFinishTimes(now).length;
    this.limits.observe(id, decodeMilliseconds, resident, reportedLimit, now);
  }

  /** Whether polls failed so often that the engine must not get new work. */
  isUnreachable(upstream: string): boolean {
    return (
      (this.consecutiveReportFailures.get(upstream) ?? 0) >=
      FAILURES_UNTIL_UNREACHABLE
    );
  }

  /** Treats a restarted engine as a new upstream: failures of the earlier process don't affect its health. */
  private handleRestart(upstream: string, now: number): void {
    this.limits.forget(upstream);
    const others = this.trackedStages.filter(
      stage => stage.member.id !== upstream,
    );
    this.apply(this.healthTracker.list(others.map(toListedUpstream), now));
    this.updateHealthTracker(now);
  }

  private isBackingOff(upstream: string, now: number): boolean {
    const until = this.backoffUntil.get(upstream);
    if (until === undefined || until > now) {
      return until !== undefined;
    }
    this.backoffUntil.delete(upstream);
    return false;
  }

  private forget(upstream: string): void {
    this.stages.delete(upstream);
    this.limits.forget(upstream);
    this.backoffUntil.delete(upstream);
    this.consecutiveReportFailures.delete(upstream);
  }

  private updateHealthTracker(
    now: number,
    isNew: (upstream: string) => boolean = () => true,
  ): void {
    const listed = this.trackedStages.map(stage => ({
      ...toListedUpstream(stage),
      established: !isNew(stage.member.id),
    }));
    this.apply(this.healthTracker.list(listed, now));
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

function isLeaving(stage: TrackedStage): boolean {
  const isReportedLeaving = stage.ledger.report?.report.leaving ?? false;
  return isReportedLeaving || stage.member.state === 'leaving';
}

function toListedUpstream(stage: TrackedStage): ListedUpstream {
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
