import {EngineStep, ServiceExecution} from './observations.js';

/** Indexes the steps and executions of all ledgers by request and by business key. */
export class LedgerIndex {
  private updatedRequestIds = new Set<string>();
  private readonly stepsByRequest = new Map<string, EngineStep[]>();
  private readonly requestsByKey = new Map<string, Set<string>>();
  private readonly executionsByKey = new Map<string, ServiceExecution[]>();
  private readonly executionsByRequest = new Map<string, ServiceExecution[]>();

  constructor(
    steps: readonly EngineStep[] = [],
    executions: readonly ServiceExecution[] = [],
  ) {
    this.add(steps, executions);
  }

  add(
    steps: readonly EngineStep[],
    executions: readonly ServiceExecution[],
  ): void {
    for (const step of steps) {
      this.updatedRequestIds.add(step.requestId);
      getOrCreateList(this.stepsByRequest, step.requestId).push(step);
      if (step.key !== undefined) {
        const requests = this.requestsByKey.get(step.key) ?? new Set();
        this.requestsByKey.set(step.key, requests.add(step.requestId));
      }
    }
    for (const execution of executions) {
      getOrCreateList(this.executionsByKey, execution.key ?? '').push(
        execution,
      );
      getOrCreateList(this.executionsByRequest, execution.requestId).push(
        execution,
      );
    }
  }

  get requestIds(): readonly string[] {
    return [...this.stepsByRequest.keys()];
  }

  /** Returns the requests that got steps since the previous call. */
  takeUpdatedRequestIds(): readonly string[] {
    const updatedRequestIds = [...this.updatedRequestIds];
    this.updatedRequestIds = new Set();
    return updatedRequestIds;
  }

  steps(requestId: string): readonly EngineStep[] {
    return this.stepsByRequest.get(requestId) ?? [];
  }

  executions(requestId: string): readonly ServiceExecution[] {
    return this.executionsByRequest.get(requestId) ?? [];
  }

  /** Returns the start time and the request of each run under a business key. */
  runsOfKey(
    businessKey: string,
  ): ReadonlyArray<{readonly requestId: string; readonly beganAt: number}> {
    const requests = [...(this.requestsByKey.get(businessKey) ?? [])];
    const executions = this.executionsByKey.get(businessKey) ?? [];
    return [
      ...requests.map(requestId => ({
        requestId,
        beganAt: Math.min(...this.steps(requestId).map(step => step.at)),
      })),
      ...executions.map(({requestId, at}) => ({requestId, beganAt: at})),
    ];
  }

  /**
   * Returns the arrival time of each request that an upstream ran. Uses the time of receipt where it is known,
   * because a request may wait in the upstream's own queue for seconds before it runs.
   */
  arrivalTimesAt(upstream: string): readonly number[] {
    const arrivals: number[] = [];
    for (const steps of this.stepsByRequest.values()) {
      const stepsHere = steps.filter(step => step.upstream === upstream);
      if (stepsHere.length > 0) {
        arrivals.push(
          Math.min(...stepsHere.map(step => step.receivedAt ?? step.at)),
        );
      }
    }
    for (const executions of this.executionsByRequest.values()) {
      const executionsHere = executions.filter(
        entry => entry.upstream === upstream,
      );
      arrivals.push(...executionsHere.map(entry => entry.receivedAt));
    }
    return arrivals;
  }
}

function getOrCreateList<T>(map: Map<string, T[]>, key: string): T[] {
  const existing = map.get(key);
  if (existing !== undefined) {
    return existing;
  }
  const created: T[] = [];
  map.set(key, created);
  return created;
}
