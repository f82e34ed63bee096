import {
  RandomSource,
  SeededRandomSource,
} from '../src/base/common/randomSource.js';
import {promptTokens} from '../src/features/callers/common/tokenText.js';
import {HttpEngineConnector} from '../src/infrastructure/engine/node/httpEngineConnector.js';
import {sleep} from '../test/support/sleep.js';
import {SystemOptions} from '../test/support/systemOptions.js';
import {OfferedClass} from './common/throughputBound.js';
import {RoundTotals, runClosedLoop} from './common/closedLoop.js';
import {DirectPipeline} from './common/directPipeline.js';
import {fitCoefficients, Observation} from './common/linearFit.js';
import {
  launchMeasuredSystem,
  MeasuredSystem,
  createPrompt,
} from './common/measuredSystem.js';
import {OfferedAccount} from './common/openLoad.js';
import {readProcessUsage} from './common/processUsage.js';
import {round, TimeHistogram} from './common/statistics.js';

/**
 * Measures the latency that the router adds to direct calls of the same engines, at increasing concurrency.
 * Direct and routed rounds alternate, so that other load on the machine affects both equally. Direct calls
 * use the router's engine client in the measuring process.
 */

export interface OverheadOptions {
  readonly seed: number;
  /** Duration of each round. */
  readonly seconds: number;
}

/** Median and 95th percentile of a latency, or of the latency that the router adds, in milliseconds. */
export interface PercentileTimes {
  readonly median: number;
  readonly p95: number;
}

/** Results at one level of concurrency. */
export interface LevelReport {
  readonly concurrency: number;
  readonly requests: number;
  readonly failed: number;
  readonly addedFirstTokenMilliseconds: PercentileTimes;
  readonly addedBetweenTokensMilliseconds: PercentileTimes;
  readonly directFirstTokenMilliseconds: PercentileTimes;
  readonly directBetweenTokensMilliseconds: PercentileTimes;
  /** CPU time of the entry program divided by the number of tokens in its rounds. */
  readonly entryCpuMillisecondsPerToken: number;
  /** CPU usage of the entry program, as a share of one core. */
  readonly entryCpuShare: number;
}

/** Results at all levels. */
export interface OverheadReport {
  readonly seed: number;
  readonly levels: readonly LevelReport[];
  /** Highest median of all levels. */
  readonly addedFirstTokenMilliseconds: number;
  readonly addedBetweenTokensMilliseconds: number;
  /** CPU time of the entry program per request, token and idle second, by a least-squares fit over all rounds. */
  readonly entryCpuMilliseconds: {
    readonly perRequest: number;
    readonly perToken: number;
    readonly perIdleSecond: number;
  };
}

const CONCURRENCIES = [1, 8, 32, 64];
/** Output tokens per request of each round; they differ to let the fit separate the cost per request and per token. */
const OUTPUT_TOKENS = [12, 32, 12];
const PROMPT_TOKENS = 16;
const IDLE_MILLISECONDS = 1500;

const SYSTEM: Partial<SystemOptions> = {
  instances: 1,
  // A single pipeline, so that direct and routed rounds put the same load on the same engines.
  replicas: 1,
  stagesPerReplica: 2,
  accelerators: [
    {kind: 'even', decodeMilliseconds: 20, prefillMillisecondsPerToken: 0.5},
  ],
  sequenceLimit: 128,
  enginesPerProcess: 1,
  services: [],
  ledgerFiles: false,
  entrySettings: {observation: {logLevel: 'error'}},
  controlSettings: {observation: {logLevel: 'error'}},
};

const CLASS: OfferedClass = {
  name: 'even',
  requestsPerSecond: 500,
  promptTokens: PROMPT_TOKENS,
  outputTokens: 12,
  firstTokenMilliseconds: 2000,
  betweenTokensMilliseconds: 300,
  deadlineMilliseconds: 10000,
};

const ACCOUNT: OfferedAccount = {name: 'one', bearerKey: 'key-one', share: 1};

/** Measures the added latency at all levels of concurrency. */
export async function measureOverhead(
  options: OverheadOptions,
): Promise<OverheadReport> {
  const measured = await launchMeasuredSystem(SYSTEM, [CLASS], [ACCOUNT]);
  const benchmark = new OverheadBenchmark(measured, options);
  try {
    return await benchmark.run();
  } finally {
    benchmark.dispose();
    await measured.dispose();
  }
}

/** Token latencies of the direct or the routed rounds of one level. */
class TokenTimes {
  readonly first = new TimeHistogram();
  readonly betweenTokens = new TimeHistogram();
  failed = 0;

  add(startedAt: number, tokenTimes: readonly number[]): void {
    this.first.add(tokenTimes[0] - startedAt);
    for (let index = 1; index < tokenTimes.length; index++) {
      this.betweenTokens.add(tokenTimes[index] - tokenTimes[index - 1]);
    }
  }
}

class OverheadBenchmark {
  private readonly connector = new HttpEngineConnector();
  private readonly pipelines: readonly DirectPipeline[];
  private readonly observations: Observation[] = [];
  private readonly random: RandomSource;
  private index = 0;

  constructor(
    private readonly measured: MeasuredSystem,
    private readonly options: OverheadOptions,
  ) {
    this.random = new SeededRandomSource(options.seed);
    const {engines, options: launchOptions} = measured.system;
    this.pipelines = Array.from(
      {length: launchOptions.replicas},
      (_, replica) => {
        const first = replica * launchOptions.stagesPerReplica;
        const stages = engines.slice(
          first,
          first + launchOptions.stagesPerReplica,
        );
        return new DirectPipeline(stages, this.connector);
      },
    );
  }

  async run(): Promise<OverheadReport> {
    await this.warmUp();
    await this.observeIdle();
    const levels: LevelReport[] = [];
    for (const concurrency of CONCURRENCIES) {
      levels.push(await this.runLevel(concurrency));
    }
    const [perRequest, perToken, perIdleSecond] = fitCoefficients(
      this.observations,
    );
    return {
      seed: this.options.seed,
      levels,
      addedFirstTokenMilliseconds: Math.max(
        ...levels.map(level => level.addedFirstTokenMilliseconds.median),
      ),
      addedBetweenTokensMilliseconds: Math.max(
        ...levels.map(level => level.addedBetweenTokensMilliseconds.median),
      ),
      entryCpuMilliseconds: {
        perRequest: round(perRequest),
        perToken: round(perToken),
        perIdleSecond: round(perIdleSecond),
      },
    };
  }

  dispose(): void {
    this.connector.dispose();
  }

  /** Lets the JIT compiler optimize both code paths, and opens connections. */
  private async warmUp(): Promise<void> {
    const milliseconds = this.roundMilliseconds;
    const maximumConcurrency = Math.max(...CONCURRENCIES);
    await this.runRound(maximumConcurrency, milliseconds, () =>
      this.sendDirect(new TokenTimes(), CLASS.outputTokens),
    );
    await this.runRound(maximumConcurrency, milliseconds, () =>
      this.sendRouted(new TokenTimes(), CLASS.outputTokens),
    );
  }

  /** Observes the CPU time of the entry program without requests. */
  private async observeIdle(): Promise<void> {
    await this.observed(async () => {
      await sleep(IDLE_MILLISECONDS);
      return {requests: 0, tokens: 0};
    });
  }

  private async runLevel(concurrency: number): Promise<LevelReport> {
    const direct = new TokenTimes();
    const routed = new TokenTimes();
    let tokens = 0;
    let cpuMilliseconds = 0;
    let milliseconds = 0;
    for (const outputTokens of OUTPUT_TOKENS) {
      await this.runRound(concurrency, this.roundMilliseconds, () =>
        this.sendDirect(direct, outputTokens),
      );
      const observation = await this.observed(() =>
        this.runRound(concurrency, this.roundMilliseconds, () =>
          this.sendRouted(routed, outputTokens),
        ),
      );
      tokens += observation.regressors[1];
      cpuMilliseconds += observation.measurement;
      milliseconds += observation.regressors[2] * 1000;
    }
    return {
      concurrency,
      requests: routed.first.count,
      failed: direct.failed + routed.failed,
      addedFirstTokenMilliseconds: subtractPercentiles(
        routed.first,
        direct.first,
      ),
      addedBetweenTokensMilliseconds: subtractPercentiles(
        routed.betweenTokens,
        direct.betweenTokens,
      ),
      directFirstTokenMilliseconds: readPercentiles(direct.first),
      directBetweenTokensMilliseconds: readPercentiles(direct.betweenTokens),
      entryCpuMillisecondsPerToken: round(cpuMilliseconds / tokens),
      entryCpuShare: round(cpuMilliseconds / milliseconds),
    };
  }

  private get roundMilliseconds(): number {
    return this.options.seconds * 1000;
  }

  private runRound(
    concurrency: number,
    milliseconds: number,
    request: () => Promise<number>,
  ): Promise<RoundTotals> {
    return runClosedLoop(concurrency, milliseconds, this.random, request);
  }

  private async observed(
    run: () => Promise<RoundTotals>,
  ): Promise<Observation> {
    const {pid} = this.measured.system.instances[0].entry;
    const before = readProcessUsage(pid);
    const {requests, tokens} = await run();
    const after = readProcessUsage(pid);
    const seconds = (after.at - before.at) / 1000;
    const observation = {
      measurement: after.cpuMilliseconds - before.cpuMilliseconds,
      regressors: [requests, tokens, seconds],
    };
    this.observations.push(observation);
    return observation;
  }

  private async sendDirect(
    times: TokenTimes,
    outputTokens: number,
  ): Promise<number> {
    const pipeline = this.pipelines[this.index % this.pipelines.length];
    const content = this.nextPrompt(outputTokens);
    const prompt = promptTokens([{role: 'user', content}]);
    const reply = await pipeline.generate(prompt, outputTokens);
    times.add(reply.startedAt, reply.tokenTimes);
    return reply.tokenTimes.length;
  }

  private async sendRouted(
    times: TokenTimes,
    outputTokens: number,
  ): Promise<number> {
    const [caller] = this.measured.callers;
    const startedAt = performance.now();
    const outcome = await caller.stream({
      classOfWork: CLASS.name,
      bearerKey: ACCOUNT.bearerKey,
      model: 'assistant',
      prompt: this.nextPrompt(outputTokens),
      maximumOutputTokens: outputTokens,
      idempotencyKey: undefined,
      deadlineMilliseconds: undefined,
    });
    if (!outcome.whole || outcome.tokens.length !== outputTokens) {
      times.failed++;
      return outcome.tokens.length;
    }
    times.add(startedAt, outcome.tokenTimes);
    return outputTokens;
  }

  private nextPrompt(outputTokens: number): string {
    this.index++;
    return createPrompt({...CLASS, outputTokens}, this.index);
  }
}

function subtractPercentiles(
  routed: TimeHistogram,
  direct: TimeHistogram,
): PercentileTimes {
  return {
    median: round(routed.percentile(50) - direct.percentile(50)),
    p95: round(routed.percentile(95) - direct.percentile(95)),
  };
}

function readPercentiles(histogram: TimeHistogram): PercentileTimes {
  return {
    median: round(histogram.percentile(50)),
    p95: round(histogram.percentile(95)),
  };
}
