import {ModelRequest} from '../../requests/common/request.js';
import {Reservation, ReservationReply} from '../../routing/common/routing.js';
import {coversAllLayers} from '../common/layerCoverage.js';
import {AttemptEvent} from '../common/pipelineAttempt.js';
import {
  classifyFailure,
  hasForeignEpoch,
  mayHaveEnded,
} from '../common/stageFailure.js';
import {cancellableDelay} from './cancellableCall.js';
import {CacheTransfer} from './cacheTransfer.js';
import {CapacityClient} from './capacityClient.js';
import {EngineCanceller} from './engineCanceller.js';
import {PipelineDependencies} from './pipelineDependencies.js';
import {RunState} from './runState.js';
import {StageSet} from './stageSet.js';
import {StageFailure} from './passRunner.js';

/** Outcome of a recovery. */
export type RecoveryOutcome =
  | {
      readonly kind: Extract<
        AttemptEvent,
        'restarted' | 'resumed' | 'exhausted' | 'ended'
      >;
    }
  | {readonly kind: 'stageFailed'; readonly failure: StageFailure};

/** Moves a request to other stages under a higher epoch after a stage has failed. */
export class PipelineRecovery {
  /** Failed upstreams, mapped to whether each checks fencing numbers. */
  private readonly excluded = new Map<string, boolean>();
  /** Upstreams whose lost KV cache was already rebuilt in place once. */
  private readonly rebuiltUpstreams = new Set<string>();
  /** Upstreams that may have ended under the request; one that responds again is taken out. */
  private readonly ended = new Set<string>();
  /** Retry-after time of the last refusal. */
  retryAfterMilliseconds: number | undefined;

  constructor(
    private readonly dependencies: PipelineDependencies,
    private readonly request: ModelRequest,
    private readonly state: RunState,
    private readonly stages: StageSet,
    private readonly capacity: CapacityClient,
    private readonly canceller: EngineCanceller,
    private readonly cacheTransfer: CacheTransfer,
  ) {}

  /** Recovers from a failed stage. Raises the epoch first, so that responses to the old attempt are ignored. */
  async recover(failed: StageFailure): Promise<RecoveryOutcome> {
    const formerEpoch = this.state.epoch;
    if (this.mustYieldToOtherDriver(failed, formerEpoch)) {
      this.report(failed);
      return {kind: 'exhausted'};
    }
    this.raiseEpoch(failed);
    this.report(failed);
    this.state.recoveries += 1;
    if (this.isRecoveryLimitExceeded()) {
      return {kind: 'exhausted'};
    }
    if (this.tryRebuildInPlace(failed)) {
      return this.resumed();
    }
    this.exclude(failed, formerEpoch);
    if (this.ended.size >= this.dependencies.settings.endedEngineLimit) {
      return {kind: 'exhausted'};
    }
    return this.moveToOtherStages(failed, formerEpoch);
  }

  private raiseEpoch({error}: StageFailure): void {
    const highest = error.kind === 'stale' ? error.highest : 0;
    const {safeguards} = this.dependencies;
    this.state.enterEpoch(safeguards.nextEpoch(this.state.epoch, highest));
  }

  private report({session, error}: StageFailure): void {
    session.statistics.outcome = classifyFailure(error.kind).outcome;
    this.dependencies.metrics.count('pipeline.recoveries', 1, {
      cause: error.kind,
    });
    this.capacity.reportFailure(session.statistics.observation);
  }

  private isRecoveryLimitExceeded(): boolean {
    return this.state.recoveries > this.dependencies.settings.recoveryLimit;
  }

  /** Work that must not be repeated is left to the driver that runs it under a foreign epoch, without cancelling it. */
  private mustYieldToOtherDriver(failed: StageFailure, epoch: number): boolean {
    return (
      hasForeignEpoch(failed.error, epoch) &&
      !this.request.classOfWork.repeatable
    );
  }

  /** Keeps an engine that only lost its KV cache and rebuilds the cache there, once per engine. */
  private tryRebuildInPlace({session, error}: StageFailure): boolean {
    const {upstream} = session.chosen;
    if (error.kind !== 'cacheMissing' || this.rebuiltUpstreams.has(upstream)) {
      return false;
    }
    this.rebuiltUpstreams.add(upstream);
    session.coveredTo = Math.max(
      0,
      Math.min(session.coveredTo, error.coveredTo),
    );
    this.capacity.logStagesKept(
      error.kind,
      this.state.epoch,
      this.stages.sessions.map(kept => kept.chosen.upstream),
    );
    return true;
  }

  private exclude({session, error}: StageFailure, formerEpoch: number): void {
    const {upstream, checksFencing} = session.chosen;
    this.excluded.set(upstream, checksFencing === true);
    if (mayHaveEnded(error.kind, session.coveredTo)) {
      this.ended.add(upstream);
    }
    if (error.kind === 'mismatch') {
      this.stages.forgetExport(session.chosen.layers);
    }
    if (error.kind !== 'unreachable') {
      this.canceller.cancelInBackground([upstream], formerEpoch);
    }
  }

  private async moveToOtherStages(
    failed: StageFailure,
    formerEpoch: number,
  ): Promise<RecoveryOutcome> {
    while (!this.isRecoveryLimitExceeded()) {
      const reply = await this.replan(failed.error.kind);
      if (reply === undefined) {
        return {kind: 'ended'};
      }
      if (reply.kind === 'reserved') {
        if (await this.acceptPlan(reply.reservation)) {
          return this.adopt(reply.reservation, failed, formerEpoch);
        }
        this.state.recoveries += 1;
        continue;
      }
      this.retryAfterMilliseconds = reply.retryAfterMilliseconds;
      const next = await this.handleRefusal(reply.retryAfterMilliseconds);
      if (next !== 'again') {
        return {kind: next};
      }
    }
    return {kind: 'exhausted'};
  }

  private replan(cause: string): Promise<ReservationReply | undefined> {
    return this.capacity.replan(
      this.state.reservation as Reservation,
      this.state,
      [...this.excluded.keys()],
      cause,
    );
  }

  /** Readmits excluded engines that respond again, or waits. Fails at once if the request provably never started. */
  private async handleRefusal(
    retryAfterMilliseconds: number,
  ): Promise<'again' | 'ended' | 'exhausted'> {
    if (this.stages.executionTracker.executed(this.state.released) === 'no') {
      return 'exhausted';
    }
    this.state.recoveries += 1;
    const readmitted = await this.readmitUpstreams();
    if (this.state.token.isCancelled) {
      return 'ended';
    }
    if (readmitted) {
      return 'again';
    }
    const {clock, settings} = this.dependencies;
    const wait = Math.min(retryAfterMilliseconds, settings.retryMilliseconds);
    const waited = await cancellableDelay(clock, wait, this.state.token);
    return waited ? 'again' : 'ended';
  }

  /** Readmits excluded engines that respond again and that may enter the new epoch. */
  private async readmitUpstreams(): Promise<boolean> {
    const {safeguards} = this.dependencies;
    const formerEpoch = this.state.epoch - 1;
    const checks = [...this.excluded].map(async ([upstream, checksFencing]) => {
      const report = await this.canceller.cancel(upstream, formerEpoch);
      const record = this.stages.executionTracker.recordOf(upstream);
      if (report !== 'silent') {
        this.ended.delete(upstream);
      }
      if (
        report !== 'silent' &&
        safeguards.canEnterEpoch(record, checksFencing)
      ) {
        this.excluded.delete(upstream);
        return true;
      }
      return false;
    });
    return (await Promise.all(checks)).includes(true);
  }

  /** Stores the new reservation; returns whether it covers all layers and its engines may enter the new epoch. */
  private async acceptPlan(reservation: Reservation): Promise<boolean> {
    this.state.reservation = reservation;
    const {safeguards} = this.dependencies;
    const formerEpoch = this.state.epoch - 1;
    if (!coversAllLayers(reservation.stages, this.request.model.layerCount)) {
      return false;
    }
    let isAccepted = true;
    for (const stage of reservation.stages) {
      const checksFencing = stage.checksFencing === true;
      const record = this.stages.executionTracker.recordOf(stage.upstream);
      if (safeguards.canEnterEpoch(record, checksFencing)) {
        continue;
      }
      await this.canceller.cancel(stage.upstream, formerEpoch);
      if (!safeguards.canEnterEpoch(record, checksFencing)) {
        this.excluded.set(stage.upstream, checksFencing);
        isAccepted = false;
      }
    }
    return isAccepted;
  }

  private async adopt(
    reservation: Reservation,
    failed: StageFailure,
    formerEpoch: number,
  ): Promise<RecoveryOutcome> {
    const replacedSessions = this.stages.adopt(
      reservation.stages,
      failed.session,
    );
    const unusedUpstreams = replacedSessions
      .filter(session => session !== failed.session)
      .map(session => session.chosen.upstream);
    this.canceller.cancelInBackground(unusedUpstreams, formerEpoch);
    if (this.state.released > 0) {
      const restored = await this.cacheTransfer.restore();
      if (this.state.token.isCancelled) {
        return {kind: 'ended'};
      }
      if (!restored.ok) {
        return {kind: 'stageFailed', failure: restored.error};
      }
    }
    return this.resumed();
  }

  private resumed(): RecoveryOutcome {
    return {kind: this.state.released > 0 ? 'resumed' : 'restarted'};
  }
}
