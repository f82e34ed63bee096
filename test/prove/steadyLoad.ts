import {
  RandomSource,
  SeededRandomSource,
} from '../../src/base/common/randomSource.js';
import {sleep} from '../support/sleep.js';
import {EntrypointCache} from './entrypointCache.js';
import {Submission} from './observations.js';
import {
  defaultRetryingCallerOptions,
  RetryingCaller,
  RetryingCallerOptions,
} from './retryingCaller.js';
import {TestClient} from './testClient.js';
import {randomWork} from './work.js';

/** One piece of work of a load, with its outcome. */
export interface WorkResult {
  readonly startedAt: number;
  readonly isCompleted: boolean;
  readonly submissions: readonly Submission[];
}

/** The rate and the callers of a load. */
export interface LoadOptions {
  readonly seed: number;
  /** Time between arrivals, independent of when earlier work completes. */
  readonly arrivalIntervalMilliseconds: number;
  readonly retryOptions?: Partial<RetryingCallerOptions>;
}

/** Open-loop load at a constant rate, from callers that share an entrypoint cache, until it is stopped. */
export class SteadyLoad {
  private readonly results: Array<Promise<WorkResult>> = [];
  private readonly random: RandomSource;
  private isStopped = false;
  private readonly arrivals: Promise<void>;

  constructor(
    private readonly client: TestClient,
    private readonly entrypointCache: EntrypointCache,
    private readonly options: LoadOptions,
  ) {
    this.random = new SeededRandomSource(options.seed);
    this.arrivals = this.generateArrivals();
  }

  /** Stops new arrivals and waits until all work has ended. */
  async stop(): Promise<readonly WorkResult[]> {
    this.isStopped = true;
    await this.arrivals;
    return Promise.all(this.results);
  }

  private async generateArrivals(): Promise<void> {
    while (!this.isStopped) {
      this.results.push(this.run(this.results.length));
      await sleep(this.options.arrivalIntervalMilliseconds);
    }
  }

  private async run(index: number): Promise<WorkResult> {
    const {seed, retryOptions} = this.options;
    const work = randomWork(this.random, seed, index);
    const random = new SeededRandomSource(seed + index);
    const startedAt = Date.now();
    const caller = new RetryingCaller(
      this.client,
      work,
      this.entrypointCache,
      random,
      {
        ...defaultRetryingCallerOptions,
        ...retryOptions,
      },
    );
    const isCompleted = await caller.run();
    return {startedAt, isCompleted, submissions: caller.submissions};
  }
}
