import {
  RandomSource,
  SeededRandomSource,
} from '../../src/base/common/randomSource.js';
import {sleep} from '../support/sleep.js';
import {AddressBook} from './addressBook.js';
import {defaultFollowerOptions, Follower, FollowerOptions} from './follower.js';
import {Submission} from './observations.js';
import {ProofCaller} from './proofCaller.js';
import {randomWork} from './work.js';

/** One piece of work of a load, with what became of it. */
export interface LoadedWork {
  readonly startedAt: number;
  readonly isDone: boolean;
  readonly submissions: readonly Submission[];
}

/** How a load is made. */
export interface LoadOptions {
  readonly seed: number;
  /** Time between arrivals, whatever becomes of earlier ones. */
  readonly gapMilliseconds: number;
  readonly follower?: Partial<FollowerOptions>;
}

/** Work that arrives steadily, of callers that share an address book, until it is stopped. */
export class SteadyLoad {
  private readonly works: Array<Promise<LoadedWork>> = [];
  private readonly random: RandomSource;
  private isStopped = false;
  private readonly arriving: Promise<void>;

  constructor(
    private readonly caller: ProofCaller,
    private readonly book: AddressBook,
    private readonly options: LoadOptions,
  ) {
    this.random = new SeededRandomSource(options.seed);
    this.arriving = this.arrive();
  }

  /** Ends the arrivals and waits for everything to end. */
  async stop(): Promise<readonly LoadedWork[]> {
    this.isStopped = true;
    await this.arriving;
    return Promise.all(this.works);
  }

  private async arrive(): Promise<void> {
    while (!this.isStopped) {
      this.works.push(this.run(this.works.length));
      await sleep(this.options.gapMilliseconds);
    }
  }

  private async run(number: number): Promise<LoadedWork> {
    const {seed, follower: options} = this.options;
    const work = randomWork(this.random, seed, number);
    const random = new SeededRandomSource(seed + number);
    const startedAt = Date.now();
    const follower = new Follower(this.caller, work, this.book, random, {
      ...defaultFollowerOptions,
      ...options,
    });
    const isDone = await follower.run();
    return {startedAt, isDone, submissions: follower.submissions};
  }
}
