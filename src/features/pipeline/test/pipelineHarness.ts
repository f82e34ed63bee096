import {CancellationSource} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Result} from '../../../base/common/result.js';
import {
  EngineConnection,
  EngineConnector,
  LayerRange,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {
  Logger,
  LogFields,
} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {ModelReply, ModelRequest} from '../../requests/common/request.js';
import {
  CapacityBroker,
  Reservation,
  ReservationReply,
  ServiceChoice,
  StageObservation,
  WorkEstimate,
} from '../../routing/common/routing.js';
import {
  FakeClock,
  runPendingCallbacks,
} from '../../../../test/support/fakeClock.js';
import {
  defaultPipelineSettings,
  PipelineSettings,
} from '../common/pipelineSettings.js';
import {Safeguards, StrictSafeguards} from '../common/safeguards.js';
import {delay} from '../node/cancellableCall.js';
import {DefaultPipelineDriver} from '../node/defaultPipelineDriver.js';
import {
  CacheStore,
  ExportMode,
  Fault,
  FaultyEngine,
  ExecutedStep,
} from './faultyEngine.js';

export const layerCount = 6;
export const layerRanges: readonly LayerRange[] = [
  {from: 0, to: 2},
  {from: 2, to: 4},
  {from: 4, to: 6},
];

/** Options of a harness; without any, no fault is injected. */
export interface HarnessOptions {
  readonly faults?: readonly Fault[];
  /** Number of engines for each layer range. */
  readonly replicas?: number;
  /** Upstreams that do not check fencing numbers and so execute steps of old epochs; `all` for every one. */
  readonly unfenced?: readonly string[] | 'all';
  readonly exportMode?: ExportMode;
  readonly safeguards?: Safeguards;
  readonly settings?: Partial<PipelineSettings>;
  readonly startsInMilliseconds?: number;
  /** Response time of the broker. */
  readonly brokerMilliseconds?: number;
  /** Whether a replan chooses other engines for all stages. */
  readonly prefersOtherEngines?: boolean;
  /** Whether reservations mark all stages as probing. */
  readonly probing?: boolean;
}

/** One run as observed by its caller. */
export interface HarnessRun {
  readonly request: ModelRequest;
  readonly delivered: string[];
  readonly indices: number[];
  readonly source: CancellationSource;
  result: Result<ModelReply, RequestFailure> | undefined;
  endedAt: number;
}

/** The properties of an engine that the broker uses. */
export type BrokerEngine = Pick<
  FaultyEngine,
  'upstream' | 'layers' | 'checksFencing'
> & {readonly address?: string};

/** A broker that chooses the first engine of each layer range that is not excluded. */
export class FirstMatchBroker extends CapacityBroker {
  readonly held = new Set<string>();
  readonly estimates: WorkEstimate[] = [];
  readonly observations: StageObservation[] = [];
  readonly failures: StageObservation[] = [];
  private reservationCount = 0;

  constructor(
    private readonly engines: readonly BrokerEngine[],
    private readonly clock: Clock,
    private readonly options: HarnessOptions,
  ) {
    super();
  }

  override async reserve(work: WorkEstimate): Promise<ReservationReply> {
    this.estimates.push(work);
    await delay(this.clock, this.options.brokerMilliseconds ?? 0);
    return this.choose(this.engines, []);
  }

  override async replan(
    reservation: Reservation,
    work: WorkEstimate,
    model: string,
    excluded: readonly string[],
  ): Promise<ReservationReply> {
    const engines = this.options.prefersOtherEngines
      ? [...this.engines].reverse()
      : this.engines;
    const reply = this.choose(engines, excluded);
    if (reply.kind === 'reserved') {
      this.held.delete(reservation.reservationId);
    }
    return reply;
  }

  private choose(
    engines: readonly BrokerEngine[],
    excluded: readonly string[],
  ): ReservationReply {
    const chosen = layerRanges.map(range =>
      engines.find(
        engine =>
          engine.layers.from === range.from &&
          !excluded.includes(engine.upstream),
      ),
    );
    if (chosen.includes(undefined)) {
      const retryAfterMilliseconds = 200;
      return {kind: 'refused', reason: 'noUpstream', retryAfterMilliseconds};
    }
    const stages = (chosen as BrokerEngine[]).map(engine => ({
      upstream: engine.upstream,
      address: engine.address ?? engine.upstream,
      layers: engine.layers,
      checksFencing: engine.checksFencing,
      ...(this.options.probing === true ? {probing: true} : {}),
    }));
    this.reservationCount += 1;
    const reservationId = `r${this.reservationCount}`;
    this.held.add(reservationId);
    const prediction = {
      startsInMilliseconds: this.options.startsInMilliseconds ?? 0,
      firstTokenMilliseconds: 100,
      betweenTokensMilliseconds: 10,
      wholeMilliseconds: 1000,
      figuresAgeMilliseconds: 0,
    };
    const reservation = {reservationId, cell: 'cell', stages, prediction};
    return {kind: 'reserved', reservation};
  }

  override release(
    reservation: Reservation,
    observations: readonly StageObservation[],
  ): void {
    this.held.delete(reservation.reservationId);
    this.observations.push(...observations);
  }

  override reportFailure(
    _reservation: Reservation,
    observation: StageObservation,
  ): void {
    this.failures.push(observation);
  }

  override chooseService(): ServiceChoice {
    return {kind: 'none', retryAfterMilliseconds: 0};
  }

  override releaseService(): void {}
}

class FakeConnector extends EngineConnector {
  constructor(private readonly engines: readonly FaultyEngine[]) {
    super();
  }

  override connect(upstream: string): EngineConnection {
    return this.engines.find(
      engine => engine.upstream === upstream,
    ) as FaultyEngine;
  }
}

class CountingMetrics extends Metrics {
  readonly counts = new Map<string, number>();
  override count(name: string, value: number): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + value);
  }
  override gauge(): void {}
  override milliseconds(): void {}
}

class RecordingLogger extends Logger {
  readonly decisions: LogFields[] = [];
  override decision(_name: string, fields: LogFields): void {
    this.decisions.push(fields);
  }
  override info(): void {}
  override warn(): void {}
  override error(): void {}
  override child(): Logger {
    return this;
  }
}

/** A driver with in-process engines and a fake clock. */
export class PipelineHarness {
  readonly clock = new FakeClock();
  readonly executedSteps: ExecutedStep[] = [];
  readonly metrics = new CountingMetrics();
  readonly logger = new RecordingLogger();
  readonly engines: readonly FaultyEngine[];
  readonly broker: FirstMatchBroker;
  readonly runs: HarnessRun[] = [];
  /** Upstreams that are listed as leaving. */
  readonly leaving = new Set<string>();
  private readonly driver: DefaultPipelineDriver;

  constructor(options: HarnessOptions = {}) {
    const store: CacheStore = new Map();
    const replicas = options.replicas ?? 2;
    this.engines = layerRanges.flatMap((range, stage) =>
      Array.from({length: replicas}, (_, replica) => {
        const upstream = upstreamName(stage, replica);
        const unfenced = options.unfenced ?? [];
        return new FaultyEngine(
          upstream,
          range,
          unfenced !== 'all' && !unfenced.includes(upstream),
          this.clock,
          this.executedSteps,
          options.faults ?? [],
          store,
          options.exportMode,
        );
      }),
    );
    this.broker = new FirstMatchBroker(this.engines, this.clock, options);
    this.driver = new DefaultPipelineDriver({
      broker: this.broker,
      connector: new FakeConnector(this.engines),
      clock: this.clock,
      logger: this.logger,
      metrics: this.metrics,
      settings: {...defaultPipelineSettings, ...options.settings},
      safeguards: options.safeguards ?? new StrictSafeguards(),
      isLeaving: upstream => this.leaving.has(upstream),
    });
  }

  /** Starts a request; `onToken` may cancel the run, or delay it by returning a promise. */
  start(
    overrides: Partial<ModelRequest> = {},
    onToken: (run: HarnessRun) => void | Promise<void> = () => undefined,
  ): HarnessRun {
    const run: HarnessRun = {
      request: {
        ...makeRequest(
          `q${this.runs.length}`,
          this.clock.monotonicMilliseconds(),
        ),
        ...overrides,
      },
      delivered: [],
      indices: [],
      source: new CancellationSource(),
      result: undefined,
      endedAt: 0,
    };
    this.runs.push(run);
    const sink = (token: string, index: number) => {
      run.delivered.push(token);
      run.indices.push(index);
      return onToken(run);
    };
    void this.driver.run(run.request, sink, run.source.token).then(result => {
      run.result = result;
      run.endedAt = this.clock.monotonicMilliseconds();
    });
    return run;
  }

  /** Advances the clock until all runs have ended, and then until every frozen engine has resumed. */
  async finish(): Promise<void> {
    for (let round = 0; round < 2000; round++) {
      await runPendingCallbacks();
      if (this.runs.every(run => run.result !== undefined)) {
        break;
      }
      await this.clock.advanceAsync(25);
    }
    await this.clock.advanceAsync(120_000);
  }
}

/** Creates a request for a reply of 12 tokens. */
export function makeRequest(requestId: string, now: number): ModelRequest {
  return {
    requestId,
    idempotencyKey: undefined,
    clientAccount: 'bakery',
    classOfWork: {
      name: 'assistant',
      firstTokenMilliseconds: 500,
      betweenTokensMilliseconds: 60,
      deadlineMilliseconds: 20_000,
      requestsPerSecond: 1,
      repeatable: false,
    },
    model: {name: 'm', version: '1', layerCount, adapters: []},
    adapter: undefined,
    messages: [],
    promptTokens: ['order', 'for', requestId, '[reply:12]'],
    maximumOutputTokens: 40,
    stream: true,
    arrivedAt: now,
    deadlineAt: now + 20_000,
  };
}

/** The name of a replica of a stage; both numbers start at 0. */
export function upstreamName(stage: number, replica: number): string {
  return `stage${stage}-${replica}`;
}
