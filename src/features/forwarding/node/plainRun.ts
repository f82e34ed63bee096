import {Disposable, toDisposable} from '../../../base/common/lifecycle.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {choosePlainUpstream} from '../common/choosePlainUpstream.js';
import {NotRunReason} from '../common/retryAfter.js';
import {AttemptOutcome, HeldAnswer} from './heldAnswer.js';
import {RequestRun} from './requestRun.js';

/** An answer later than this share of the target is waited for beside a second attempt, where repeating does no harm. */
const HEDGE_SHARE = 0.5;

const FIRST_SERVER_ERROR = 500;

/** Forwards a request to a plain service: one upstream at a time, a second one where that is allowed. */
export class PlainRun extends RequestRun {
  private readonly running = new Map<string, Disposable>();
  private readonly tried = new Set<string>();
  private attempts = 0;
  private mayHaveRun = false;
  /** A failure of an upstream, handed on when nothing better comes. */
  private failure: Extract<AttemptOutcome, {kind: 'answered'}> | undefined;

  protected override begin(): void {
    this.attempt('first');
    if (this.isIdempotent && !this.isDone) {
      const target = this.admitted.route.latencyTargetMilliseconds;
      const timer = this.services.clock.setTimer(target * HEDGE_SHARE, () =>
        this.hedge(),
      );
      this.owned.add(timer);
    }
  }

  protected override onTimeOver(): void {
    if (this.mayHaveRun || this.running.size > 0) {
      this.fail(504, 'no answer in time');
    } else {
      this.refuse('timeOver');
    }
  }

  protected override describe(): Readonly<Record<string, unknown>> {
    return {attempts: this.attempts, upstreams: [...this.tried]};
  }

  private get isIdempotent(): boolean {
    return this.admitted.route.kind === 'safe';
  }

  private attempt(cause: string): void {
    const upstream = this.choose();
    if (upstream === undefined) {
      this.giveUp('noUpstream');
      return;
    }
    if (cause !== 'first') {
      this.note('requestRepeated', {cause, upstream: upstream.id});
      this.services.metrics.noteRepeat(cause);
    }
    this.send(upstream);
  }

  private choose(): Upstream | undefined {
    const {directory, load, outcomes, suspicions, random} = this.services;
    const isUsable = (upstream: Upstream): boolean =>
      !upstream.isLeaving &&
      !suspicions.has(upstream.id) &&
      !this.tried.has(upstream.id);
    const answer = choosePlainUpstream({
      upstreams: directory.ofService(this.admitted.service),
      loadOf: id => load.of(id),
      failureShareOf: id => outcomes.failureShare(id),
      isUsable,
      draw: () => random.next(),
    });
    return answer.kind === 'found' ? answer.upstream : undefined;
  }

  private send(upstream: Upstream): void {
    const {connector, load, settings, wire} = this.services;
    this.attempts++;
    this.tried.add(upstream.id);
    load.add(upstream.id, 0);
    const answer = new HeldAnswer(
      wire,
      this.admitted.id,
      settings.heldAnswerBytes,
      outcome => this.onOutcome(upstream, outcome),
    );
    const request = this.upstreamRequest(upstream, {
      path: undefined,
      lastEvent: this.admitted.facts.lastEvent,
      // A late second answer on a kept connection would leave open whether the request ran.
      isAlone: true,
    });
    const exchange = connector.open(upstream, request, answer);
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
    const running = this.running.get(upstream.id);
    this.running.delete(upstream.id);
    if (running !== undefined) {
      this.owned.delete(running);
    }
    if (this.isDone) {
      return;
    }
    switch (outcome.kind) {
      case 'notSent':
        return this.onNotSent(upstream, outcome.detail);
      case 'lost':
        return this.onLost(upstream, outcome.detail);
      case 'answered':
        return outcome.isFramed
          ? this.onAnswered(upstream, outcome)
          : void this.verify(upstream, outcome);
    }
  }

  /** Takes an answer that ended with its connection only if the upstream did not end, too. */
  private async verify(
    upstream: Upstream,
    outcome: Extract<AttemptOutcome, {kind: 'answered'}>,
  ): Promise<void> {
    const isAlive = await this.services.trials.isAlive(upstream);
    if (this.isDone) {
      return;
    }
    if (isAlive) {
      this.onAnswered(upstream, outcome);
    } else {
      this.onLost(upstream, 'it ended with an answer without length');
    }
  }

  private onNotSent(upstream: Upstream, detail: string): void {
    this.services.suspicions.suspect(upstream.id, 'unreachable', {detail});
    this.services.outcomes.note(upstream.id, false);
    this.repeat('unreachable', 'noUpstream', true);
  }

  private onLost(upstream: Upstream, detail: string): void {
    this.mayHaveRun = true;
    this.services.outcomes.note(upstream.id, false);
    void this.services.trials.try(upstream, 'reset', {detail});
    this.note('answerLost', {upstream: upstream.id, detail});
    if (this.isIdempotent) {
      this.repeat('answerLost', 'refused', false);
    } else {
      this.fail(502, 'the answer was lost');
    }
  }

  private onAnswered(
    upstream: Upstream,
    outcome: Extract<AttemptOutcome, {kind: 'answered'}>,
  ): void {
    const {head, facts} = outcome;
    if (facts.isNotRun) {
      this.onNotRun(upstream, facts.isMisdirected);
      return;
    }
    const isGood = head.status < FIRST_SERVER_ERROR;
    this.services.outcomes.note(upstream.id, isGood);
    if (isGood || !this.isIdempotent) {
      this.sendWhole(head, outcome.body);
      return;
    }
    this.mayHaveRun = true;
    this.failure = outcome;
    this.repeat('upstreamFailed', 'refused', false);
  }

  private onNotRun(upstream: Upstream, isMisdirected: boolean): void {
    if (isMisdirected) {
      this.services.suspicions.suspect(upstream.id, 'misdirected', {});
    }
    this.repeat('notRun', 'refused', false);
  }

  /** Starts a second attempt beside a slow first one. */
  private hedge(): void {
    const mayRepeat =
      !this.isDone &&
      this.running.size === 1 &&
      this.attempts < this.admitted.route.attemptLimit &&
      this.choose() !== undefined &&
      this.services.budget.take(this.admitted.service, 'first');
    if (mayRepeat) {
      this.attempt('slow');
    }
  }

  private repeat(
    cause: string,
    reason: NotRunReason,
    /** An attempt that was never sent does not count against the budget. */
    isFree: boolean,
  ): void {
    if (this.running.size > 0) {
      return;
    }
    if (isFree) {
      this.attempts--;
    }
    const {route, service} = this.admitted;
    const mayRepeat =
      this.hasTime &&
      this.attempts < Math.max(route.attemptLimit, 1) &&
      this.choose() !== undefined &&
      (isFree || this.services.budget.take(service, 'first'));
    if (mayRepeat) {
      this.attempt(cause);
    } else {
      this.giveUp(reason);
    }
  }

  private giveUp(reason: NotRunReason): void {
    if (this.running.size > 0) {
      return;
    }
    if (this.failure !== undefined) {
      this.sendWhole(this.failure.head, this.failure.body);
    } else if (this.mayHaveRun) {
      this.fail(502, 'no upstream answered');
    } else {
      this.refuse(reason);
    }
  }
}
