import {RandomSource} from '../../src/base/common/randomSource.js';
import {sleep} from '../../test/support/sleep.js';
import {OfferedClass} from './bound.js';
import {CallerOutcome} from './caller.js';
import {FollowedOutcome, FollowingCaller} from './followingCaller.js';
import {promptOf} from './measuredSystem.js';
import {ArrivedRequest} from './recoveryTime.js';

/** One class of work at a steady rate until stopped, by callers that follow the protocol. */

/** A finished request. */
export interface SteadyRecord extends ArrivedRequest {
  readonly followed: FollowedOutcome;
  readonly correct: boolean;
}

/** What to offer. */
export interface SteadyPlan {
  readonly offered: OfferedClass;
  readonly model: string;
  readonly isCorrect: (
    prompt: string,
    outcome: CallerOutcome,
    offered: OfferedClass,
  ) => boolean;
}

/** Open-loop Poisson arrivals, each by one of the callers at random. */
export class SteadyLoad {
  private readonly ended: SteadyRecord[] = [];
  private readonly running = new Set<Promise<void>>();
  private stopped = false;
  private index = 0;

  constructor(
    private readonly plan: SteadyPlan,
    private readonly callers: readonly FollowingCaller[],
    private readonly random: RandomSource,
  ) {}

  /** Requests that ended so far. */
  get records(): readonly SteadyRecord[] {
    return this.ended;
  }

  /** Offers until stopped. */
  async run(): Promise<void> {
    let at = performance.now();
    while (!this.stopped) {
      at += this.nextGap();
      const left = at - performance.now();
      if (left > 0) {
        await sleep(left);
      }
      this.begin();
    }
  }

  /** Stops offering; resolves when all requests have ended. */
  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.running);
  }

  private nextGap(): number {
    const {requestsPerSecond} = this.plan.offered;
    return (-Math.log(1 - this.random.next()) * 1000) / requestsPerSecond;
  }

  private begin(): void {
    const caller = this.callers[this.random.nextInteger(this.callers.length)];
    const running = this.request(caller).finally(() => {
      this.running.delete(running);
    });
    this.running.add(running);
  }

  private async request(caller: FollowingCaller): Promise<void> {
    const {offered, model, isCorrect} = this.plan;
    const prompt = promptOf(offered, this.index++);
    const startedAt = performance.now();
    const call = {
      classOfWork: offered.name,
      model,
      prompt,
      maximumOutputTokens: offered.outputTokens,
      idempotencyKey: undefined,
      deadlineMilliseconds: undefined,
    };
    const followed = await caller.follow(call, offered.deadlineMilliseconds);
    const {last} = followed;
    const correct = last.whole && isCorrect(prompt, last, offered);
    const met = correct && meetsTargets(followed, offered);
    this.ended.push({startedAt, met, followed, correct});
  }
}

function meetsTargets(
  followed: FollowedOutcome,
  offered: OfferedClass,
): boolean {
  const {last, firstTokenMilliseconds, wholeMilliseconds} = followed;
  return (
    (firstTokenMilliseconds ?? Infinity) <= offered.firstTokenMilliseconds &&
    (last.betweenTokensMilliseconds ?? 0) <=
      offered.betweenTokensMilliseconds &&
    wholeMilliseconds <= offered.deadlineMilliseconds
  );
}
