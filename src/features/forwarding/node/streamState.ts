import {CallerExchange} from '../common/callerExchange.js';
import {EventSequence} from '../common/eventSequence.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {Path, RequestSize} from '../../paths/common/path.js';
import {EngineSettings} from '../../traffic/common/trafficConfiguration.js';
import {EntryUpstreams} from './entryUpstreams.js';
import {ForwardingServices} from './forwardingServices.js';
import {PathChooser} from './pathChooser.js';
import {PromptWatch} from './promptWatch.js';
import {AdmittedRequest} from './admittedRequest.js';
import {RequestLossWatch} from './requestLossWatch.js';
import {StreamAttempt, StreamAttemptListener} from './streamAttempt.js';
import {StreamPath} from './streamPath.js';
import {StreamResponse} from './streamResponse.js';
import {StreamRetries} from './streamRetries.js';

/** What the forwarder of a stream knows of its request. */
export interface StreamRequestState {
  /** Whether the request has ended. */
  readonly isDone: boolean;
  /** Whether enough time is left for another attempt. */
  readonly hasTimeForAttempt: boolean;
}

/** State of one stream that its attempts share, and the current attempt. */
export class StreamState {
  readonly sequence: EventSequence;
  readonly response: StreamResponse;
  readonly retries: StreamRetries;
  readonly pathChooser: PathChooser;
  readonly entryUpstreams: EntryUpstreams;
  readonly promptWatch: PromptWatch;
  /** The current path, and the load that it causes. */
  readonly pathLoad: StreamPath;
  private currentAttempt: StreamAttempt | undefined;
  private attemptSentAt = 0;
  private isPossiblyRun = false;

  constructor(
    private readonly services: ForwardingServices,
    private readonly exchange: CallerExchange,
    private readonly admitted: AdmittedRequest,
    engine: EngineSettings,
    readonly lossWatch: RequestLossWatch,
    private readonly readRequestState: () => StreamRequestState,
  ) {
    const {facts, route, service} = admitted;
    const size: RequestSize = {
      promptTokens: facts.promptTokens,
      answerTokens: expectedAnswerLength(admitted, engine),
    };
    this.sequence = new EventSequence(
      facts.lastEvent,
      route.isResumable || facts.lastEvent !== undefined,
    );
    this.response = new StreamResponse(services, exchange);
    this.retries = new StreamRetries(services, admitted, () => this);
    this.pathLoad = new StreamPath(services, engine, size);
    this.pathChooser = new PathChooser(services, service, engine, size);
    this.entryUpstreams = new EntryUpstreams(services, route.attemptLimit);
    this.promptWatch = new PromptWatch(services, admitted, lossWatch);
  }

  /** Whether the request has ended. */
  get isDone(): boolean {
    return this.readRequestState().isDone;
  }

  /** Whether enough time is left for another attempt. */
  get hasTimeForAttempt(): boolean {
    return this.readRequestState().hasTimeForAttempt;
  }

  /** Whether the caller has received events. */
  get hasBegun(): boolean {
    return this.exchange.hasBegun;
  }

  /** Whether an upstream may have begun to execute the request. */
  get mayHaveRun(): boolean {
    return this.isPossiblyRun;
  }

  get path(): Path {
    return this.pathLoad.path;
  }

  /** The upstream to which the request is sent; undefined without a path. */
  get firstUpstream(): Upstream | undefined {
    return this.path[0]?.upstream;
  }

  /** The running attempt; undefined between attempts. */
  get attempt(): StreamAttempt | undefined {
    return this.currentAttempt;
  }

  /** Monotonic milliseconds at which the last attempt was sent. */
  get sentAt(): number {
    return this.attemptSentAt;
  }

  /** Begins an attempt at an upstream; the caller opens it. */
  beginAttempt(
    first: Upstream,
    listener: StreamAttemptListener,
  ): StreamAttempt {
    this.entryUpstreams.add(first);
    this.attemptSentAt = this.services.clock.monotonicMilliseconds();
    const attempt = new StreamAttempt(
      this.services,
      this.admitted.id,
      this.sequence,
      listener,
    );
    this.sequence.beginAttempt(attempt.hold);
    this.currentAttempt = attempt;
    return attempt;
  }

  /** Forgets the attempt, which has ended by itself. */
  endAttempt(): void {
    this.currentAttempt = undefined;
  }

  /** Ends the attempt. */
  abandonAttempt(): void {
    this.currentAttempt?.dispose();
    this.currentAttempt = undefined;
  }

  recordMayHaveRun(): void {
    this.isPossiblyRun = true;
  }

  /** Logs a decision together with the request's identifier. */
  logDecision(
    decision: string,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    this.services.logger.decision(decision, {
      request: this.admitted.id,
      ...fields,
    });
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
