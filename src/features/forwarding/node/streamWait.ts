import {DisposableStore} from '../../../base/common/lifecycle.js';
import {decideWithoutPath, pathRetryDelay} from '../common/pathWait.js';
import {NotRunReason} from '../common/retryAfter.js';
import {EntryChoice, SentUpstream} from './entryUpstreams.js';
import {ForwardingServices} from './forwardingServices.js';
import {AdmittedRequest} from './admittedRequest.js';
import {StreamResponse} from './streamResponse.js';

/** State of a stream that its wait depends on. */
export interface WaitState {
  /** Whether its caller has received events. */
  readonly hasBegun: boolean;
  readonly mayHaveRun: boolean;
  readonly hasTimeForAttempt: boolean;
}

/** Whether a stream without a path looks for one again. */
export type WaitDecision =
  | {readonly kind: 'wait'}
  | {
      readonly kind: 'giveUp';
      readonly reason: NotRunReason;
      /** Time until the cause ends; zero if it is not known. */
      readonly causeEndsInMilliseconds: number;
    };

/** Decides how long a stream waits for a path or for a retry, and schedules its next look. */
export class StreamWait {
  private hasLoggedWait = false;
  private hasLoggedNoRestart = false;

  constructor(
    private readonly services: ForwardingServices,
    private readonly admitted: AdmittedRequest,
    private readonly response: StreamResponse,
    /** Owns the timers; disposed with the stream. */
    private readonly owned: DisposableStore,
  ) {}

  /** Decides what a stream does that found no path. */
  decide(
    cause: string,
    choice: Exclude<EntryChoice, {kind: 'found'}>,
    {hasBegun, mayHaveRun, hasTimeForAttempt}: WaitState,
  ): WaitDecision {
    const reason =
      choice.kind === 'noLayers' ? this.noPathReason() : choice.kind;
    const {latencyTargetMilliseconds} = this.admitted.route;
    const {silentMilliseconds} = this.response;
    const decision = decideWithoutPath(
      {hasBegun, mayHaveRun, silentMilliseconds, latencyTargetMilliseconds},
      choice.kind === 'limited' ? choice.wait : undefined,
      hasTimeForAttempt,
    );
    if (decision.kind === 'giveUp') {
      return {...decision, reason};
    }
    if (!this.hasLoggedWait) {
      this.hasLoggedWait = true;
      const patience = decision.patienceMilliseconds;
      this.logDecision('waitingForPath', {cause, reason, patience});
    }
    return {kind: 'wait'};
  }

  /** Calls back after a delay that grows with the silence of the stream. */
  schedule(callback: () => void): void {
    const delay = pathRetryDelay(this.response.silentMilliseconds);
    const timer = this.services.clock.setTimer(delay, () => {
      this.owned.delete(timer);
      callback();
    });
    this.owned.add(timer);
  }

  /** Logs only once, since a silent stream asks for a restart repeatedly. */
  logNotRestarted(
    cause: string,
    attempts: number,
    sentBefore: readonly SentUpstream[],
  ): void {
    if (!this.hasLoggedNoRestart) {
      this.hasLoggedNoRestart = true;
      this.logDecision('notRestarted', {cause, attempts, sentBefore});
    }
  }

  private noPathReason(): NotRunReason {
    const {directory} = this.services;
    const upstreams = directory.ofService(this.admitted.service);
    return upstreams.length === 0 ? 'noUpstream' : 'noLayers';
  }

  private logDecision(
    decision: string,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    const request = this.admitted.id;
    this.services.logger.decision(decision, {request, ...fields});
  }
}
