import {lessEq, Model, solve} from 'yalps';

/** Upper bound of on-time throughput for a given engine capacity, computed as a linear program. */

/** A replica of a model, whose stages are identical. */
export interface ReplicaCapacity {
  readonly replica: string;
  readonly stages: number;
  /** Sequences that a stage can hold at a time. */
  readonly sequenceLimit: number;
  /** Duration of one decode step at one stage. */
  readonly decodeMilliseconds: number;
  readonly prefillMillisecondsPerToken: number;
  /** Duration of one network hop between stages. */
  readonly linkMilliseconds: number;
}

/** A class of work: its arrival rate, request size and latency targets. */
export interface OfferedClass {
  readonly name: string;
  readonly requestsPerSecond: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly firstTokenMilliseconds: number;
  readonly betweenTokensMilliseconds: number;
  readonly deadlineMilliseconds: number;
}

/** On-time throughput of an optimal router. */
export interface ThroughputBound {
  /** Output tokens per second over all classes. */
  readonly tokensPerSecond: number;
  /** On-time requests per second of each class at the optimum. */
  readonly requestsPerSecond: Readonly<Record<string, number>>;
}

interface PipelineTimes {
  readonly firstToken: number;
  readonly betweenTokens: number;
  readonly whole: number;
}

/** Maximizes on-time output tokens. Excludes a class from replicas that can't meet its targets even when idle. */
export function solveThroughputBound(
  replicas: readonly ReplicaCapacity[],
  classes: readonly OfferedClass[],
): ThroughputBound {
  const solution = solve(createLinearProgram(replicas, classes));
  const requestsPerSecond: Record<string, number> = {};
  for (const offered of classes) {
    requestsPerSecond[offered.name] = sumClassRates(
      solution.variables,
      offered.name,
    );
  }
  return {tokensPerSecond: Math.max(0, solution.result), requestsPerSecond};
}

/** Estimates the token times, in milliseconds, of a request of the class on an idle replica. */
export function estimateIdleTimes(
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

function createLinearProgram(
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
      const times = estimateIdleTimes(replica, offered);
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

function sumClassRates(
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
