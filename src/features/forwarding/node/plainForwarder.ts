import {Disposable, toDisposable} from '../../../base/common/lifecycle.js';
import {MEMORY_SPENT} from '../../../base/common/memoryBudget.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {choosePlainUpstream} from '../common/choosePlainUpstream.js';
import {AdmissionWait, AdmissionFilter} from '../common/admissionFilter.js';
import {ResponseMetadata} from '../common/headerCodec.js';
import {NotRunReason} from '../common/retryAfter.js';
import {EarlyEnd, RequestForwarder} from './requestForwarder.js';
import {AttemptOutcome, ResponseBuffer} from './responseBuffer.js';

/**
 * Share of the latency target after which a second attempt is started in parallel if the request is safe to
 * repeat.
 */
const HEDGE_DELAY_SHARE = 0.5;

const MIN_SERVER_ERROR_STATUS = 500;

/**
 * Forwards a request to a plain service: to one upstream at a time, or to two in parallel where hedging is
 * allowed.
 */
export class PlainForwarder extends RequestForwarder {
  private readonly running = new Map<string, Disposable>();
  private readonly attemptedUpstreams = new Set<string>();
  private attempts = 0;
  private mayHaveRun = false;
  /** The wait for limits of the last choice; undefined if limits did not decide it. */
  private admissionWait: AdmissionWait | undefined;
  /** An upstream's error response, forwarded if no retry succeeds. */
  private failure: Extract<AttemptOutcome, {kind: 'answered'}> | undefined;

  protected override startFirstAttempt(): void {
    this.startAttempt('first');
    if (this.isIdempotent && !this.isDone) {
      const latencyTarget = this.admitted.route.latencyTargetMilliseconds;
      const timer = this.services.clock.setTimer(
        latencyTarget * HEDGE_DELAY_SHARE,
        () => this.hedge(),
      );
      this.owned.add(timer);
    }
  }

  protected override endEarly({status, reason, notRunReason}: EarlyEnd): void {
    if (this.mayHaveRun || this.running.size > 0) {
      this.fail(status, reason);
    } else {
      this.refuse(notRunReason);
    }
  }

  protected override logFields(): Readonly<Record<string, unknown>> {
    return {attempts: this.attempts, upstreams: [...this.attemptedUpstreams]};
  }

  private get isIdempotent(): boolean {
    return this.admitted.route.kind === 'safe';
  }

  private startAttempt(cause: string): void {
    if (this.lossWatch.isBlocked) {
      const {endedUpstreams: ended} = this.lossWatch;
      this.logDecision('requestBlocked', {kind: 'upstreamsEnded', ended});
      this.giveUp('endsUpstreams');
      return;
    }
    if (this.mayBeCutOff && !this.mayHaveRun && this.running.size === 0) {
      this.giveUp('stopping');
      return;
    }
    const upstream = this.chooseUpstream();
    if (upstream === undefined) {
      this.giveUp(this.admissionWait === undefined ? 'noUpstream' : 'limited');
      return;
    }
    if (cause !== 'first') {
      this.logDecision('requestRepeated', {cause, upstream: upstream.id});
      this.services.metrics.recordRetry(cause);
    }
    this.sendTo(upstream);
  }

  private chooseUpstream(): Upstream | undefined {
    const {directory, load, outcomes, suspicions, random} = this.services;
    const admissionFilter = new AdmissionFilter(this.services.admission);
    const isUsable = (upstream: Upstream): boolean =>
      !upstream.isLeaving &&
      !suspicions.isSuspect(upstream.id) &&
      !this.attemptedUpstreams.has(upstream.id) &&
      admissionFilter.accepts(upstream);
    const choice = choosePlainUpstream({
      upstreams: directory.ofService(this.admitted.service),
      loadOf: id => load.totalOf(id),
      failureRateOf: id => outcomes.failureRate(id),
      isUsable,
      randomFraction: () => random.next(),
    });
    this.admissionWait = admissionFilter.wait;
    return choice.kind === 'found' ? choice.upstream : undefined;
  }

  private sendTo(upstream: Upstream): void {
    const {connector, load, settings, headerCodec} = this.services;
    this.attempts++;
    this.attemptedUpstreams.add(upstream.id);
    load.add(upstream.id, 0);
    const buffer = new ResponseBuffer(
      headerCodec,
      this.admitted.id,
      settings.heldAnswerBytes,
      this.services.responseMemory,
      outcome => this.onOutcome(upstream, outcome),
    );
    this.owned.add(buffer);
    const request = this.createUpstreamRequest(upstream, {
      path: undefined,
      lastEvent: this.admitted.facts.lastEvent,
      // On a reused connection, a late second response would leave open whether the request was executed.
      isAlone: true,
    });
    const exchange = connector.open(upstream, request, buffer);
    const release = toDisposable(() => {
      load.remove(upstream.id, 0);
      exchange.dispose();
    });
    if (this.running.has(upstream.id) || this.isDone) {
      release.dispose();
      return;
    }
    this.running.set(upstream.id, this.owned.add(release));
  }

  private onOutcome(upstream: Upstream, outcome: AttemptOutcome): void {
    const attempt = this.running.get(upstream.id);
    this.running.delete(upstream.id);
    if (attempt !== undefined) {
      this.owned.delete(attempt);
    }
    if (this.isDone) {
      return;
    }
    switch (outcome.kind) {
      case 'notSent':
        return this.onNotSent(upstream, outcome.detail);
      case 'lost':
        return this.onResponseLost(upstream, outcome.detail);
      case 'givenUp':
        return this.onGivenUp(upstream);
      case 'answered':
        // Before any wait: at the time limit, an answer that is still being checked must not count as none.
        this.mayHaveRun ||= !outcome.facts.isNotRun;
        return outcome.isFramed
          ? this.onResponse(upstream, outcome)
          : void this.verifyCloseDelimited(upstream, outcome);
    }
  }

  /** Accepts a response that ended with its connection only if it is known to be whole. */
  private async verifyCloseDelimited(
    upstream: Upstream,
    outcome: Extract<AttemptOutcome, {kind: 'answered'}>,
  ): Promise<void> {
    const isWhole = await this.services.responseEndCheck.isWhole(upstream);
    if (this.isDone) {
      return;
    }
    if (isWhole) {
      this.onResponse(upstream, outcome);
    } else {
      this.onResponseLost(
        upstream,
        'close-delimited response is not known to be whole',
      );
    }
  }

  private onNotSent(upstream: Upstream, detail: string): void {
    this.logDecision('answerLost', {
      upstream: upstream.id,
      detail,
      wasSent: false,
    });
    this.services.suspicions.suspect(upstream.id, 'unreachable', {detail});
    this.services.outcomes.record(upstream.id, false);
    this.retryOrGiveUp('unreachable', 'noUpstream', true);
  }

  private onResponseLost(upstream: Upstream, detail: string): void {
    this.mayHaveRun = true;
    this.services.outcomes.record(upstream.id, false);
    void this.lossWatch.probe(upstream, detail);
    this.logDecision('answerLost', {
      upstream: upstream.id,
      detail,
      wasSent: true,
    });
    const announced = this.lossWatch.record(upstream.id, 'lost');
    if (this.isIdempotent) {
      void announced.then(() =>
        this.retryOrGiveUp('answerLost', 'refused', false),
      );
    } else {
      this.fail(502, 'the answer was lost');
    }
  }

  /**
   * This instance has no memory for the response; the upstream has run the request. Another response would need as much, so the caller is
   * told to look elsewhere.
   */
  private onGivenUp(upstream: Upstream): void {
    this.mayHaveRun = true;
    this.logDecision('answerLost', {
      upstream: upstream.id,
      detail: MEMORY_SPENT,
      wasSent: true,
    });
    if (this.running.size === 0) {
      this.fail(502, MEMORY_SPENT);
    }
  }

  private onResponse(
    upstream: Upstream,
    outcome: Extract<AttemptOutcome, {kind: 'answered'}>,
  ): void {
    const {head, facts} = outcome;
    if (facts.isNotRun) {
      this.onNotRun(upstream, facts);
      return;
    }
    const isSuccess = head.status < MIN_SERVER_ERROR_STATUS;
    this.services.outcomes.record(upstream.id, isSuccess);
    if (isSuccess || !this.isIdempotent) {
      this.forwardResponse(head, outcome.body);
      return;
    }
    this.failure = outcome;
    this.retryOrGiveUp('upstreamFailed', 'refused', false);
  }

  private onNotRun(
    upstream: Upstream,
    {isMisdirected, restMilliseconds}: ResponseMetadata,
  ): void {
    this.logDecision('refusedByUpstream', {
      faulty: upstream.id,
      misdirected: isMisdirected,
      rest: restMilliseconds ?? null,
    });
    if (isMisdirected) {
      this.services.suspicions.suspect(upstream.id, 'misdirected', {});
    }
    this.retryOrGiveUp('notRun', 'refused', false);
  }

  /** Starts a second attempt in parallel to a slow first one. */
  private hedge(): void {
    const canRetry =
      !this.isDone &&
      this.running.size === 1 &&
      this.lossWatch.endedUpstreams.length === 0 &&
      this.attempts < this.admitted.route.attemptLimit &&
      this.chooseUpstream() !== undefined &&
      this.services.budget.tryTake(this.admitted.service, 'first');
    if (canRetry) {
      this.startAttempt('slow');
    }
  }

  private retryOrGiveUp(
    cause: string,
    reason: NotRunReason,
    /** Whether the retry is exempt from the budget, since the last attempt was never sent. */
    isBudgetExempt: boolean,
  ): void {
    if (this.running.size > 0 || this.isDone) {
      return;
    }
    if (isBudgetExempt) {
      this.attempts--;
    }
    const {route, service} = this.admitted;
    const canRetry =
      this.hasTimeForAttempt &&
      this.attempts < Math.max(route.attemptLimit, 1) &&
      this.chooseUpstream() !== undefined &&
      (isBudgetExempt || this.services.budget.tryTake(service, 'first'));
    if (canRetry) {
      this.startAttempt(cause);
    } else {
      this.giveUp(reason);
    }
  }

  private giveUp(reason: NotRunReason): void {
    if (this.running.size > 0) {
      return;
    }
    if (this.failure !== undefined) {
      this.forwardResponse(this.failure.head, this.failure.body);
    } else if (this.mayHaveRun) {
      this.fail(502, 'no upstream answered');
    } else {
      this.refuse(reason, this.admissionWait?.anyMilliseconds);
    }
  }
}
