import {Registry} from 'prom-client';

import {Emitter} from '../../../base/common/event.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {SlownessTracker} from '../../fleet/common/slownessTracker.js';
import {EndedUpstreams} from '../../fleet/common/endedUpstreams.js';
import {SuspicionTracker} from '../../fleet/common/suspicionTracker.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {
  UpstreamCallError,
  UpstreamControl,
  UpstreamReport,
} from '../../fleet/common/upstreamControl.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {UpstreamLimitTracker} from '../../fleet/common/upstreamLimitTracker.js';
import {UpstreamAdmission} from '../../fleet/common/upstreamAdmission.js';
import {UpstreamRests} from '../../fleet/common/upstreamRests.js';
import {UpstreamRateLimiter} from '../../fleet/common/upstreamRateLimiter.js';
import {UpstreamLoadTracker} from '../../fleet/common/upstreamLoadTracker.js';
import {
  ConnectionTest,
  ConnectionTester,
} from '../../links/common/connectionTester.js';
import {
  PeerReachability,
  Reachability,
} from '../../links/common/reachability.js';
import {UpstreamLinks} from '../../links/common/upstreamLinks.js';
import {ReachabilityTester} from '../../links/node/reachabilityTester.js';
import {LinkLoad} from '../../paths/common/linkLoad.js';
import {PrefillBacklog} from '../../paths/common/prefillBacklog.js';
import {LossAnnouncer} from '../../crashes/common/lossAnnouncer.js';
import {RequestLosses} from '../../crashes/common/requestLosses.js';
import {CrashDetector} from '../../crashes/common/crashDetector.js';
import {PromptGuard} from '../../crashes/common/promptGuard.js';
import {Path} from '../../paths/common/path.js';
import {
  defaultMechanisms,
  Mechanisms,
} from '../../mechanisms/common/mechanisms.js';
import {ActiveConfiguration} from '../../traffic/common/activeConfiguration.js';
import {TrafficConfiguration} from '../../traffic/common/trafficConfiguration.js';
import {
  ResponseHead,
  CallerExchange,
  CallerRequest,
  RouterResponse,
} from '../common/callerExchange.js';
import {defaultForwardingSettings} from '../common/forwardingSettings.js';
import {OutcomeHistory} from '../common/outcomeHistory.js';
import {InstanceStop} from '../common/instanceStop.js';
import {RetryBudget} from '../common/retryBudget.js';
import {
  ResponseListener,
  UpstreamConnector,
  UpstreamExchange,
  UpstreamRequest,
} from '../common/upstreamExchange.js';
import {
  ResponseMetadata,
  RawHeaders,
  RequestMetadata,
  UpstreamHeaderValues,
  HeaderCodec,
} from '../common/headerCodec.js';
import {ForwardingServices} from '../node/forwardingServices.js';
import {AdmissionConnector} from '../node/admissionConnector.js';
import {RequestHandler} from '../node/requestHandler.js';
import {ResponseEndCheck} from '../node/responseEndCheck.js';
import {RequestMetrics} from '../node/requestMetrics.js';
import {StreamMonitor} from '../node/streamMonitor.js';
import {UpstreamEndCheck} from '../node/upstreamEndCheck.js';
import {UpstreamProber} from '../node/upstreamProber.js';

/** Test harness for forwarding: everything outside it is replaced by fakes that a test controls. */

/** Headers that say how a body is framed, which are not forwarded. */
const FRAMING_HEADERS = new Set([
  'connection',
  'content-length',
  'transfer-encoding',
]);

/** Headers with plain names; the values that the router adds are one header in JSON. */
export class FakeHeaderCodec extends HeaderCodec {
  override readRequest(headers: RawHeaders): RequestMetadata {
    const fields = toFields(headers);
    return {
      id: fields['id'],
      host: fields['host'],
      key: fields['key'],
      deadlineMilliseconds: Number(fields['deadline'] ?? 10_000),
      lastEvent:
        fields['last'] === undefined ? undefined : Number(fields['last']),
      promptTokens: 10,
      answerTokens: 10,
      expectedAnswerTokens: undefined,
      promptParts: fields['parts']?.split(',') ?? [],
    };
  }

  override upstreamHeaders(
    headers: RawHeaders,
    {account, deadlineMilliseconds, lastEvent, path}: UpstreamHeaderValues,
  ): string[] {
    const hops = path?.map(({upstream}) => upstream.id);
    const added = {account, deadlineMilliseconds, lastEvent, hops};
    return [
      'id',
      toFields(headers)['id'] ?? '',
      'added',
      JSON.stringify(added),
    ];
  }

  override readResponse(
    _status: number,
    headers: RawHeaders,
  ): ResponseMetadata {
    const fields = toFields(headers);
    return {
      requestId: fields['id'],
      hasProof: fields['proof'] !== undefined,
      isNotRun: fields['notRun'] !== undefined,
      isMisdirected: fields['misdirected'] !== undefined,
      faultyAddress: fields['faulty'],
      isEncoded: fields['encoded'] !== undefined,
      requestLimit:
        fields['limit'] === undefined ? undefined : Number(fields['limit']),
      isLeaving: fields['leaving'] !== undefined,
      restMilliseconds:
        fields['rest'] === undefined ? undefined : Number(fields['rest']),
    };
  }

  override callerHeaders(headers: RawHeaders): string[] {
    return headers.filter((_, index) => {
      const name = headers[index - (index % 2)]!.toLowerCase();
      return !FRAMING_HEADERS.has(name);
    });
  }
}

function toFields(
  headers: RawHeaders,
): Readonly<Record<string, string | undefined>> {
  const fields: Record<string, string | undefined> = {};
  for (let index = 0; index + 1 < headers.length; index += 2) {
    fields[headers[index]!] = headers[index + 1];
  }
  return fields;
}

/** A sound event of a stream. */
export function eventText(id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`;
}

/** One exchange with an upstream; the test sends the response. */
export class FakeUpstreamExchange extends UpstreamExchange {
  isDisposed = false;
  /** Whether the response has ended. */
  hasResponded = false;

  constructor(
    readonly upstream: Upstream,
    readonly request: UpstreamRequest,
    private readonly listener: ResponseListener,
  ) {
    super();
  }

  /** The values that the router added to the request. */
  get added() {
    const text = toFields(this.request.headers)['added'] ?? '{}';
    return JSON.parse(text) as Readonly<Record<string, unknown>>;
  }

  private get id(): string {
    return toFields(this.request.headers)['id'] ?? '';
  }

  /** Sends a complete response, by default with a proof. */
  respond(
    status = 200,
    extra: readonly string[] = ['proof', 'p'],
    body = 'body',
  ): void {
    this.head(status, extra);
    this.body(body);
    this.end();
  }

  head(status = 200, extra: readonly string[] = ['proof', 'p']): void {
    this.listener.onHead(status, '', ['id', this.id, ...extra]);
  }

  body(text: string): void {
    this.listener.onBody(Buffer.from(text));
  }

  /** Sends the events with identifiers in a range, both ends included. */
  sendEvents(from: number, to: number): void {
    for (let id = from; id <= to; id++) {
      this.body(eventText(id));
    }
  }

  end(isFramed = true): void {
    this.hasResponded = true;
    this.listener.onEnd(isFramed);
  }

  fail(wasSent: boolean): void {
    this.hasResponded = true;
    this.listener.onFailure({wasSent, detail: 'reset'});
  }

  override pause(): void {}
  override resume(): void {}
  override dispose(): void {
    this.isDisposed = true;
  }
}

/** Records all exchanges. */
export class FakeConnector extends UpstreamConnector {
  readonly openedExchanges: FakeUpstreamExchange[] = [];

  override open(
    upstream: Upstream,
    request: UpstreamRequest,
    listener: ResponseListener,
  ): UpstreamExchange {
    const exchange = new FakeUpstreamExchange(upstream, request, listener);
    this.openedExchanges.push(exchange);
    return exchange;
  }

  /** The most recent exchange. */
  get last(): FakeUpstreamExchange {
    const last = this.openedExchanges.at(-1);
    if (last === undefined) {
      throw new Error('nothing was sent');
    }
    return last;
  }
}

/** Upstreams respond to report requests unless they are unreachable. */
export class FakeControl extends UpstreamControl {
  readonly unreachableIds = new Set<string>();
  /** Upstreams that were restarted: another run responds under the same name. */
  readonly restarted = new Set<string>();
  readonly requestedPaths: string[] = [];
  reportCount = 0;
  /** Delay of reports in milliseconds; Infinity if they are never sent. */
  reportDelayMilliseconds = 0;

  constructor(private readonly clock: FakeClock) {
    super();
  }

  moveError: UpstreamCallError | undefined;

  override async report(
    upstream: Upstream,
  ): Promise<Result<UpstreamReport, UpstreamCallError>> {
    this.reportCount++;
    await this.wait();
    if (this.restarted.has(upstream.id)) {
      return failure({kind: 'misdirected'});
    }
    return this.unreachableIds.has(upstream.id)
      ? failure({kind: 'noAnswer', detail: 'unreachable'})
      : success({
          orderCount: 0,
          isBusy: false,
          slowness: 1,
          isLeaving: false,
          layers: upstream.layers,
          stalled: [],
        });
  }

  private async wait(): Promise<void> {
    const milliseconds = this.reportDelayMilliseconds;
    if (milliseconds > 0) {
      await new Promise<void>(resolve => {
        if (Number.isFinite(milliseconds)) {
          this.clock.setTimer(milliseconds, resolve);
        }
      });
    }
  }

  override async place(): Promise<
    Result<{readonly hasBegun: boolean}, UpstreamCallError>
  > {
    return success({hasBegun: true});
  }

  override async repath(
    _upstream: Upstream,
    _requestId: string,
    path: Path,
  ): Promise<Result<void, UpstreamCallError>> {
    this.requestedPaths.push(path.map(({upstream}) => upstream.id).join(','));
    return this.moveError === undefined
      ? success(undefined)
      : failure(this.moveError);
  }
}

/** Addresses accept connections unless a test says otherwise. */
export class FakeConnectionTester extends ConnectionTester {
  readonly refusing = new Set<string>();
  /** Whether the links of this instance to all addresses are lost. */
  isCut = false;

  override async test(address: string): Promise<ConnectionTest> {
    return this.isCut || this.refusing.has(address) ? 'refused' : 'connected';
  }
}

/** Peers find what this instance finds, but for addresses that they reach by links of their own. */
export class FakePeerReachability extends PeerReachability {
  readonly reached = new Set<string>();
  /** What each peer that is asked finds at other addresses that refuse connections. */
  findings: readonly Reachability[] = ['refused', 'refused'];

  constructor(private readonly connections: FakeConnectionTester) {
    super();
  }

  override async askAll(address: string): Promise<readonly Reachability[]> {
    const isRefused =
      this.connections.refusing.has(address) && !this.reached.has(address);
    return isRefused ? this.findings : ['reached'];
  }
}

/** There is no peer to tell. */
class FakeLossAnnouncer extends LossAnnouncer {
  override async announce(): Promise<void> {}
}

/** A caller that records its response. */
export class FakeCaller extends CallerExchange {
  private readonly disconnected = new Emitter<void>();
  override readonly onDidDisconnect = this.disconnected.event;
  override readonly onDidFail = new Emitter<string>().event;
  own: RouterResponse | undefined;
  whole: {head: ResponseHead; body: string} | undefined;
  text = '';
  isEnded = false;
  isAborted = false;
  hasDisconnected = false;
  private begun = false;

  constructor(
    override readonly request: CallerRequest,
    private readonly bodyText = '',
  ) {
    super();
  }

  override get isOver(): boolean {
    return this.isEnded || this.isAborted || this.hasDisconnected;
  }

  override get hasBegun(): boolean {
    return this.begun;
  }

  override async readBody(limitBytes: number): Promise<Uint8Array | undefined> {
    const body = Buffer.from(this.bodyText);
    return body.length > limitBytes ? undefined : body;
  }

  override sendResponse(head: ResponseHead, body: Uint8Array): boolean {
    if (!this.isOver) {
      this.whole = {head, body: Buffer.from(body).toString()};
      this.isEnded = true;
    }
    return true;
  }

  override sendRouterResponse(response: RouterResponse): void {
    if (this.begun) {
      this.abort();
    } else if (!this.isOver) {
      this.own = response;
      this.isEnded = true;
    }
  }

  override sendHead(): void {
    this.begun = true;
  }

  override write(bytes: Uint8Array): boolean {
    this.text += Buffer.from(bytes).toString();
    return true;
  }

  override whenDrained(): void {}

  override end(): void {
    this.isEnded = true;
  }

  override abort(): void {
    this.isAborted = true;
  }

  leave(): void {
    this.hasDisconnected = true;
    this.disconnected.fire();
  }

  /** A short description of what the caller received. */
  get outcome(): string {
    if (this.own !== undefined) {
      return this.own.kind === 'notRun'
        ? 'notRun'
        : `router ${this.own.status}`;
    }
    if (this.whole !== undefined) {
      return `upstream ${this.whole.head.status}`;
    }
    if (this.isAborted) {
      return 'aborted';
    }
    return this.isEnded ? 'stream' : 'open';
  }
}

/** A request handler with fake dependencies. */
export class ForwardingHarness {
  readonly clock = new FakeClock();
  readonly connector = new FakeConnector();
  readonly control = new FakeControl(this.clock);
  readonly connections = new FakeConnectionTester();
  readonly peerLinks = new FakePeerReachability(this.connections);
  readonly configuration: ActiveConfiguration;
  readonly directory: UpstreamDirectory;
  readonly suspicions: SuspicionTracker;
  readonly limits: UpstreamLimitTracker;
  readonly links: UpstreamLinks;
  readonly services: ForwardingServices;
  readonly handler: RequestHandler;
  /** Whether another instance serves callers. */
  isServedElsewhere = true;
  private count = 0;

  constructor(
    configuration: TrafficConfiguration,
    upstreams: readonly Upstream[],
    mechanisms: Partial<Mechanisms> = {},
    /** Sends requests in place of the fake. */
    realConnector?: UpstreamConnector,
  ) {
    const {clock, control} = this;
    const connector = realConnector ?? this.connector;
    const logger = new SilentLogger();
    this.configuration = new ActiveConfiguration(clock, logger, 4000);
    this.configuration.activateIfNewer(configuration);
    this.configuration.confirm(this.configuration.now());
    this.directory = new UpstreamDirectory(clock, logger);
    this.directory.replace(upstreams);
    this.suspicions = new SuspicionTracker(clock, logger);
    const {directory, suspicions} = this;
    const settings = defaultForwardingSettings;
    const slowness = new SlownessTracker(clock, logger);
    const prober = new UpstreamProber(
      clock,
      control,
      directory,
      suspicions,
      slowness,
      settings.trialMilliseconds,
    );
    this.links = new UpstreamLinks(clock, logger);
    this.limits = new UpstreamLimitTracker(clock, logger);
    const random = new SeededRandomSource(1);
    const rateLimiter = new UpstreamRateLimiter(
      clock,
      random,
      this.limits,
      () => ({
        ownName: 'own',
        live: [{name: 'own', dataCentre: 'north'}],
        silentCount: 0,
      }),
    );
    const rests = new UpstreamRests(clock, logger);
    const admission = new UpstreamAdmission(rateLimiter, rests);
    const headerCodec = new FakeHeaderCodec();
    const promptGuard = new PromptGuard(clock, logger, true, () => true);
    const endedUpstreams = new EndedUpstreams(clock, logger, suspicions);
    const crashDetector = new CrashDetector(
      clock,
      directory,
      suspicions,
      promptGuard,
      () => false,
    );
    this.services = {
      settings,
      mechanisms: {...defaultMechanisms, ...mechanisms},
      clock,
      random,
      logger,
      metrics: new RequestMetrics(new Registry()),
      headerCodec,
      connector: new AdmissionConnector(
        connector,
        headerCodec,
        clock,
        directory,
        this.limits,
        rests,
        admission,
        this.links,
      ),
      control,
      configuration: this.configuration,
      directory,
      suspicions,
      endedUpstreams,
      endCheck: new UpstreamEndCheck(
        clock,
        control,
        new ReachabilityTester(
          clock,
          random,
          this.connections,
          directory,
          suspicions,
        ),
        this.peerLinks,
        endedUpstreams,
      ),
      prober,
      responseEndCheck: new ResponseEndCheck(prober, this.links),
      load: new UpstreamLoadTracker(),
      linkLoad: new LinkLoad(clock, () => 1),
      readingBacklog: new PrefillBacklog(
        clock,
        () => 1,
        () => 1,
      ),
      slowness,
      admission,
      budget: new RetryBudget(
        clock,
        {ratio: 0.2, slack: 100, windowMilliseconds: 10_000},
        () => 1,
      ),
      outcomes: new OutcomeHistory(clock),
      promptGuard,
      crashDetector,
      requestLosses: new RequestLosses(
        clock,
        logger,
        endedUpstreams,
        id => crashDetector.hasEnded(id),
        () => false,
      ),
      lossAnnouncer: new FakeLossAnnouncer(),
      stop: new InstanceStop(() => this.isServedElsewhere),
    };
    const monitor = new StreamMonitor(
      clock,
      directory,
      suspicions,
      slowness,
      prober,
      settings.watchPeriodMilliseconds,
      this.services.mechanisms.silenceWatch,
    );
    this.handler = new RequestHandler(this.services, monitor);
  }

  /** Sends a caller's request; resolves once it was dispatched or answered. */
  async send(
    target: string,
    headers: readonly string[] = [],
    body = '',
  ): Promise<FakeCaller> {
    const caller = new FakeCaller(
      {
        method: 'POST',
        target,
        headers: [
          'id',
          `request-${++this.count}`,
          'host',
          'host.example',
          'key',
          'key',
          ...headers,
        ],
        receivedAt: this.clock.monotonicMilliseconds(),
      },
      body,
    );
    void this.handler.handle(caller);
    await this.flushPromises();
    return caller;
  }

  /** Lets pending promises settle. */
  async flushPromises(): Promise<void> {
    for (let turn = 0; turn < 30; turn++) {
      await Promise.resolve();
    }
  }

  /** Advances the clock and lets pending promises settle. */
  async advance(milliseconds: number): Promise<void> {
    await this.clock.advanceAsync(milliseconds);
    await this.flushPromises();
  }
}
