import {createHash} from 'node:crypto';

import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Emitter} from '../../../base/common/event.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {Result, success} from '../../../base/common/result.js';
import {SystemClock} from '../../../base/node/systemClock.js';
import {
  LogFields,
  Logger,
  SilentLogger,
} from '../../../infrastructure/logging/common/logger.js';
import {SilentMetrics} from '../../../infrastructure/metrics/common/metrics.js';
import {ServiceResponse} from '../../../infrastructure/service/common/serviceConnection.js';
import {ClaimDecision, ClaimService} from '../../claims/common/claimService.js';
import {Configuration} from '../../configuration/common/configuration.js';
import {
  EntryAnnouncement,
  InstanceView,
  SystemView,
} from '../../membership/common/systemView.js';
import {SystemViewSource} from '../../membership/common/systemViewSource.js';
import {
  PipelineDriver,
  TokenSink,
} from '../../pipeline/common/pipelineDriver.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {
  ModelReply,
  ModelRequest,
  RequestOutcome,
} from '../../requests/common/request.js';
import {RequestGate} from '../common/requestGate.js';
import {
  ServiceCallRequest,
  ServiceDispatcher,
} from '../common/serviceDispatcher.js';
import {CallerServer} from '../node/callerServer.js';

/** Fakes for the dependencies of the caller API, and a server that runs on them. */

export const bearer = 'secret-of-one';

export const configuration: Configuration = {
  revision: 3,
  classes: Object.fromEntries(
    [false, true].map(repeatable => {
      const name = repeatable ? 'query' : 'order';
      const target = {
        firstTokenMilliseconds: 500,
        betweenTokensMilliseconds: 60,
      };
      const limits = {deadlineMilliseconds: 5000, requestsPerSecond: 5};
      return [name, {name, repeatable, ...target, ...limits}];
    }),
  ),
  clientAccounts: {
    one: {
      name: 'one',
      keyHash: createHash('sha256').update(bearer).digest('hex'),
    },
  },
  models: {
    assistant: {
      name: 'assistant',
      version: '1',
      layerCount: 4,
      adapters: ['quotes'],
    },
  },
  services: {
    stock: {
      name: 'stock',
      calls: [
        {method: 'GET', pathPrefix: '/levels', repeatable: true},
        {method: 'GET', pathPrefix: '/levels/reserve', repeatable: false},
      ],
    },
  },
};

export function instanceView(
  id: string,
  dataCentre = 'dc1',
  ready = true,
): InstanceView {
  return {
    ready,
    incarnation: `${id}-1`,
    member: {
      role: 'instance',
      id,
      dataCentre,
      region: dataCentre.startsWith('far') ? 'west' : 'east',
      callerAddress: `${id}:80`,
      entryPeerAddress: `${id}:81`,
      controlAddress: `${id}:82`,
      state: 'live',
    },
  };
}

export class FakeViews extends SystemViewSource {
  private readonly emitter = new Emitter<SystemView>();
  override lastResponseAt: number | undefined = performance.now();
  override current: SystemView | undefined = {
    sequence: 1,
    standing: {kind: 'serving'},
    configuration,
    instances: [instanceView('a'), instanceView('b')],
    upstreams: [],
  };
  override readonly onDidChange = this.emitter.event;
  readonly announcements: EntryAnnouncement[] = [];

  override announce(announcement: EntryAnnouncement): void {
    this.announcements.push(announcement);
  }

  override dispose(): void {}
}

export class FakeClaims extends ClaimService {
  decision: ClaimDecision = {kind: 'granted'};
  outcome: RequestOutcome | undefined;
  provenNotRun = false;
  lookUps = 0;
  pendingLookUp: Promise<void> | undefined;
  readonly claimed: string[] = [];
  readonly fingerprints: Array<string | undefined> = [];
  readonly completed: RequestOutcome[] = [];

  override claim(
    _account: string,
    key: string,
    _token: CancellationToken,
    fingerprint?: string,
  ): Promise<ClaimDecision> {
    this.claimed.push(key);
    this.fingerprints.push(fingerprint);
    return Promise.resolve(this.decision);
  }

  override complete(_account: string, _key: string, outcome: RequestOutcome) {
    this.completed.push(outcome);
  }

  override async findOutcome(): Promise<RequestOutcome | undefined> {
    this.lookUps += 1;
    await this.pendingLookUp;
    return this.outcome;
  }

  override isProvenNotRun(): boolean {
    return this.provenNotRun;
  }

  override issueGrant(): string {
    return 'grant-a-1';
  }
}

type RunFunction = PipelineDriver['run'];

/** Runs the script of the test; by default replies with two tokens. */
export class FakeDriver extends PipelineDriver {
  readonly requests: ModelRequest[] = [];
  script: RunFunction = async (request, sink) => {
    await sink('Hello', 0);
    await sink('there', 1);
    return success(replyOf(request, ['Hello', 'there']));
  };

  override run(
    request: ModelRequest,
    sink: TokenSink,
    token: CancellationToken,
  ): Promise<Result<ModelReply, RequestFailure>> {
    this.requests.push(request);
    return this.script(request, sink, token);
  }
}

export function replyOf(
  request: ModelRequest,
  tokens: readonly string[],
): ModelReply {
  return {requestId: request.requestId, tokens, finishReason: 'stop'};
}

export class FakeDispatcher extends ServiceDispatcher {
  readonly requests: ServiceCallRequest[] = [];

  override dispatch(
    request: ServiceCallRequest,
  ): Promise<Result<ServiceResponse, RequestFailure>> {
    this.requests.push(request);
    return Promise.resolve(
      success({
        status: 200,
        contentType: 'application/json',
        body: '{"level":7}',
        requestId: request.requestId,
      }),
    );
  }
}

/** Records the log lines of requests. */
export class RecordingLogger extends SilentLogger {
  readonly lines: LogFields[] = [];

  override info(message?: string, fields?: LogFields): void {
    this.lines.push({message, ...fields});
  }

  override child(): Logger {
    return this;
  }
}

const TIMER_SPEED_UP = 50;

/** Shortens timers, so that tests can wait for long timeouts. */
export class AcceleratedClock extends SystemClock {
  override setTimer(milliseconds: number, callback: () => void): Disposable {
    return super.setTimer(milliseconds / TIMER_SPEED_UP, callback);
  }
}

/** Tracks the pending timers. */
export class CountingClock extends SystemClock {
  readonly waiting = new Set<Disposable>();

  override setTimer(milliseconds: number, callback: () => void): Disposable {
    const timer = super.setTimer(milliseconds, () => {
      this.waiting.delete(timer);
      callback();
    });
    const dispose = timer.dispose.bind(timer);
    timer.dispose = () => {
      this.waiting.delete(timer);
      dispose();
    };
    this.waiting.add(timer);
    return timer;
  }
}

/** A server with fake dependencies on a free port. */
export class CallerFixture {
  readonly views = new FakeViews();
  readonly claims = new FakeClaims();
  readonly driver = new FakeDriver();
  readonly dispatcher = new FakeDispatcher();
  readonly logger = new RecordingLogger();
  readonly gate: RequestGate;
  readonly server: CallerServer;
  port = 0;

  constructor(readonly clock: Clock = new SystemClock()) {
    this.gate = new RequestGate(this.views, clock, {
      id: 'a',
      dataCentre: 'dc1',
      region: 'east',
      concurrentRequestLimit: 2,
    });
    this.server = new CallerServer({
      views: this.views,
      claims: this.claims,
      driver: this.driver,
      dispatcher: this.dispatcher,
      logger: this.logger,
      clock,
      gate: this.gate,
      metrics: new SilentMetrics(),
      settings: {
        callerAddress: 'a:80',
        bodyLimitBytes: 2000,
        concurrentRequestLimit: 2,
        entrypointsSeconds: 30,
      },
    });
  }

  async start(): Promise<this> {
    this.port = await this.server.listen('127.0.0.1', 0);
    return this;
  }

  /** Sends a request with the bearer key and the given headers. */
  send(
    path: string,
    headers: Record<string, string> = {},
    body?: unknown,
    signal?: AbortSignal,
  ): Promise<Response> {
    return fetch(`http://127.0.0.1:${this.port}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      headers: {Authorization: `Bearer ${bearer}`, ...headers},
      body: typeof body === 'string' ? body : JSON.stringify(body),
      signal: signal ?? null,
    });
  }
}

export const chatPath = '/v1/chat/completions';

export function chatBody(stream = false): Record<string, unknown> {
  const messages = [{role: 'user', content: 'one load please'}];
  return {model: 'assistant', messages, stream};
}
