import {ResponseHead} from '../common/callerExchange.js';
import {ResponseMetadata} from '../common/headerCodec.js';
import {NotRunReason} from '../common/retryAfter.js';
import {EntryChoice} from './entryUpstreams.js';
import {ForwardingServices} from './forwardingServices.js';
import {suspectRefusingUpstream} from './refusedPath.js';
import {AdmittedRequest} from './admittedRequest.js';
import {LostAttempt} from './streamAttempt.js';
import {StreamState} from './streamState.js';
import {StreamWait} from './streamWait.js';

/** What the forwarder of a stream does on behalf of its recovery. */
export interface StreamActions {
  /** Looks for a path and sends the request along it. */
  startAttempt(cause: string): void;
  /** Ends the request as not run if that is certain, and as failed otherwise. */
  giveUp(reason: NotRunReason, causeEndsInMilliseconds?: number): void;
  /** Ends a request that may have been executed. */
  fail(status: 502, reason: string): void;
  /** Ends the request with a complete response of an upstream. */
  forwardResponse(head: ResponseHead, body: Uint8Array): void;
}

/** Decides what a stream does after an attempt was lost, refused or abandoned, and while it has no path. */
export class StreamRecovery {
  constructor(
    private readonly services: ForwardingServices,
    private readonly admitted: AdmittedRequest,
    private readonly state: StreamState,
    private readonly waiting: StreamWait,
    private readonly actions: StreamActions,
  ) {}

  /** Waits for a path or gives up. */
  onNoPath(cause: string, choice: Exclude<EntryChoice, {kind: 'found'}>): void {
    if (choice.kind === 'attemptsUsed') {
      void this.state.entryUpstreams.seekProofs();
    }
    const decision = this.waiting.decide(cause, choice, this.state);
    if (decision.kind === 'giveUp') {
      this.actions.giveUp(decision.reason, decision.causeEndsInMilliseconds);
    } else {
      this.waiting.schedule(() => this.actions.startAttempt(cause));
    }
  }

  /** Called with a complete response without a success status. */
  onErrorResponse(
    head: ResponseHead,
    facts: ResponseMetadata,
    body: Uint8Array,
  ): void {
    const {state, actions} = this;
    state.endAttempt();
    if (state.isDone) {
      return;
    }
    if (facts.isNotRun) {
      this.onNotRun(facts);
      return;
    }
    state.recordMayHaveRun();
    state.logDecision('upstreamFailed', {status: head.status});
    if (state.retries.canResend && state.retries.tryTake()) {
      this.retry('upstreamFailed');
    } else if (state.hasBegun) {
      actions.fail(502, 'the upstream failed midway');
    } else {
      actions.forwardResponse(head, body);
    }
  }

  /** Called when the response broke off or never arrived. */
  onLost({detail, wasSent, isGivenUp}: LostAttempt): void {
    const {state} = this;
    const {attempt} = state;
    const writing = attempt?.writingMilliseconds;
    state.endAttempt();
    if (state.isDone) {
      return;
    }
    const upstream = state.firstUpstream;
    state.logDecision('answerLost', {
      upstream: upstream?.id,
      detail,
      wasSent,
      writing: writing === undefined ? null : Math.round(writing),
      lastEvent: state.sequence.lastEvent,
      promptParts: this.admitted.facts.promptParts,
    });
    if (!wasSent && upstream !== undefined) {
      state.entryUpstreams.takeBackLast();
      this.services.suspicions.suspect(upstream.id, 'unreachable', {detail});
      this.actions.startAttempt('unreachable');
      return;
    }
    state.recordMayHaveRun();
    if (isGivenUp) {
      this.actions.fail(502, detail);
      return;
    }
    let findings: Promise<unknown> = Promise.resolve();
    if (upstream !== undefined) {
      state.entryUpstreams.recordBrokenOff(upstream);
      findings = Promise.all([
        state.promptWatch.recordLoss(upstream.id, attempt, true),
        state.lossWatch.probe(upstream, detail),
      ]);
    }
    if (!state.retries.canResend) {
      this.actions.fail(502, 'answerLost');
    } else {
      this.whenEndsAreKnown(() => this.repeatAfterLoss(), findings);
    }
  }

  /**
   * Abandons the running attempt and starts another if that is allowed; returns whether it did. An attempt that could
   * start nowhere else goes on, since its upstream may only pause.
   */
  restart(cause: string): boolean {
    const {state} = this;
    if (!state.retries.canResend) {
      return false;
    }
    const current = state.firstUpstream?.id;
    const isCurrentSuspect =
      current !== undefined && this.services.suspicions.isSuspect(current);
    const excluded = isCurrentSuspect ? current : undefined;
    const {entryUpstreams, promptWatch} = state;
    if (
      promptWatch.mustNotBeResent ||
      !entryUpstreams.hasStartOtherThan(excluded)
    ) {
      void entryUpstreams.seekProofs();
      this.logNotRestarted(cause);
      return false;
    }
    if (!state.retries.tryTake()) {
      this.logNotRestarted(cause);
      return false;
    }
    state.abandonAttempt();
    state.recordMayHaveRun();
    if (current !== undefined) {
      promptWatch.recordLeft(current);
    }
    this.whenEndsAreKnown(() => this.retry(cause));
    return true;
  }

  /**
   * Calls back at once, or after a search for proofs if the request may be sent again only as long as its upstreams have
   * not ended.
   * @param findings what else shows whether they have ended, and is waited for then
   */
  private whenEndsAreKnown(
    callback: () => void,
    findings?: Promise<unknown>,
  ): void {
    const {entryUpstreams, promptWatch} = this.state;
    if (promptWatch.dependsOnProofs) {
      void Promise.all([findings, entryUpstreams.seekProofs()]).then(callback);
    } else {
      callback();
    }
  }

  private repeatAfterLoss(): void {
    this.retryOrWait('answerLost', () => this.actions.fail(502, 'answerLost'));
  }

  private onNotRun(facts: ResponseMetadata): void {
    const {state} = this;
    const faulty = suspectRefusingUpstream(
      this.services,
      this.admitted.id,
      state.path,
      facts,
    );
    state.logDecision('refusedByUpstream', {
      faulty: faulty?.id,
      misdirected: facts.isMisdirected,
      rest: facts.restMilliseconds ?? null,
    });
    this.retryOrWait('notRun', () => this.actions.giveUp('refused'));
  }

  /** Without budget for a retry, a stream that has begun waits until the budget allows one; others end. */
  private retryOrWait(cause: string, onExhausted: () => void): void {
    const {state} = this;
    if (state.isDone) {
      return;
    }
    if (state.retries.tryTake()) {
      this.retry(cause);
      return;
    }
    if (!state.hasBegun || state.retries.isExhausted) {
      onExhausted();
      return;
    }
    this.logNotRestarted(cause);
    this.waiting.schedule(() => this.retryOrWait(cause, onExhausted));
  }

  private retry(cause: string): void {
    if (this.state.isDone) {
      return;
    }
    this.services.metrics.recordRetry(cause);
    this.actions.startAttempt(cause);
  }

  private logNotRestarted(cause: string): void {
    const {entryUpstreams, retries} = this.state;
    const {history} = entryUpstreams;
    this.waiting.logNotRestarted(cause, retries.count, history);
  }
}
