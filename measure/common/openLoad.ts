import {RandomSource} from '../../src/base/common/randomSource.js';
import {OfferedClass} from './bound.js';
import {Caller, CallerOutcome} from './caller.js';

/** Open-loop load: arrivals don't wait for replies, as callers in a rush don't wait for each other. */

/** A client account and its part of the arrivals. */
export interface OfferedAccount {
  readonly name: string;
  readonly bearerKey: string;
  /** Part of all arrivals, 0 to 1. */
  readonly share: number;
}

/** What to offer. */
export interface LoadPlan {
  readonly classes: readonly OfferedClass[];
  readonly accounts: readonly OfferedAccount[];
  readonly model: string;
  readonly warmUpMilliseconds: number;
  readonly countedMilliseconds: number;
  /** Makes the prompt of the n-th request; its words are its tokens. */
  readonly prompt: (offered: OfferedClass, index: number) => string;
  /** Whether the tokens are the right reply. */
  readonly isCorrect: (
    prompt: string,
    outcome: CallerOutcome,
    offered: OfferedClass,
  ) => boolean;
}

/** One finished request of a load. */
export interface LoadRecord {
  readonly classOfWork: string;
  readonly clientAccount: string;
  readonly counted: boolean;
  readonly startedAt: number;
  readonly outcome: CallerOutcome;
  readonly correct: boolean;
  readonly onTime: boolean;
}

interface Arrival {
  readonly at: number;
  readonly offered: OfferedClass;
  readonly account: OfferedAccount;
  readonly index: number;
}

/** Offers the plan to the callers in turn and resolves when all replies have ended. */
export async function offerLoad(
  plan: LoadPlan,
  callers: readonly Caller[],
  random: RandomSource,
): Promise<readonly LoadRecord[]> {
  const start = performance.now();
  const running: Array<Promise<LoadRecord>> = [];
  for (const arrival of planArrivals(plan, random)) {
    await sleepUntil(start + arrival.at);
    const caller = callers[arrival.index % callers.length];
    running.push(makeRequest(plan, arrival, caller));
  }
  return Promise.all(running);
}

/** Poisson arrivals over the warm-up and the counted time, in order. */
function planArrivals(
  plan: LoadPlan,
  random: RandomSource,
): readonly Arrival[] {
  const until = plan.warmUpMilliseconds + plan.countedMilliseconds;
  const arrivals: Array<Omit<Arrival, 'index'>> = [];
  for (const offered of plan.classes) {
    let at = nextGap(offered, random);
    while (at < until) {
      arrivals.push({at, offered, account: pickAccount(plan.accounts, random)});
      at += nextGap(offered, random);
    }
  }
  arrivals.sort((left, right) => left.at - right.at);
  return arrivals.map((arrival, index) => ({...arrival, index}));
}

function nextGap(offered: OfferedClass, random: RandomSource): number {
  return (-Math.log(1 - random.next()) * 1000) / offered.requestsPerSecond;
}

function pickAccount(
  accounts: readonly OfferedAccount[],
  random: RandomSource,
): OfferedAccount {
  let left = random.next();
  for (const account of accounts) {
    left -= account.share;
    if (left < 0) {
      return account;
    }
  }
  return accounts[accounts.length - 1];
}

async function makeRequest(
  plan: LoadPlan,
  arrival: Arrival,
  caller: Caller,
): Promise<LoadRecord> {
  const {offered, account} = arrival;
  const prompt = plan.prompt(offered, arrival.index);
  const startedAt = performance.now();
  const outcome = await caller.stream({
    classOfWork: offered.name,
    bearerKey: account.bearerKey,
    model: plan.model,
    prompt,
    maximumOutputTokens: offered.outputTokens,
    idempotencyKey: undefined,
    deadlineMilliseconds: undefined,
  });
  const correct = outcome.whole && plan.isCorrect(prompt, outcome, offered);
  return {
    classOfWork: offered.name,
    clientAccount: account.name,
    counted: arrival.at >= plan.warmUpMilliseconds,
    startedAt,
    outcome,
    correct,
    onTime: correct && isOnTime(outcome, offered),
  };
}

function isOnTime(outcome: CallerOutcome, offered: OfferedClass): boolean {
  return (
    (outcome.firstTokenMilliseconds ?? Infinity) <=
      offered.firstTokenMilliseconds &&
    (outcome.betweenTokensMilliseconds ?? 0) <=
      offered.betweenTokensMilliseconds &&
    outcome.wholeMilliseconds <= offered.deadlineMilliseconds
  );
}

async function sleepUntil(at: number): Promise<void> {
  const left = at - performance.now();
  if (left > 0) {
    await new Promise(resolve => setTimeout(resolve, left));
  }
}
