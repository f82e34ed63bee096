import {RandomSource} from '../../src/base/common/randomSource.js';
import {OfferedClass} from './throughputBound.js';
import {Caller, CallerOutcome} from './caller.js';

/** Open-loop load: requests arrive independently of earlier replies, as from independent callers. */

/** A client account and its share of the arrivals. */
export interface OfferedAccount {
  readonly name: string;
  readonly bearerKey: string;
  /** Share of all arrivals, 0 to 1. */
  readonly share: number;
}

/** Describes the load to generate. */
export interface LoadPlan {
  readonly classes: readonly OfferedClass[];
  readonly accounts: readonly OfferedAccount[];
  readonly model: string;
  readonly warmUpMilliseconds: number;
  readonly countedMilliseconds: number;
  /** Creates the prompt of the request with the given index; each word is one token. */
  readonly prompt: (offered: OfferedClass, index: number) => string;
  readonly isCorrectReply: (
    prompt: string,
    outcome: CallerOutcome,
    offered: OfferedClass,
  ) => boolean;
}

/** A finished request of a load. */
export interface LoadRecord {
  readonly classOfWork: string;
  readonly clientAccount: string;
  /** False for requests of the warm-up. */
  readonly isCounted: boolean;
  /** Monotonic milliseconds. */
  readonly startedAt: number;
  readonly outcome: CallerOutcome;
  readonly isCorrect: boolean;
  readonly isOnTime: boolean;
}

interface Arrival {
  readonly offsetMilliseconds: number;
  readonly offered: OfferedClass;
  readonly account: OfferedAccount;
  readonly index: number;
}

/** Sends the planned requests through the callers in rotation and resolves when all of them have ended. */
export async function generateLoad(
  plan: LoadPlan,
  callers: readonly Caller[],
  random: RandomSource,
): Promise<readonly LoadRecord[]> {
  const start = performance.now();
  const running: Array<Promise<LoadRecord>> = [];
  for (const arrival of scheduleArrivals(plan, random)) {
    await sleepUntil(start + arrival.offsetMilliseconds);
    const caller = callers[arrival.index % callers.length];
    running.push(sendRequest(plan, arrival, caller));
  }
  return Promise.all(running);
}

/** Schedules Poisson arrivals over the warm-up and the counted time, ordered by time. */
function scheduleArrivals(
  plan: LoadPlan,
  random: RandomSource,
): readonly Arrival[] {
  const endMilliseconds = plan.warmUpMilliseconds + plan.countedMilliseconds;
  const arrivals: Array<Omit<Arrival, 'index'>> = [];
  for (const offered of plan.classes) {
    let offsetMilliseconds = nextArrivalInterval(offered, random);
    while (offsetMilliseconds < endMilliseconds) {
      arrivals.push({
        offsetMilliseconds,
        offered,
        account: pickAccount(plan.accounts, random),
      });
      offsetMilliseconds += nextArrivalInterval(offered, random);
    }
  }
  arrivals.sort(
    (left, right) => left.offsetMilliseconds - right.offsetMilliseconds,
  );
  return arrivals.map((arrival, index) => ({...arrival, index}));
}

function nextArrivalInterval(
  offered: OfferedClass,
  random: RandomSource,
): number {
  return (-Math.log(1 - random.next()) * 1000) / offered.requestsPerSecond;
}

function pickAccount(
  accounts: readonly OfferedAccount[],
  random: RandomSource,
): OfferedAccount {
  let remaining = random.next();
  for (const account of accounts) {
    remaining -= account.share;
    if (remaining < 0) {
      return account;
    }
  }
  return accounts[accounts.length - 1];
}

async function sendRequest(
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
  const isCorrect =
    outcome.whole && plan.isCorrectReply(prompt, outcome, offered);
  return {
    classOfWork: offered.name,
    clientAccount: account.name,
    isCounted: arrival.offsetMilliseconds >= plan.warmUpMilliseconds,
    startedAt,
    outcome,
    isCorrect,
    isOnTime: isCorrect && meetsTargets(outcome, offered),
  };
}

function meetsTargets(outcome: CallerOutcome, offered: OfferedClass): boolean {
  return (
    (outcome.firstTokenMilliseconds ?? Infinity) <=
      offered.firstTokenMilliseconds &&
    (outcome.betweenTokensMilliseconds ?? 0) <=
      offered.betweenTokensMilliseconds &&
    outcome.wholeMilliseconds <= offered.deadlineMilliseconds
  );
}

async function sleepUntil(at: number): Promise<void> {
  const remaining = at - performance.now();
  if (remaining > 0) {
    await new Promise(resolve => setTimeout(resolve, remaining));
  }
}
