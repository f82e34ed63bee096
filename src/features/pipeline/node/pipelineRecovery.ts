import {ModelRequest} from '../../requests/common/request.js';
import {Reservation, ReservationReply} from '../../routing/common/routing.js';
import {coversAllLayers} from '../common/planCheck.js';
import {AttemptEvent} from '../common/pipelineAttempt.js';
import {isForeign, treatmentOf} from '../common/stageFailure.js';
import {delayWithin} from './boundedCall.js';
import {CacheKeeper} from './cacheKeeper.js';
import {CapacityClient} from './capacityClient.js';
import {EngineCanceller} from './engineCanceller.js';
import {PipelineDependencies} from './pipelineDependencies.js';
import {RunState} from './runState.js';
import {StageSet} from './stageSet.js';
import {StageFailure} from './tokenStepper.js';

/** What a recovery led to. */
export type RecoveryOutcome =
  | {
      readonly kind: Extract<
        AttemptEvent,
        'restarted' | 'resumed' | 'exhausted' | 'ended'
      >;
    }
  | {readonly kind: 'stageFailed'; readonly failure: StageFailure};

/** Puts a request on other stages after one failed, under a higher epoch. */
export class PipelineRecovery {
  /** Failed upstreams, with whether each checks fencing numbers. */
  private readonly excluded = new Map<string, boolean>();
  /** Upstreams that refused once and were kept. */
  private readonly forgiven = new Set<string>();
  /** The time to come back that the last refusal named. */
  retryAfterMilliseconds: number | undefined;

  constructor(
    private readonly dependencies: PipelineDependencies,
    private readonly request: ModelRequest,
    private readonly state: RunState,
    private readonly stages: StageSet,
    private readonly capacity: CapacityClient,
    private readonly canceller: EngineCanceller,
    private readonly caches: CacheKeeper,
  ) {}

  /** The epoch rises before anything else, so that no answer of the old attempt counts. */
  async recover(failed: StageFailure): Promise<RecoveryOutcome> {
    const formerEpoch = this.state.epoch;
    if (this.isDrivenElsewhere(failed, formerEpoch)) {
      this.report(failed);
      return {kind: 'exhausted'};
    }
    this.raiseEpoch(failed);
    this.report(failed);
    this.state.recoveries += 1;
    if (this.isBeyondLimit()) {
      return {kind: 'exhausted'};
    }
    if (this.keepStage(failed)) {
      return this.resumed();
    }
    this.exclude(failed, formerEpoch);
    return this.placeElsewhere(failed, formerEpoch);
  }

  private raiseEpoch({error}: StageFailure): void {
    const highest = error.kind === 'stale' ? error.highest : 0;
    const {safeguards} = this.dependencies;
    this.state.enterEpoch(safeguards.nextEpoch(this.state.epoch, highest));
  }

  private report({session, error}: StageFailure): void {
    session.statistics.outcome = treatmentOf(error.kind).outcome;
    this.dependencies.metrics.count('pipeline.recoveries', 1, {
      cause: error.kind,
    });
    this.capacity.reportFailure(session.statistics.observation);
  }

  private isBeyondLimit(): boolean {
    return this.state.recoveries > this.dependencies.settings.recoveryLimit;
  }

  /** Work that may not be repeated is left to whoever drives it under an epoch not ours, not even cancelled. */
  private isDrivenElsewhere(failed: StageFailure, epoch: number): boolean {
    return (
      isForeign(failed.error, epoch) && !this.request.classOfWork.repeatable
    );
  }

  /** An engine that only lost its KV cache is sound: it is rebuilt there, once. */
  private keepStage({session, error}: StageFailure): boolean {
    const {upstream} = session.chosen;
    if (error.kind !== 'cacheMissing' || this.forgiven.has(upstream)) {
      return false;
    }
    this.forgiven.add(upstream);
    session.coveredTo = Math.max(
      0,
      Math.min(session.coveredTo, error.coveredTo),
    );
    this.capacity.logKept(
      error.kind,
      this.state.epoch,
      this.stages.sessions.map(kept => kept.chosen.upstream),
    );
    return true;
  }

  private exclude({session, error}: StageFailure, formerEpoch: number): void {
    const {upstream, checksFencing} = session.chosen;
    this.excluded.set(upstream, checksFencing === true);
    if (error.kind === 'mismatch') {
      this.stages.dropExport(session.chosen.layers);
    }
    if (error.kind !== 'unreachable') {
      this.canceller.cancelInBackground([upstream], formerEpoch);
    }
  }

  private async placeElsewhere(
    failed: StageFailure,
    formerEpoch: number,
  ): Promise<RecoveryOutcome> {
    while (!this.isBeyondLimit()) {
      const reply = await this.replan(failed.error.kind);
      if (reply === undefined) {
        return {kind: 'ended'};
      }
      if (reply.kind === 'reserved') {
        if (await this.isEnterable(reply.reservation)) {
          return this.adopt(reply.reservation, failed, formerEpoch);
        }
        this.state.recoveries += 1;
        continue;
      }
      this.retryAfterMilliseconds = reply.retryAfterMilliseconds;
      const next = await this.afterRefusal(reply.retryAfterMilliseconds);
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

  /** Allows engines that recovered, or waits; work that never began fails at once instead. */
  private async afterRefusal(
    retryAfterMilliseconds: number,
  ): Promise<'again' | 'ended' | 'exhausted'> {
    if (this.stages.ledger.executed(this.state.released) === 'no') {
      return 'exhausted';
    }
    this.state.recoveries += 1;
    const readmitted = await this.readmit();
    if (this.state.token.isCancelled) {
      return 'ended';
    }
    if (readmitted) {
      return 'again';
    }
    const {clock, settings} = this.dependencies;
    const wait = Math.min(retryAfterMilliseconds, settings.retryMilliseconds);
    const waited = await delayWithin(clock, wait, this.state.token);
    return waited ? 'again' : 'ended';
  }

  /** Takes failed engines back that answer again and where the old attempt can do no harm. */
  private async readmit(): Promise<boolean> {
    const {safeguards} = this.dependencies;
    const formerEpoch = this.state.epoch - 1;
    const checks = [...this.excluded].map(async ([upstream, checksFencing]) => {
      const report = await this.canceller.cancel(upstream, formerEpoch);
      const record = this.stages.ledger.recordOf(upstream);
      if (report !== 'silent' && safeguards.mayEnter(record, checksFencing)) {
        this.excluded.delete(upstream);
        return true;
      }
      return false;
    });
    return (await Promise.all(checks)).includes(true);
  }

  /** Whether the plan is whole and no old attempt may still run at its engines. */
  private async isEnterable(reservation: Reservation): Promise<boolean> {
    this.state.reservation = reservation;
    const {safeguards} = this.dependencies;
    const formerEpoch = this.state.epoch - 1;
    if (!coversAllLayers(reservation.stages, this.request.model.layerCount)) {
      return false;
    }
    let enterable = true;
    for (const stage of reservation.stages) {
      const checksFencing = stage.checksFencing === true;
      const record = this.stages.ledger.recordOf(stage.upstream);
      if (safeguards.mayEnter(record, checksFencing)) {
        continue;
      }
      await this.canceller.cancel(stage.upstream, formerEpoch);
      if (!safeguards.mayEnter(record, checksFencing)) {
        this.excluded.set(stage.upstream, checksFencing);
        enterable = false;
      }
    }
    return enterable;
  }

  private async adopt(
    reservation: Reservation,
    failed: StageFailure,
    formerEpoch: number,
  ): Promise<RecoveryOutcome> {
    const left = this.stages.adopt(reservation.stages, failed.session);
    const unused = left
      .filter(session => session !== failed.session)
      .map(session => session.chosen.upstream);
    this.canceller.cancelInBackground(unused, formerEpoch);
    if (this.state.released > 0) {
      const restored = await this.caches.restore();
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
