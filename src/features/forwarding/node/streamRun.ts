import {toDisposable} from '../../../base/common/lifecycle.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {
  crossingsOf,
  formatPath,
  tokensOf,
  Path,
  upstreamIdsOf,
} from '../../paths/common/path.js';
import {tokenMilliseconds} from '../../paths/common/pathCost.js';
import {EngineSettings} from '../../traffic/common/trafficConfiguration.js';
import {AnswerHead, CallerExchange} from '../common/callerExchange.js';
import {EventSequence} from '../common/eventSequence.js';
import {PauseMeter} from '../common/pauseMeter.js';
import {NotRunReason} from '../common/retryAfter.js';
import {lookAgainAfter, roomPatience} from '../common/roomPatience.js';
import {StreamProgress} from '../common/silence.js';
import {AnswerFacts} from '../common/wire.js';
import {FirstUpstreams} from './firstUpstreams.js';
import {ForwardingServices} from './forwardingServices.js';
import {HeldPath} from './heldPath.js';
import {PathChooser} from './pathChooser.js';
import {PathMover} from './pathMover.js';
import {AdmittedRequest, RequestRun} from './requestRun.js';
import {StreamAttempt, StreamAttemptEvents} from './streamAttempt.js';
import {StreamWatch, WatchedStream} from './streamWatch.js';

/** Attempts beyond this are not made whatever the budget says: a stream that broke so often is unlucky or harmful. */
const ATTEMPT_LIMIT = 10;

/** Forwards a stream along a path of upstreams, and carries it on elsewhere when the path breaks. */
export class StreamRun
  extends RequestRun
  implements WatchedStream, StreamAttemptEvents
{
  private readonly sequence: EventSequence;
  private readonly chooser: PathChooser;
  private readonly held: HeldPath;
  private readonly mover: PathMover;
  private readonly pauses: PauseMeter;
  private readonly firsts: FirstUpstreams;
  private attempt: StreamAttempt | undefined;
  private head: AnswerHead | undefined;
  private sentAt = 0;
  private firstAfter = 0;
  private attempts = 0;
  private moves = 0;
  private mayHaveRun = false;
  private isMoving = false;
  private hasNotedWait = false;
  private hasNotedNoRestart = false;
  private expectedGap = 0;

  constructor(
    services: ForwardingServices,
    exchange: CallerExchange,
    admitted: AdmittedRequest,
    private readonly engine: EngineSettings,
    private readonly watch: StreamWatch,
  ) {
    super(services, exchange, admitted);
    const {facts, service} = admitted;
    const size = {
      promptTokens: facts.promptTokens,
      answerTokens: expectedAnswer(admitted, engine),
    };
    this.sequence = new EventSequence(facts.lastEvent);
    this.pauses = new PauseMeter(exchange.request.receivedAt);
    this.held = new HeldPath(services.load, size);
    this.chooser = new PathChooser(services, service, engine, size);
    this.firsts = new FirstUpstreams(services, admitted.route.attemptLimit);
    this.mover = new PathMover(services, admitted.id, this.chooser);
  }

  protected override begin(): void {
    this.owned.add(this.watch.add(this));
    this.owned.add(toDisposable(() => this.drop()));
    this.start('first');
  }

  protected override onTimeOver(): void {
    if (this.mayHaveRun || this.attempt !== undefined) {
      this.fail(504, 'no whole answer in time');
    } else {
      this.refuse('timeOver');
    }
  }

  protected override describe(): Readonly<Record<string, unknown>> {
    return {
      attempts: this.attempts,
      moves: this.moves,
      events: this.pauses.events,
      first: Math.round(this.firstAfter),
      longestPause: Math.round(this.pauses.longestPause),
      path: formatPath(this.path),
    };
  }

  get progress(): StreamProgress | undefined {
    if (this.attempt === undefined || this.isMoving) {
      return undefined;
    }
    return {
      requestId: this.admitted.id,
      upstreams: upstreamIdsOf(this.path),
      lastProgressAt: Math.max(this.sentAt, this.pauses.lastProgressAt),
      hasBegun: this.attempt.hasEvents,
      usualGapMilliseconds: this.pauses.usualGap,
      expectedGapMilliseconds: this.expectedGap,
    };
  }

  leave(upstream: string): void {
    if (this.isDone || this.isMoving || this.attempt === undefined) {
      return;
    }
    const isFirst = this.path[0]?.upstream.id === upstream;
    const {movedStreams} = this.services.mechanisms;
    if (isFirst || !movedStreams || !this.attempt.hasEvents) {
      this.restart('upstreamLost');
    } else {
      void this.move(upstream, true);
    }
  }

  leaveInTime(upstream: string): void {
    const isFirst = this.path[0]?.upstream.id === upstream;
    // The end of its first upstream shows at once on the connection; moving off it would not be faster.
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
    return this.held.path;
  }

  /** Whether the request may be sent again although it was sent before. */
  private get canRepeat(): boolean {
    const {route} = this.admitted;
    return route.isResumable && this.sequence.canResume;
  }

  private start(cause: string): void {
    const answer = this.firsts.choose(this.chooser);
    if (answer.kind !== 'found') {
      const reason = answer.kind === 'noRoom' ? 'noRoom' : this.missingReason();
      this.waitOrGiveUp(cause, reason);
      return;
    }
    this.attempts++;
    this.take(answer.path);
    this.note('pathChosen', {
      cause,
      path: formatPath(answer.path),
      predicted: Math.round(answer.predicted),
      listAge: Math.round(this.services.directory.age),
      lastEvent: this.sequence.lastEvent,
    });
    this.send();
  }

  /** Looks for a path again a little later, as long as that may still serve the caller. */
  private waitOrGiveUp(cause: string, reason: NotRunReason): void {
    const silentMilliseconds = this.pauses.silence(this.now);
    const patience = roomPatience({
      hasBegun: this.exchange.hasBegun,
      mayHaveRun: this.mayHaveRun,
      silentMilliseconds,
      latencyTargetMilliseconds: this.admitted.route.latencyTargetMilliseconds,
    });
    if (patience === 0 || !this.hasTime) {
      this.giveUp(reason);
      return;
    }
    if (!this.hasNotedWait) {
      this.hasNotedWait = true;
      this.note('waitingForPath', {cause, reason, patience});
    }
    this.later(() => this.start(cause));
  }

  /** @param kept upstreams that have read the prompt already */
  private take(path: Path, kept: ReadonlySet<string> = new Set()): void {
    const {promptTokens} = this.held.size;
    this.services.readingBacklog.note(this.engine, path, promptTokens, kept);
    this.held.take(path);
    const activations = this.engine.layers?.activationBytes ?? 0;
    const tokens = tokensOf(this.held.size);
    this.services.linkLoad.note(crossingsOf(path) * tokens * activations);
    this.expectedGap =
      this.engine.tokensPerEvent * tokenMilliseconds(this.engine, path);
  }

  private missingReason(): NotRunReason {
    const {directory} = this.services;
    const listed = directory.ofService(this.admitted.service);
    return listed.length === 0 ? 'noUpstream' : 'noLayers';
  }

  private send(): void {
    const [first] = this.path;
    if (first === undefined) {
      this.giveUp('noLayers');
      return;
    }
    this.firsts.add(first.upstream.id);
    this.sequence.beginRun();
    this.sentAt = this.now;
    const {id} = this.admitted;
    this.attempt = new StreamAttempt(this.services, id, this.sequence, this);
    const hasPath = this.engine.layers !== undefined;
    this.attempt.open(
      first.upstream,
      this.upstreamRequest(first.upstream, {
        path: hasPath ? this.path : undefined,
        lastEvent: this.sequence.lastEvent,
        isAlone: false,
      }),
    );
  }

  onStreamHead(head: AnswerHead): void {
    // An answer keeps the head of the run that its first event came from.
    if (!this.exchange.hasBegun) {
      this.head = head;
    }
  }

  onEvents(bytes: Uint8Array, count: number): void {
    if (this.isDone || this.head === undefined) {
      return;
    }
    if (!this.exchange.hasBegun) {
      this.exchange.begin(this.head);
      this.firstAfter = this.elapsed;
      this.services.metrics.noteFirst('stream', this.firstAfter);
    }
    this.pauses.noteEvents(this.now, count);
    this.mayHaveRun = true;
    if (!this.exchange.write(bytes)) {
      const {attempt} = this;
      attempt?.pause();
      this.exchange.whenDrained(() => attempt?.resume());
    }
  }

  onStreamEnd(): void {
    if (this.isDone) {
      return;
    }
    if (this.head !== undefined && !this.exchange.hasBegun) {
      this.exchange.begin(this.head);
    }
    this.exchange.end();
    this.services.metrics.notePause(this.pauses.longestPause);
    this.finish('answered', {status: this.head?.status});
  }

  onOtherAnswer(head: AnswerHead, facts: AnswerFacts, body: Uint8Array): void {
    this.attempt = undefined;
    if (this.isDone) {
      return;
    }
    if (facts.isNotRun) {
      this.onNotRun(facts);
      return;
    }
    this.mayHaveRun = true;
    this.note('upstreamFailed', {status: head.status});
    if (this.canRepeat && this.mayRepeat()) {
      this.repeat('upstreamFailed');
    } else if (this.exchange.hasBegun) {
      this.fail(502, 'the upstream failed midway');
    } else {
      this.sendWhole(head, body);
    }
  }

  onLost(detail: string, wasSent: boolean): void {
    this.attempt = undefined;
    if (this.isDone) {
      return;
    }
    const upstream = this.path[0]?.upstream;
    this.note('answerLost', {upstream: upstream?.id, detail, wasSent});
    if (!wasSent && upstream !== undefined) {
      this.services.suspicions.suspect(upstream.id, 'unreachable', {detail});
      this.start('unreachable');
      return;
    }
    if (upstream !== undefined) {
      void this.services.trials.try(upstream, 'reset', {detail});
    }
    this.mayHaveRun = true;
    if (this.canRepeat) {
      this.repeatOrWait('answerLost', () => this.fail(502, 'answerLost'));
    } else {
      this.fail(502, 'answerLost');
    }
  }

  private onNotRun(facts: AnswerFacts): void {
    const faulty = this.findFaulty(facts.faultyAddress);
    this.note('refusedByUpstream', {
      faulty: faulty?.id,
      misdirected: facts.isMisdirected,
    });
    if (faulty !== undefined) {
      this.suspectRefusing(faulty, facts.isMisdirected);
    }
    this.repeatOrWait('notRun', () => this.giveUp('refused'));
  }

  /** A refusal names full and leaving upstreams, but dead ones, too: only a call to it tells them apart. */
  private suspectRefusing(faulty: Upstream, isMisdirected: boolean): void {
    const {suspicions, trials} = this.services;
    const evidence = {request: this.admitted.id};
    const reason = isMisdirected ? 'misdirected' : 'refusing';
    const isNews = suspicions.suspect(faulty.id, reason, evidence);
    if (isNews && !isMisdirected && !trials.hasJustAnswered(faulty.id)) {
      void trials.try(faulty, 'silent', evidence);
    }
  }

  /** A stream that has begun waits for a repeat when none is left; others end. */
  private repeatOrWait(cause: string, onNone: () => void): void {
    if (this.isDone) {
      return;
    }
    if (this.mayRepeat()) {
      this.repeat(cause);
      return;
    }
    const isOver = !this.hasTime || this.attempts >= ATTEMPT_LIMIT;
    if (!this.exchange.hasBegun || isOver) {
      onNone();
      return;
    }
    this.noteNotRestarted(cause);
    this.later(() => this.repeatOrWait(cause, onNone));
  }

  /** Calls back after a while that grows with the silence of the stream. */
  private later(callback: () => void): void {
    const wait = lookAgainAfter(this.pauses.silence(this.now));
    const timer = this.services.clock.setTimer(wait, () => {
      this.owned.delete(timer);
      callback();
    });
    this.owned.add(timer);
  }

  /**
   * The upstream of the path that a refusal is due to. Looked up in the path and not in the list: the
   * address may belong to another one by now.
   */
  private findFaulty(address: string | undefined): Upstream | undefined {
    const part =
      address === undefined
        ? this.path[0]
        : this.path.find(({upstream}) => upstream.address === address);
    return part?.upstream;
  }

  /**
   * Moves the running stream off upstreams, so that the others keep what they have read.
   * @param isUrgent whether the stream can't go on where it is
   */
  private async move(left: string, isUrgent: boolean): Promise<void> {
    const move = this.mover.find(this.path, left);
    if (move === undefined || move.crossesMore) {
      const isGone = isUrgent && this.restart('upstreamLost');
      if (isGone || !isUrgent || move === undefined) {
        return;
      }
    }
    const {events} = this.pauses;
    this.isMoving = true;
    this.moves++;
    const isMoved = await this.mover.order(move);
    this.isMoving = false;
    if (this.isDone || this.attempt === undefined) {
      return;
    }
    if (isMoved) {
      this.services.metrics.noteRepeat('moved');
      this.take(move.path, new Set(upstreamIdsOf(this.path)));
    } else if (this.pauses.events === events) {
      this.restart('notMoved');
    }
  }

  /** Gives the running attempt up and begins another where that is allowed; answers whether it did. */
  private restart(cause: string): boolean {
    if (!this.canRepeat) {
      return false;
    }
    if (!this.mayRepeat()) {
      this.noteNotRestarted(cause);
      return false;
    }
    this.attempt?.dispose();
    this.attempt = undefined;
    this.mayHaveRun = true;
    this.repeat(cause);
    return true;
  }

  /** Said once: a silent stream asks again and again. */
  private noteNotRestarted(cause: string): void {
    if (!this.hasNotedNoRestart) {
      this.hasNotedNoRestart = true;
      this.note('notRestarted', {cause, attempts: this.attempts});
    }
  }

  private mayRepeat(): boolean {
    const {service} = this.admitted;
    return (
      this.hasTime &&
      this.attempts < ATTEMPT_LIMIT &&
      this.services.budget.take(
        service,
        this.exchange.hasBegun ? 'begun' : 'first',
      )
    );
  }

  private repeat(cause: string): void {
    this.services.metrics.noteRepeat(cause);
    this.start(cause);
  }

  private giveUp(reason: NotRunReason): void {
    if (this.mayHaveRun || this.exchange.hasBegun) {
      this.fail(502, reason);
    } else {
      this.refuse(reason);
    }
  }

  private drop(): void {
    this.attempt?.dispose();
    this.attempt = undefined;
    this.held.take([]);
  }
}

/** Tokens that the answer will probably have: what the caller expects, else the usual length, never more than the most. */
function expectedAnswer(
  {facts}: AdmittedRequest,
  engine: EngineSettings,
): number {
  const expected = facts.expectedAnswerTokens ?? engine.usualAnswerTokens;
  const most = facts.answerTokens > 0 ? facts.answerTokens : expected;
  return Math.min(expected, most);
}
