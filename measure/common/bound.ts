import {lessEq, Model, solve} from 'yalps';

/** The most on-time work that owned capacity can carry, as a linear program. */

/** A replica of a model: stages alike, each with as many sequence slots. */
export interface ReplicaCapacity {
  readonly replica: string;
  readonly stages: number;
  readonly sequenceLimit: number;
  /** Milliseconds of one decode step at one stage. */
  readonly decodeMilliseconds: number;
  readonly prefillMillisecondsPerToken: number;
  /** Milliseconds of one hop. */
  readonly linkMilliseconds: number;
}

/** A class of work as offered. */
export interface OfferedClass {
  readonly name: string;
  readonly requestsPerSecond: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly firstTokenMilliseconds: number;
  readonly betweenTokensMilliseconds: number;
  readonly deadlineMilliseconds: number;
}

/** What the best possible router could finish on time. */
export interface Bound {
  /** Output tokens a second over all classes. */
  readonly tokensPerSecond: number;
  /** Requests a second by class in that optimum. */
  readonly requestsPerSecond: Readonly<Record<string, number>>;
}

interface PipelineTimes {
  readonly firstToken: number;
  readonly betweenTokens: number;
  readonly whole: number;
}

/** Maximises on-time output tokens over the owned capacity; work that can't be on time anywhere is left out. */
export function solveBound(
  replicas: readonly ReplicaCapacity[],
  classes: readonly OfferedClass[],
): Bound {
  const solution = solve(createModel(replicas, classes));
  const requestsPerSecond: Record<string, number> = {};
  for (const offered of classes) {
    requestsPerSecond[offered.name] = sumOfClass(
      solution.variables,
      offered.name,
    );
  }
  return {tokensPerSecond: Math.max(0, solution.result), requestsPerSecond};
}

/** Times of one class on an idle replica. */
export function idleTimes(
  replica: ReplicaCapacity,
  offered: OfferedClass,
): PipelineTimes {
  const hop = replica.linkMilliseconds;
  const prefillHop = replica.prefillMillisecondsPerToken * offered.promptTokens;
  const firstToken = replica.stages * (prefillHop + hop);
  const betweenTokens = replica.stages * (replica.decodeMilliseconds + hop);
  const whole = firstToken + betweenTokens * (offered.outputTokens - 1);
  return {firstToken, betweenTokens, whole};
}

function createModel(
  replicas: readonly ReplicaCapacity[],
  classes: readonly OfferedClass[],
): Model {
  const constraints: Record<string, ReturnType<typeof lessEq>> = {};
  const variables: Record<string, Record<string, number>> = {};
  for (const offered of classes) {
    constraints[`offered ${offered.name}`] = lessEq(offered.requestsPerSecond);
  }
  for (const replica of replicas) {
    constraints[`slots ${replica.replica}`] = lessEq(replica.sequenceLimit);
    for (const offered of classes) {
      const times = idleTimes(replica, offered);
      if (!isOnTime(times, offered)) {
        continue;
      }
      variables[`${offered.name}|${replica.replica}`] = {
        tokens: offered.outputTokens,
        [`offered ${offered.name}`]: 1,
        [`slots ${replica.replica}`]: times.whole / 1000,
      };
    }
  }
  return {direction: 'maximize', objective: 'tokens', constraints, variables};
}

function isOnTime(times: PipelineTimes, offered: OfferedClass): boolean {
  return (
    times.firstToken <= offered.firstTokenMilliseconds &&
    times.betweenTokens <= offered.betweenTokensMilliseconds &&
    times.whole <= offered.deadlineMilliseconds
  );
}

function sumOfClass(
  variables: ReadonlyArray<[string, number]>,
  name: string,
): number {
  let sum = 0;
  for (const [key, value] of variables) {
    if (key.startsWith(`${name}|`)) {
      sum += value;
    }
  }
  return sum;
}
