import {toDisposable} from '../../../base/common/lifecycle.js';
import {formatPath} from '../../paths/common/path.js';
import {EngineSettings} from '../../traffic/common/trafficConfiguration.js';
import {CallerExchange, ResponseHead} from '../common/callerExchange.js';
import {StreamEvent} from '../common/eventFramer.js';
import {NotRunReason} from '../common/retryAfter.js';
import {ResponseMetadata} from '../common/headerCodec.js';
import {ForwardingServices} from './forwardingServices.js';
import {AdmittedRequest} from './admittedRequest.js';
import {EarlyEnd, RequestForwarder} from './requestForwarder.js';
import {LostAttempt, StreamAttemptListener} from './streamAttempt.js';
import {StreamMonitor} from './streamMonitor.js';
import {StreamMover} from './streamMover.js';
import {StreamActions, StreamRecovery} from './streamRecovery.js';
import {StreamRequestState, StreamState} from './streamState.js';
import {StreamWait} from './streamWait.js';

/** Forwards a stream along a path of upstreams and continues it elsewhere when the path breaks. */
export class StreamForwarder
  extends RequestForwarder
  implements StreamAttemptListener
{
  private readonly state: StreamState;
  private readonly recovery: StreamRecovery;
  private readonly mover: StreamMover;

  constructor(
    services: ForwardingServices,
    exchange: CallerExchange,
    admitted: AdmittedRequest,
    private readonly engine: EngineSettings,
    private readonly monitor: StreamMonitor,
  ) {
    super(services, exchange, admitted);
    const guarded = this.services;
    this.state = new StreamState(
      guarded,
      exchange,
      admitted,
      engine,
      this.lossWatch,
      () => this.readState(),
    );
    this.recovery = new StreamRecovery(
      guarded,
      admitted,
      this.state,
      new StreamWait(guarded, admitted, this.state.response, this.owned),
      this.createActions(),
    );
    this.mover = new StreamMover(guarded, admitted, this.state, this.recovery);
  }

  protected override startFirstAttempt(): void {
    this.owned.add(this.monitor.add(this.mover));
    this.owned.add(toDisposable(() => this.release()));
    this.owned.add(
      this.services.promptGuard.onDidSuspect(() => this.stopIfBlocked()),
    );
    this.owned.add(
      this.services.requestLosses.onDidLearn(() => this.stopIfBlocked()),
    );
    this.startAttempt('first');
  }

  protected override endEarly({status, reason, notRunReason}: EarlyEnd): void {
    if (this.state.mayHaveRun || this.state.attempt !== undefined) {
      this.fail(status, reason);
    } else {
      this.refuse(notRunReason);
    }
  }

  protected override logFields(): Readonly<Record<string, unknown>> {
    const {path, response, retries} = this.state;
    return {
      attempts: retries.count,
      moves: this.mover.moveCount,
      ...response.logFields,
      path: formatPath(path),
      promptParts: this.admitted.facts.promptParts,
    };
  }

  onStreamHead(head: ResponseHead): void {
    this.state.response.recordHead(head);
  }

  onEvents(events: readonly StreamEvent[]): void {
    const {promptWatch, response, sequence} = this.state;
    if (this.isDone || !response.hasHead) {
      return;
    }
    this.state.recordMayHaveRun();
    const isKeepingUp = response.write(events);
    sequence.recordDelivered(events);
    const {attempt} = this.state;
    if (attempt !== undefined) {
      promptWatch.recordEvents(attempt);
    }
    if (!isKeepingUp) {
      this.pauseUntilDrained();
    }
  }

  onStreamEnd(): void {
    if (this.isDone) {
      return;
    }
    const {promptWatch, response} = this.state;
    response.end();
    promptWatch.recordAnswered();
    this.finish('answered', {status: response.status});
  }

  onErrorResponse(
    head: ResponseHead,
    facts: ResponseMetadata,
    body: Uint8Array,
  ): void {
    this.recovery.onErrorResponse(head, facts, body);
  }

  onLost(lost: LostAttempt): void {
    this.recovery.onLost(lost);
  }

  private startAttempt(cause: string): void {
    const {entryUpstreams, pathChooser, pathLoad, promptWatch, retries} =
      this.state;
    if (this.mayBeCutOff && !this.state.mayHaveRun) {
      this.refuse('stopping');
      return;
    }
    const obstacle = promptWatch.findObstacle();
    if (obstacle !== undefined) {
      this.giveUp(obstacle);
      return;
    }
    const choice = entryUpstreams.choosePath(pathChooser);
    if (choice.kind !== 'found') {
      this.recovery.onNoPath(cause, choice);
      return;
    }
    retries.recordAttempt();
    pathLoad.startOn(choice.path);
    this.logDecision('pathChosen', {
      cause,
      path: formatPath(choice.path),
      predicted: Math.round(choice.predictedCost),
      listAge: Math.round(this.services.directory.age),
      lastEvent: this.state.sequence.lastEvent,
      sentBefore: entryUpstreams.history,
      lostBefore: promptWatch.history,
      endedUnderRequest: this.lossWatch.endedUpstreams.length,
    });
    this.send();
  }

  private send(): void {
    const {firstUpstream, path, sequence} = this.state;
    if (firstUpstream === undefined) {
      this.giveUp('noLayers');
      return;
    }
    const attempt = this.state.beginAttempt(firstUpstream, this);
    const hasPath = this.engine.layers !== undefined;
    attempt.open(
      firstUpstream,
      this.createUpstreamRequest(firstUpstream, {
        path: hasPath ? path : undefined,
        lastEvent: sequence.lastEvent,
        isAlone: false,
      }),
    );
  }

  /** Reads no further events from the upstream while the caller reads more slowly than they arrive. */
  private pauseUntilDrained(): void {
    const {attempt} = this.state;
    attempt?.pause();
    this.exchange.whenDrained(() => attempt?.resume());
  }

  /** Ends an attempt that no upstream has begun to write once its prompt is known to make upstreams crash. */
  private stopIfBlocked(): void {
    const {attempt, promptWatch} = this.state;
    const hasBegun = attempt?.hasEvents || this.exchange.hasBegun;
    if (attempt !== undefined && !hasBegun && promptWatch.isBlocked) {
      this.fail(502, 'endsUpstreams');
    }
  }

  private giveUp(reason: NotRunReason, causeEndsInMilliseconds = 0): void {
    if (this.state.mayHaveRun || this.exchange.hasBegun) {
      this.fail(502, reason);
    } else {
      this.refuse(reason, causeEndsInMilliseconds);
    }
  }

  private release(): void {
    this.state.abandonAttempt();
    this.state.pathLoad.release();
  }

  private readState(): StreamRequestState {
    const {isDone, hasTimeForAttempt} = this;
    return {isDone, hasTimeForAttempt};
  }

  private createActions(): StreamActions {
    return {
      startAttempt: cause => this.startAttempt(cause),
      giveUp: (reason, endsIn) => this.giveUp(reason, endsIn),
      fail: (status, reason) => this.fail(status, reason),
      forwardResponse: (head, body) => this.forwardResponse(head, body),
    };
  }
}
