import {RandomSource} from '../../src/base/common/randomSource.js';
import {sleep} from '../../test/support/sleep.js';
import {OfferedClass} from './throughputBound.js';
import {CallerOutcome} from './caller.js';
import {RetriedOutcome, RetryingCaller} from './retryingCaller.js';
import {createPrompt} from './measuredSystem.js';
import {TimedRequest} from './recoveryTime.js';

/** Load of one class of work at a constant mean rate until stopped, by callers that follow the protocol. */

/** A finished request, with the outcome of all its attempts. */
export interface SteadyLoadRecord extends TimedRequest {
  readonly callOutcome: RetriedOutcome;
  readonly isCorrect: boolean;
}

/** Describes the load to generate. */
export interface SteadyLoadPlan {
  readonly offered: OfferedClass;
  readonly model: string;
  readonly isCorrectReply: (
    prompt: string,
    outcome: CallerOutcome,
    offered: OfferedClass,
  ) => boolean;
}

/** Generates open-loop Poisson arrivals, each sent by a random caller. */
export class SteadyLoad {
  private readonly ended: SteadyLoadRecord[] = [];
  private readonly running = new Set<Promise<void>>();
  private stopped = false;
  private index = 0;

  constructor(
    private readonly plan: SteadyLoadPlan,
    private readonly callers: readonly RetryingCaller[],
    private readonly random: RandomSource,
  ) {}

  /** Requests that have ended so far. */
  get records(): readonly SteadyLoadRecord[] {
    return this.ended;
  }

  /** Sends requests until stopped. */
  async run(): Promise<void> {
    let arrivalAt = performance.now();
    while (!this.stopped) {
      arrivalAt += this.nextArrivalInterval();
      const remaining = arrivalAt - performance.now();
      if (remaining > 0) {
        await sleep(remaining);
      }
      this.startRequest();
    }
  }

  /** Stops sending requests and resolves when all of them have ended. */
  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.running);
  }

  private nextArrivalInterval(): number {
    const {requestsPerSecond} = this.plan.offered;
    return (-Math.log(1 - this.random.next()) * 1000) / requestsPerSecond;
  }

  private startRequest(): void {
    const caller = this.callers[this.random.nextInteger(this.callers.length)];
    const pending = this.request(caller).finally(() => {
      this.running.delete(pending);
    });
    this.running.add(pending);
  }

  private async request(caller: RetryingCaller): Promise<void> {
    const {offered, model, isCorrectReply} = this.plan;
    const prompt = createPrompt(offered, this.index++);
    const startedAt = performance.now();
    const call = {
      classOfWork: offered.name,
      model,
      prompt,
      maximumOutputTokens: offered.outputTokens,
      idempotencyKey: undefined,
      deadlineMilliseconds: undefined,
    };
    const callOutcome = await caller.callWithRetries(
      call,
      offered.deadlineMilliseconds,
    );
    const {lastAttempt} = callOutcome;
    const isCorrect =
      lastAttempt.whole && isCorrectReply(prompt, lastAttempt, offered);
    const hasMetTargets = isCorrect && meetsTargets(callOutcome, offered);
    this.ended.push({startedAt, hasMetTargets, callOutcome, isCorrect});
  }
}

function meetsTargets(outcome: RetriedOutcome, offered: OfferedClass): boolean {
  const {lastAttempt, firstTokenMilliseconds, wholeMilliseconds} = outcome;
  return (
    (firstTokenMilliseconds ?? Infinity) <= offered.firstTokenMilliseconds &&
    (lastAttempt.betweenTokensMilliseconds ?? 0) <=
      offered.betweenTokensMilliseconds &&
    wholeMilliseconds <= offered.deadlineMilliseconds
  );
}
