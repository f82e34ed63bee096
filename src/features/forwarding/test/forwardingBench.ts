import {Registry} from 'prom-client';

import {Emitter} from '../../../base/common/event.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {Slowness} from '../../fleet/common/slowness.js';
import {Suspicions} from '../../fleet/common/suspicions.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {
  UpstreamCallError,
  UpstreamControl,
  UpstreamReport,
} from '../../fleet/common/upstreamControl.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {UpstreamLoad} from '../../fleet/common/upstreamLoad.js';
import {LinkLoad} from '../../paths/common/linkLoad.js';
import {ReadingBacklog} from '../../paths/common/readingBacklog.js';
import {Path} from '../../paths/common/path.js';
import {allMechanisms, Mechanisms} from '../../mechanisms/common/mechanisms.js';
import {ConfigurationKeeper} from '../../traffic/common/configurationKeeper.js';
import {TrafficConfiguration} from '../../traffic/common/trafficConfiguration.js';
import {
  AnswerHead,
  CallerExchange,
  CallerRequest,
  RouterAnswer,
} from '../common/callerExchange.js';
import {defaultForwardingSettings} from '../common/forwardingSettings.js';
import {OutcomeHistory} from '../common/outcomeHistory.js';
import {RetryBudget} from '../common/retryBudget.js';
import {
  AnswerListener,
  UpstreamConnector,
  UpstreamExchange,
  UpstreamRequest,
} from '../common/upstreamExchange.js';
import {
  AnswerFacts,
  RawHeaders,
  RequestFacts,
  UpstreamAdditions,
  Wire,
} from '../common/wire.js';
import {ForwardingServices} from '../node/forwardingServices.js';
import {RequestHandler} from '../node/requestHandler.js';
import {RequestMetrics} from '../node/requestMetrics.js';
import {StreamWatch} from '../node/streamWatch.js';
import {UpstreamTrials} from '../node/upstreamTrials.js';

/** Forwarding with everything outside it replaced by fakes that a test drives. */

/** Headers with plain names; what is added stands in them as JSON. */
export class FakeWire extends Wire {
  override readRequest(headers: RawHeaders): RequestFacts {
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
    };
  }

  override upstreamHeaders(
    headers: RawHeaders,
    {account, deadlineMilliseconds, lastEvent, path}: UpstreamAdditions,
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

  override readAnswer(_status: number, headers: RawHeaders): AnswerFacts {
    const fields = toFields(headers);
    return {
      requestId: fields['id'],
      hasProof: fields['proof'] !== undefined,
      isNotRun: fields['notRun'] !== undefined,
      isMisdirected: fields['misdirected'] !== undefined,
      faultyAddress: fields['faulty'],
      isEncoded: fields['encoded'] !== undefined,
    };
  }

  override callerHeaders(headers: RawHeaders): string[] {
    return [...headers];
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

/** One sending that a test answers. */
export class FakeSending extends UpstreamExchange {
  isClosed = false;
  /** Whether the answer is over. */
  isOver = false;

  constructor(
    readonly upstream: Upstream,
    readonly request: UpstreamRequest,
    private readonly listener: AnswerListener,
  ) {
    super();
  }

  /** What the router added to the request. */
  get added() {
    const text = toFields(this.request.headers)['added'] ?? '{}';
    return JSON.parse(text) as Readonly<Record<string, unknown>>;
  }

  private get id(): string {
    return toFields(this.request.headers)['id'] ?? '';
  }

  /** A whole answer with a proof. */
  answer(
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

  /** Events with identifiers from one to another, both included. */
  eventsOf(from: number, to: number): void {
    for (let id = from; id <= to; id++) {
      this.body(`id: ${id}\ndata: ${id}\n\n`);
    }
  }

  end(isFramed = true): void {
    this.isOver = true;
    this.listener.onEnd(isFramed);
  }

  fail(wasSent: boolean): void {
    this.isOver = true;
    this.listener.onFailure({wasSent, detail: 'reset'});
  }

  override pause(): void {}
  override resume(): void {}
  override dispose(): void {
    this.isClosed = true;
  }
}

/** Keeps all sendings. */
export class FakeConnector extends UpstreamConnector {
  readonly sendings: FakeSending[] = [];

  override open(
    upstream: Upstream,
    request: UpstreamRequest,
    listener: AnswerListener,
  ): UpstreamExchange {
    const sending = new FakeSending(upstream, request, listener);
    this.sendings.push(sending);
    return sending;
  }

  /** The last sending. */
  get last(): FakeSending {
    const last = this.sendings.at(-1);
    if (last === undefined) {
      throw new Error('nothing was sent');
    }
    return last;
  }
}

/** Upstreams answer reports unless they are dead. */
export class FakeControl extends UpstreamControl {
  readonly dead = new Set<string>();
  /** Upstreams where another run answers under the same name. */
  readonly restarted = new Set<string>();
  readonly moves: string[] = [];
  reports = 0;
  /** Milliseconds after which reports are answered; Infinity when never. */
  reportMilliseconds = 0;

  constructor(private readonly clock: FakeClock) {
    super();
  }

  moveError: UpstreamCallError | undefined;

  override async report(
    upstream: Upstream,
  ): Promise<Result<UpstreamReport, UpstreamCallError>> {
    this.reports++;
    await this.wait();
    if (this.restarted.has(upstream.id)) {
      return failure({kind: 'misdirected'});
    }
    return this.dead.has(upstream.id)
      ? failure({kind: 'noAnswer', detail: 'dead'})
      : success({
          orderCount: 0,
          isBusy: false,
          slowness: 1,
          layers: upstream.layers,
          stalled: [],
        });
  }

  private async wait(): Promise<void> {
    const milliseconds = this.reportMilliseconds;
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
    this.moves.push(path.map(({upstream}) => upstream.id).join(','));
    return this.moveError === undefined
      ? success(undefined)
      : failure(this.moveError);
  }
}

/** A caller whose answer is recorded. */
export class FakeCaller extends CallerExchange {
  private readonly left = new Emitter<void>();
  override readonly onDidLeave = this.left.event;
  own: RouterAnswer | undefined;
  whole: {head: AnswerHead; body: string} | undefined;
  text = '';
  isEnded = false;
  isBroken = false;
  hasLeft = false;
  private begun = false;

  constructor(
    override readonly request: CallerRequest,
    private readonly bodyText = '',
  ) {
    super();
  }

  override get isOver(): boolean {
    return this.isEnded || this.isBroken || this.hasLeft;
  }

  override get hasBegun(): boolean {
    return this.begun;
  }

  override async readBody(limitBytes: number): Promise<Uint8Array | undefined> {
    const body = Buffer.from(this.bodyText);
    return body.length > limitBytes ? undefined : body;
  }

  override sendWhole(head: AnswerHead, body: Uint8Array): void {
    if (!this.isOver) {
      this.whole = {head, body: Buffer.from(body).toString()};
      this.isEnded = true;
    }
  }

  override sendOwn(answer: RouterAnswer): void {
    if (this.begun) {
      this.breakOff();
    } else if (!this.isOver) {
      this.own = answer;
      this.isEnded = true;
    }
  }

  override begin(): void {
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

  override breakOff(): void {
    this.isBroken = true;
  }

  leave(): void {
    this.hasLeft = true;
    this.left.fire();
  }

  /** One word for what the caller got. */
  get outcome(): string {
    if (this.own !== undefined) {
      return this.own.kind === 'notRun' ? 'notRun' : `own ${this.own.status}`;
    }
    if (this.whole !== undefined) {
      return `whole ${this.whole.head.status}`;
    }
    if (this.isBroken) {
      return 'broken';
    }
    return this.isEnded ? 'stream' : 'open';
  }
}

/** A handler with its fakes. */
export class ForwardingBench {
  readonly clock = new FakeClock();
  readonly connector = new FakeConnector();
  readonly control = new FakeControl(this.clock);
  readonly configuration: ConfigurationKeeper;
  readonly directory: UpstreamDirectory;
  readonly suspicions: Suspicions;
  readonly services: ForwardingServices;
  readonly handler: RequestHandler;
  private count = 0;

  constructor(
    configuration: TrafficConfiguration,
    upstreams: readonly Upstream[],
    mechanisms: Partial<Mechanisms> = {},
  ) {
    const {clock, connector, control} = this;
    const logger = new SilentLogger();
    this.configuration = new ConfigurationKeeper(clock, logger, 4000);
    this.configuration.offer(configuration);
    this.configuration.confirm(this.configuration.now());
    this.directory = new UpstreamDirectory(clock, logger);
    this.directory.replace(upstreams);
    this.suspicions = new Suspicions(clock, logger);
    const {directory, suspicions} = this;
    const settings = defaultForwardingSettings;
    const slowness = new Slowness(clock, logger);
    const trials = new UpstreamTrials(
      clock,
      control,
      directory,
      suspicions,
      slowness,
      settings.trialMilliseconds,
    );
    this.services = {
      settings,
      mechanisms: {...allMechanisms, ...mechanisms},
      clock,
      random: new SeededRandomSource(1),
      logger,
      metrics: new RequestMetrics(new Registry()),
      wire: new FakeWire(),
      connector,
      control,
      configuration: this.configuration,
      directory,
      suspicions,
      trials,
      load: new UpstreamLoad(),
      linkLoad: new LinkLoad(clock, () => 1),
      readingBacklog: new ReadingBacklog(
        clock,
        () => 1,
        () => 1,
      ),
      slowness,
      budget: new RetryBudget(
        clock,
        {ratio: 0.2, slack: 100, windowMilliseconds: 10_000},
        () => 1,
      ),
      outcomes: new OutcomeHistory(clock),
    };
    const watch = new StreamWatch(
      clock,
      directory,
      suspicions,
      slowness,
      trials,
      settings.watchPeriodMilliseconds,
      this.services.mechanisms.silenceWatch,
    );
    this.handler = new RequestHandler(this.services, watch);
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
    await this.settle();
    return caller;
  }

  /** Lets pending promises run. */
  async settle(): Promise<void> {
    for (let turn = 0; turn < 30; turn++) {
      await Promise.resolve();
    }
  }

  /** Moves time on and lets promises run. */
  async pass(milliseconds: number): Promise<void> {
    await this.clock.advanceAsync(milliseconds);
    await this.settle();
  }
}
