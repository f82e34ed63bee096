import {toDisposable} from '../../../base/common/lifecycle.js';
import {formatPath, Path, upstreamIdsOf} from '../../paths/common/path.js';
import {EngineSettings} from '../../traffic/common/trafficConfiguration.js';
import {CallerExchange, ResponseHead} from '../common/callerExchange.js';
import {StreamEvent} from '../common/eventFramer.js';
import {EventSequence} from '../common/eventSequence.js';
import {NotRunReason} from '../common/retryAfter.js';
import {StreamProgress} from '../common/silentStreams.js';
import {ResponseMetadata} from '../common/headerCodec.js';
import {EntryChoice, EntryUpstreams} from './entryUpstreams.js';
import {ForwardingServices} from './forwardingServices.js';
import {PathChooser} from './pathChooser.js';
import {PathMover} from './pathMover.js';
import {PromptWatch} from './promptWatch.js';
import {suspectRefusingUpstream} from './refusedPath.js';
import {
  AdmittedRequest,
  EarlyEnd,
  RequestForwarder,
} from './requestForwarder.js';
import {StreamAttempt, StreamAttemptListener} from './streamAttempt.js';
import {StreamMonitor, WatchedStream} from './streamMonitor.js';
import {StreamPath} from './streamPath.js';
import {StreamResponse} from './streamResponse.js';
import {StreamRetries} from './streamRetries.js';
import {StreamWait} from './streamWait.js';

/** Forwards a stream along a path of upstreams and continues it elsewhere when the path breaks. */
export class StreamForwarder
  extends RequestForwarder
  implements WatchedStream, StreamAttemptListener
{
  private readonly sequence: EventSequence;
  private readonly pathChooser: PathChooser;
  private readonly streamPath: StreamPath;
  private readonly pathMover: PathMover;
  private readonly response: StreamResponse;
  private readonly retries: StreamRetries;
  private readonly entryUpstreams: EntryUpstreams;
  private readonly promptWatch: PromptWatch;
  private readonly waiting: StreamWait;
  private attempt: StreamAttempt | undefined;
  private sentAt = 0;
  private moveCount = 0;
  private mayHaveRun = false;
  private isMoving = false;

  constructor(
    services: ForwardingServices,
    exchange: CallerExchange,
    admitted: AdmittedRequest,
    private readonly engine: EngineSettings,
    private readonly monitor: StreamMonitor,
  ) {
    super(services, exchange, admitted);
    const {facts, route, service} = admitted;
    const size = {
      promptTokens: facts.promptTokens,
      answerTokens: expectedAnswerLength(admitted, engine),
    };
    this.sequence = new EventSequence(
      facts.lastEvent,
      route.isResumable || facts.lastEvent !== undefined,
    );
    this.response = new StreamResponse(services, exchange);
    this.retries = new StreamRetries(services, admitted, () => ({
      hasBegun: exchange.hasBegun,
      hasTimeForAttempt: this.hasTimeForAttempt,
    }));
    this.streamPath = new StreamPath(services, engine, size);
    this.pathChooser = new PathChooser(services, service, engine, size);
    this.entryUpstreams = new EntryUpstreams(services, route.attemptLimit);
    this.pathMover = new PathMover(services, admitted.id, this.pathChooser);
    this.promptWatch = new PromptWatch(services, admitted);
    this.waiting = new StreamWait(
      services,
      admitted,
      this.response,
      this.owned,
    );
  }

  protected override startFirstAttempt(): void {
    this.owned.add(this.monitor.add(this));
    this.owned.add(toDisposable(() => this.release()));
    this.owned.add(
      this.services.promptGuard.onDidSuspect(() => this.stopIfBlocked()),
    );
    this.startAttempt('first');
  }

  protected override endEarly({status, reason, notRunReason}: EarlyEnd): void {
    if (this.mayHaveRun || this.attempt !== undefined) {
      this.fail(status, reason);
    } else {
      this.refuse(notRunReason);
    }
  }

  protected override logFields(): Readonly<Record<string, unknown>> {
    return {
      attempts: this.retries.count,
      moves: this.moveCount,
      ...this.response.logFields,
      path: formatPath(this.path),
      promptParts: this.admitted.facts.promptParts,
    };
  }

  get progress(): StreamProgress | undefined {
    if (this.attempt === undefined || this.isMoving) {
      return undefined;
    }
    const {lastEventAt, meanGapMilliseconds} = this.response.gaps;
    return {
      requestId: this.admitted.id,
      upstreams: upstreamIdsOf(this.path),
      lastActivityAt: Math.max(this.sentAt, lastEventAt),
      hasBegun: this.attempt.hasEvents,
      meanGapMilliseconds,
      expectedGapMilliseconds: this.streamPath.expectedGapMilliseconds,
    };
  }

  leave(upstream: string): void {
    if (this.isDone || this.isMoving || this.attempt === undefined) {
      return;
    }
    const isFirst = this.path[0]?.upstream.id === upstream;
    const {movedStreams} = this.services.mechanisms;
    if (isFirst) {
      this.promptWatch.recordLoss(upstream, this.attempt, false);
    }
    if (isFirst || !movedStreams || !this.attempt.hasEvents) {
      this.restart('upstreamLost');
    } else {
      void this.move(upstream, true);
    }
  }

  onUpstreamDegraded(upstream: string): void {
    const isFirst = this.path[0]?.upstream.id === upstream;
    // The end of the first upstream shows on the connection at once; moving off it early would not be
    // faster.
    const canMove = !isFirst && !this.isMoving && this.attempt?.hasEvents;
    const {movedStreams} = this.services.mechanisms;
    if (movedStreams && canMove && !this.isDone) {
      void this.move(upstream, false);
    }
  }

  onSilence(milliseconds: number): void {
    const {giveUpSilenceMilliseconds} = this.services.settings;
    if (milliseconds > giveUpSilenceMilliseconds) {
      this.restart('silence');
    }
  }

  private get path(): Path {
    return this.streamPath.path;
  }

  private startAttempt(cause: string): void {
    const obstacle = this.promptWatch.findObstacle();
    if (obstacle !== undefined) {
      this.giveUp(obstacle);
      return;
    }
    const choice = this.entryUpstreams.choosePath(this.pathChooser);
    if (choice.kind !== 'found') {
      this.onNoPath(cause, choice);
      return;
    }
    this.retries.recordAttempt();
    this.streamPath.startOn(choice.path);
    this.logDecision('pathChosen', {
      cause,
      path: formatPath(choice.path),
      predicted: Math.round(choice.predictedCost),
      listAge: Math.round(this.services.directory.age),
      lastEvent: this.sequence.lastEvent,
      sentBefore: this.entryUpstreams.history,
    });
    this.send();
  }

  private onNoPath(
    cause: string,
    choice: Exclude<EntryChoice, {kind: 'found'}>,
  ): void {
    if (choice.kind === 'attemptsUsed') {
      void this.entryUpstreams.seekProofs();
    }
    const decision = this.waiting.decide(cause, choice, {
      hasBegun: this.exchange.hasBegun,
      mayHaveRun: this.mayHaveRun,
      hasTimeForAttempt: this.hasTimeForAttempt,
    });
    if (decision.kind === 'giveUp') {
      this.giveUp(decision.reason, decision.causeEndsInMilliseconds);
    } else {
      this.waiting.schedule(() => this.startAttempt(cause));
    }
  }

  private send(): void {
    const [first] = this.path;
    if (first === undefined) {
      this.giveUp('noLayers');
      return;
    }
    this.entryUpstreams.add(first.upstream);
    this.sequence.beginAttempt();
    this.sentAt = this.now;
    const {id} = this.admitted;
    this.attempt = new StreamAttempt(this.services, id, this.sequence, this);
    const hasPath = this.engine.layers !== undefined;
    this.attempt.open(
      first.upstream,
      this.createUpstreamRequest(first.upstream, {
        path: hasPath ? this.path : undefined,
        lastEvent: this.sequence.lastEvent,
        isAlone: false,
      }),
    );
  }

  onStreamHead(head: ResponseHead): void {
    this.response.recordHead(head);
  }

  onEvents(events: readonly StreamEvent[]): void {
    if (this.isDone || !this.response.hasHead) {
      return;
    }
    this.mayHaveRun = true;
    const isKeepingUp = this.response.write(events);
    this.sequence.recordDelivered(events);
    if (this.attempt !== undefined) {
      this.promptWatch.recordEvents(this.attempt);
    }
    if (!isKeepingUp) {
      const {attempt} = this;
      attempt?.pause();
      this.exchange.whenDrained(() => attempt?.resume());
    }
  }

  onStreamEnd(): void {
    if (this.isDone) {
      return;
    }
    this.response.end();
    this.promptWatch.recordSound();
    this.finish('answered', {status: this.response.status});
  }

  onErrorResponse(
    head: ResponseHead,
    facts: ResponseMetadata,
    body: Uint8Array,
  ): void {
    this.attempt = undefined;
    if (this.isDone) {
      return;
    }
    if (facts.isNotRun) {
      this.onNotRun(facts);
      return;
    }
    this.mayHaveRun = true;
    this.logDecision('upstreamFailed', {status: head.status});
    if (this.retries.canResend && this.retries.tryTake()) {
      this.retry('upstreamFailed');
    } else if (this.exchange.hasBegun) {
      this.fail(502, 'the upstream failed midway');
    } else {
      this.forwardResponse(head, body);
    }
  }

  onLost(detail: string, wasSent: boolean): void {
    const {attempt} = this;
    const writing = attempt?.writingMilliseconds;
    this.attempt = undefined;
    if (this.isDone) {
      return;
    }
    const upstream = this.path[0]?.upstream;
    this.logDecision('answerLost', {
      upstream: upstream?.id,
      detail,
      wasSent,
      writing: writing === undefined ? null : Math.round(writing),
      lastEvent: this.sequence.lastEvent,
      promptParts: this.admitted.facts.promptParts,
    });
    if (!wasSent && upstream !== undefined) {
      this.entryUpstreams.takeBackLast();
      this.services.suspicions.suspect(upstream.id, 'unreachable', {detail});
      this.startAttempt('unreachable');
      return;
    }
    this.mayHaveRun = true;
    if (upstream !== undefined) {
      this.entryUpstreams.recordBrokenOff(upstream);
      this.promptWatch.recordLoss(upstream.id, attempt, true);
    }
    const probe =
      upstream && this.services.prober.probe(upstream, 'reset', {detail});
    if (!this.retries.canResend) {
      this.fail(502, 'answerLost');
    } else if (this.promptWatch.isLastLoss) {
      // Whether the request may be sent again depends on whether its upstreams have ended.
      void Promise.all([probe, this.entryUpstreams.seekProofs()]).then(() =>
        this.repeatAfterLoss(),
      );
    } else {
      this.repeatAfterLoss();
    }
  }

  private repeatAfterLoss(): void {
    this.retryOrWait('answerLost', () => this.fail(502, 'answerLost'));
  }

  /** Ends an attempt that no upstream has begun to write once its prompt is known to make upstreams crash. */
  private stopIfBlocked(): void {
    const hasBegun = this.attempt?.hasEvents || this.exchange.hasBegun;
    if (this.attempt !== undefined && !hasBegun && this.promptWatch.isBlocked) {
      this.fail(502, 'endsUpstreams');
    }
  }

  private onNotRun(facts: ResponseMetadata): void {
    const {id} = this.admitted;
    const faulty = suspectRefusingUpstream(this.services, id, this.path, facts);
    this.logDecision('refusedByUpstream', {
      faulty: faulty?.id,
      misdirected: facts.isMisdirected,
      rest: facts.restMilliseconds ?? null,
    });
    this.retryOrWait('notRun', () => this.giveUp('refused'));
  }

  /** Without budget for a retry, a stream that has begun waits until the budget allows one; others end. */
  private retryOrWait(cause: string, onExhausted: () => void): void {
    if (this.isDone) {
      return;
    }
    if (this.retries.tryTake()) {
      this.retry(cause);
      return;
    }
    if (!this.exchange.hasBegun || this.retries.isExhausted) {
      onExhausted();
      return;
    }
    this.logNotRestarted(cause);
    this.waiting.schedule(() => this.retryOrWait(cause, onExhausted));
  }

  /**
   * Moves the running stream off upstreams so that the others keep its KV cache.
   * @param isUrgent whether the stream can't continue on its current path
   */
  private async move(excluded: string, isUrgent: boolean): Promise<void> {
    const move = this.pathMover.findMove(this.path, excluded);
    if (move === undefined || move.addsCrossings) {
      const hasRestarted = isUrgent && this.restart('upstreamLost');
      if (hasRestarted || !isUrgent || move === undefined) {
        return;
      }
    }
    const {events} = this.response.gaps;
    this.isMoving = true;
    this.moveCount++;
    const isMoved = await this.pathMover.order(move);
    this.isMoving = false;
    if (this.isDone || this.attempt === undefined) {
      return;
    }
    if (isMoved) {
      this.services.metrics.recordRetry('moved');
      this.streamPath.moveTo(move.path);
    } else if (this.response.gaps.events === events) {
      this.restart('notMoved');
    }
  }

  /**
   * Abandons the running attempt and starts another if that is allowed; returns whether it did. An attempt that could
   * start nowhere else goes on, since its upstream may only pause.
   */
  private restart(cause: string): boolean {
    if (!this.retries.canResend) {
      return false;
    }
    const current = this.path[0]?.upstream.id;
    const isCurrentSuspect =
      current !== undefined && this.services.suspicions.isSuspect(current);
    const excluded = isCurrentSuspect ? current : undefined;
    if (!this.entryUpstreams.hasStartOtherThan(excluded)) {
      void this.entryUpstreams.seekProofs();
      this.logNotRestarted(cause);
      return false;
    }
    if (!this.retries.tryTake()) {
      this.logNotRestarted(cause);
      return false;
    }
    this.attempt?.dispose();
    this.attempt = undefined;
    this.mayHaveRun = true;
    this.retry(cause);
    return true;
  }

  private logNotRestarted(cause: string): void {
    const {history} = this.entryUpstreams;
    this.waiting.logNotRestarted(cause, this.retries.count, history);
  }

  private retry(cause: string): void {
    this.services.metrics.recordRetry(cause);
    this.startAttempt(cause);
  }

  private giveUp(reason: NotRunReason, causeEndsInMilliseconds = 0): void {
    if (this.mayHaveRun || this.exchange.hasBegun) {
      this.fail(502, reason);
    } else {
      this.refuse(reason, causeEndsInMilliseconds);
    }
  }

  private release(): void {
    this.attempt?.dispose();
    this.attempt = undefined;
    this.streamPath.release();
  }
}

/** Estimated tokens of the answer: the caller's estimate or else the usual length, limited to the maximum. */
function expectedAnswerLength(
  {facts}: AdmittedRequest,
  engine: EngineSettings,
): number {
  const expected = facts.expectedAnswerTokens ?? engine.usualAnswerTokens;
  const most = facts.answerTokens > 0 ? facts.answerTokens : expected;
  return Math.min(expected, most);
}
