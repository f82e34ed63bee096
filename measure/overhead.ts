import {
  RandomSource,
  SeededRandomSource,
} from '../src/base/common/randomSource.js';
import {promptTokens} from '../src/features/callers/common/tokenText.js';
import {HttpEngineConnector} from '../src/infrastructure/engine/node/httpEngineConnector.js';
import {sleep} from '../test/support/sleep.js';
import {SystemOptions} from '../test/support/systemOptions.js';
import {OfferedClass} from './common/bound.js';
import {RoundWork, runRound} from './common/closedLoop.js';
import {DirectPipeline} from './common/directPipeline.js';
import {fitCoefficients, Observation} from './common/linearFit.js';
import {
  launchMeasured,
  MeasuredSystem,
  promptOf,
} from './common/measuredSystem.js';
import {OfferedAccount} from './common/openLoad.js';
import {readUse} from './common/processUse.js';
import {round, TimeHistogram} from './common/statistics.js';

/**
 * Time that the router adds over calling the same engines directly, at rising concurrency. Direct and
 * routed rounds take turns, so that the load of the machine touches both alike. The direct side runs
 * the router's own engine client in the measuring process.
 */

/** Settings of a run. */
export interface OverheadOptions {
  readonly seed: number;
  /** Seconds of each round. */
  readonly seconds: number;
}

/** Milliseconds that the router adds at one percentile. */
export interface AddedTime {
  readonly median: number;
  readonly p95: number;
}

/** One concurrency's outcome. */
export interface OverheadReport {
  readonly concurrency: number;
  readonly requests: number;
  readonly failed: number;
  readonly addedFirstTokenMilliseconds: AddedTime;
  readonly addedBetweenTokensMilliseconds: AddedTime;
  readonly directFirstTokenMilliseconds: AddedTime;
  readonly directBetweenTokensMilliseconds: AddedTime;
  /** CPU of the entry program over the tokens of its rounds. */
  readonly entryCpuMillisecondsPerToken: number;
  readonly entryCpuShare: number;
}

/** The outcome of a run. */
export interface OverheadReports {
  readonly seed: number;
  readonly levels: readonly OverheadReport[];
  /** Worst over the levels, at the median. */
  readonly addedFirstTokenMilliseconds: number;
  readonly addedBetweenTokensMilliseconds: number;
  /** CPU of the entry program by request and by token, by least squares over all rounds. */
  readonly entryCpuMilliseconds: {
    readonly perRequest: number;
    readonly perToken: number;
    readonly perIdleSecond: number;
  };
}

const CONCURRENCIES = [1, 8, 32, 64];
/** Output tokens of the requests of a round; the rounds differ so that a request's cost shows beside a token's. */
const OUTPUT_TOKENS = [12, 32, 12];
const PROMPT_TOKENS = 16;
const IDLE_MILLISECONDS = 1500;

const SYSTEM: Partial<SystemOptions> = {
  instances: 1,
  // One pipeline, so that both sides load the same engines alike.
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

/** Runs all levels and gives the times added. */
export async function measureOverhead(
  options: OverheadOptions,
): Promise<OverheadReports> {
  const measured = await launchMeasured(SYSTEM, [CLASS], [ACCOUNT]);
  const bench = new OverheadBench(measured, options);
  try {
    return await bench.run();
  } finally {
    bench.dispose();
    await measured.dispose();
  }
}

/** Times of one side at one level. */
class SideTimes {
  readonly first = new TimeHistogram();
  readonly between = new TimeHistogram();
  failed = 0;

  add(startedAt: number, tokenTimes: readonly number[]): void {
    this.first.add(tokenTimes[0] - startedAt);
    for (let index = 1; index < tokenTimes.length; index++) {
      this.between.add(tokenTimes[index] - tokenTimes[index - 1]);
    }
  }
}

class OverheadBench {
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
    const {engines, options: launched} = measured.system;
    this.pipelines = Array.from({length: launched.replicas}, (_, replica) => {
      const first = replica * launched.stagesPerReplica;
      const stages = engines.slice(first, first + launched.stagesPerReplica);
      return new DirectPipeline(stages, this.connector);
    });
  }

  async run(): Promise<OverheadReports> {
    await this.warmUp();
    await this.observeIdle();
    const levels: OverheadReport[] = [];
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

  /** Compiles the hot code of both sides and opens connections. */
  private async warmUp(): Promise<void> {
    const milliseconds = this.roundMilliseconds;
    const top = Math.max(...CONCURRENCIES);
    await this.round(top, milliseconds, () =>
      this.direct(new SideTimes(), CLASS.outputTokens),
    );
    await this.round(top, milliseconds, () =>
      this.routed(new SideTimes(), CLASS.outputTokens),
    );
  }

  /** What the entry program uses without requests. */
  private async observeIdle(): Promise<void> {
    await this.observed(async () => {
      await sleep(IDLE_MILLISECONDS);
      return {requests: 0, tokens: 0};
    });
  }

  private async runLevel(concurrency: number): Promise<OverheadReport> {
    const direct = new SideTimes();
    const routed = new SideTimes();
    let tokens = 0;
    let cpu = 0;
    let milliseconds = 0;
    for (const outputTokens of OUTPUT_TOKENS) {
      await this.round(concurrency, this.roundMilliseconds, () =>
        this.direct(direct, outputTokens),
      );
      const observation = await this.observed(() =>
        this.round(concurrency, this.roundMilliseconds, () =>
          this.routed(routed, outputTokens),
        ),
      );
      tokens += observation.regressors[1];
      cpu += observation.figure;
      milliseconds += observation.regressors[2] * 1000;
    }
    return {
      concurrency,
      requests: routed.first.count,
      failed: direct.failed + routed.failed,
      addedFirstTokenMilliseconds: added(routed.first, direct.first),
      addedBetweenTokensMilliseconds: added(routed.between, direct.between),
      directFirstTokenMilliseconds: timesOf(direct.first),
      directBetweenTokensMilliseconds: timesOf(direct.between),
      entryCpuMillisecondsPerToken: round(cpu / tokens),
      entryCpuShare: round(cpu / milliseconds),
    };
  }

  private get roundMilliseconds(): number {
    return this.options.seconds * 1000;
  }

  private round(
    concurrency: number,
    milliseconds: number,
    request: () => Promise<number>,
  ): Promise<RoundWork> {
    return runRound(concurrency, milliseconds, this.random, request);
  }

  private async observed(run: () => Promise<RoundWork>): Promise<Observation> {
    const {pid} = this.measured.system.instances[0].entry;
    const before = readUse(pid);
    const {requests, tokens} = await run();
    const after = readUse(pid);
    const seconds = (after.at - before.at) / 1000;
    const observation = {
      figure: after.cpuMilliseconds - before.cpuMilliseconds,
      regressors: [requests, tokens, seconds],
    };
    this.observations.push(observation);
    return observation;
  }

  private async direct(
    times: SideTimes,
    outputTokens: number,
  ): Promise<number> {
    const pipeline = this.pipelines[this.index % this.pipelines.length];
    const content = this.nextPrompt(outputTokens);
    const prompt = promptTokens([{role: 'user', content}]);
    const reply = await pipeline.generate(prompt, outputTokens);
    times.add(reply.startedAt, reply.tokenTimes);
    return reply.tokenTimes.length;
  }

  private async routed(
    times: SideTimes,
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
    return promptOf({...CLASS, outputTokens}, this.index);
  }
}

function added(routed: TimeHistogram, direct: TimeHistogram): AddedTime {
  return {
    median: round(routed.percentile(50) - direct.percentile(50)),
    p95: round(routed.percentile(95) - direct.percentile(95)),
  };
}

function timesOf(histogram: TimeHistogram): AddedTime {
  return {
    median: round(histogram.percentile(50)),
    p95: round(histogram.percentile(95)),
  };
}
