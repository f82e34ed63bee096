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
import {FakeClock, settle} from '../../../../test/support/fakeClock.js';
import {
  defaultPipelineSettings,
  PipelineSettings,
} from '../common/pipelineSettings.js';
import {Safeguards, StrictSafeguards} from '../common/safeguards.js';
import {delay} from '../node/boundedCall.js';
import {DefaultPipelineDriver} from '../node/defaultPipelineDriver.js';
import {
  CacheStore,
  ExportMode,
  Fault,
  FaultyEngine,
  LedgerEntry,
} from './faultyEngine.js';

export const layerCount = 6;
export const ranges: readonly LayerRange[] = [
  {from: 0, to: 2},
  {from: 2, to: 4},
  {from: 4, to: 6},
];

/** What a bench is made of. */
export interface BenchOptions {
  readonly faults?: readonly Fault[];
  /** Engines for each layer range. */
  readonly replicas?: number;
  /** Upstreams that ignore old epochs; `all` for every one. */
  readonly unfenced?: readonly string[] | 'all';
  readonly exportMode?: ExportMode;
  readonly safeguards?: Safeguards;
  readonly settings?: Partial<PipelineSettings>;
  readonly startsInMilliseconds?: number;
  /** How long the broker takes to answer. */
  readonly brokerMilliseconds?: number;
  /** Whether new plans prefer other engines for all stages. */
  readonly movesAll?: boolean;
  /** Whether the owner is probing all engines. */
  readonly probing?: boolean;
}

/** One run as its caller saw it. */
export interface BenchRun {
  readonly request: ModelRequest;
  readonly delivered: string[];
  readonly indices: number[];
  readonly source: CancellationSource;
  result: Result<ModelReply, RequestFailure> | undefined;
  endedAt: number;
}

/** What the broker knows of an engine. */
export type BrokerEngine = Pick<
  FaultyEngine,
  'upstream' | 'layers' | 'checksFencing'
> & {readonly address?: string};

/** Gives the first engine of each layer range that is not excluded. */
export class ListBroker extends CapacityBroker {
  readonly held = new Set<string>();
  readonly works: WorkEstimate[] = [];
  readonly observations: StageObservation[] = [];
  readonly failures: StageObservation[] = [];
  private made = 0;

  constructor(
    private readonly engines: readonly BrokerEngine[],
    private readonly clock: Clock,
    private readonly options: BenchOptions,
  ) {
    super();
  }

  override async reserve(work: WorkEstimate): Promise<ReservationReply> {
    this.works.push(work);
    await delay(this.clock, this.options.brokerMilliseconds ?? 0);
    return this.choose(this.engines, []);
  }

  override async replan(
    reservation: Reservation,
    work: WorkEstimate,
    model: string,
    excluded: readonly string[],
  ): Promise<ReservationReply> {
    const engines = this.options.movesAll
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
    const chosen = ranges.map(range =>
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
    this.made += 1;
    const reservationId = `r${this.made}`;
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

class MapConnector extends EngineConnector {
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

class ListLogger extends Logger {
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

/** A driver with engines in this process and a clock that moves only here. */
export class PipelineBench {
  readonly clock = new FakeClock();
  readonly ledger: LedgerEntry[] = [];
  readonly metrics = new CountingMetrics();
  readonly logger = new ListLogger();
  readonly engines: readonly FaultyEngine[];
  readonly broker: ListBroker;
  readonly runs: BenchRun[] = [];
  /** Upstreams that the list shows as leaving. */
  readonly leaving = new Set<string>();
  private readonly driver: DefaultPipelineDriver;

  constructor(options: BenchOptions = {}) {
    const store: CacheStore = new Map();
    const replicas = options.replicas ?? 2;
    this.engines = ranges.flatMap((range, stage) =>
      Array.from({length: replicas}, (_, replica) => {
        const upstream = upstreamName(stage, replica);
        const unfenced = options.unfenced ?? [];
        return new FaultyEngine(
          upstream,
          range,
          unfenced !== 'all' && !unfenced.includes(upstream),
          this.clock,
          this.ledger,
          options.faults ?? [],
          store,
          options.exportMode,
        );
      }),
    );
    this.broker = new ListBroker(this.engines, this.clock, options);
    this.driver = new DefaultPipelineDriver({
      broker: this.broker,
      connector: new MapConnector(this.engines),
      clock: this.clock,
      logger: this.logger,
      metrics: this.metrics,
      settings: {...defaultPipelineSettings, ...options.settings},
      safeguards: options.safeguards ?? new StrictSafeguards(),
      isLeaving: upstream => this.leaving.has(upstream),
    });
  }

  /** Starts a request; `onToken` may cancel or delay. */
  start(
    overrides: Partial<ModelRequest> = {},
    onToken: (run: BenchRun) => void | Promise<void> = () => undefined,
  ): BenchRun {
    const run: BenchRun = {
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

  /** Lets time pass until all runs ended, then long enough for every frozen engine to wake. */
  async finish(): Promise<void> {
    for (let round = 0; round < 2000; round++) {
      await settle();
      if (this.runs.every(run => run.result !== undefined)) {
        break;
      }
      await this.clock.advanceAsync(25);
    }
    await this.clock.advanceAsync(120_000);
  }
}

/** A request for a reply of 12 tokens. */
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

/** The name of a replica of a stage, both from 0. */
export function upstreamName(stage: number, replica: number): string {
  return `stage${stage}-${replica}`;
}
