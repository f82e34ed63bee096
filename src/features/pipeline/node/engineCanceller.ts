import {ExecutionTracker} from '../common/executionTracker.js';
import {callWithTimeout, delay} from './cancellableCall.js';
import {PipelineDependencies} from './pipelineDependencies.js';
import {StageSet} from './stageSet.js';

/** State that an engine reported for a cancel call; `silent` if it did not respond or the call failed. */
export type CancelOutcome = 'idle' | 'running' | 'silent';

/** Cancels a request's work on engines and records the states that they report. */
export class EngineCanceller {
  private readonly executionTracker: ExecutionTracker;

  constructor(
    private readonly dependencies: PipelineDependencies,
    private readonly requestId: string,
    private readonly stages: StageSet,
  ) {
    this.executionTracker = stages.executionTracker;
  }

  /** Cancels all work up to an epoch on one engine; resolves within the cancel time-out and never rejects. */
  async cancel(upstream: string, epoch: number): Promise<CancelOutcome> {
    const connection = this.stages.connectionOf(upstream);
    if (connection === undefined) {
      return 'silent';
    }
    const result = await callWithTimeout(
      this.dependencies.clock,
      this.dependencies.settings.cancelMilliseconds,
      undefined,
      token => connection.cancel(this.requestId, epoch, token),
    );
    if (!result?.ok) {
      return 'silent';
    }
    const {state, begun} = result.value;
    const record = this.executionTracker.recordOf(upstream);
    if (state === 'idle') {
      record.idle(epoch, result.value);
    } else if (begun) {
      record.reportedBegun();
    }
    return state;
  }

  /** Starts cancelling on engines without waiting; retries a limited number of times until each is idle. */
  cancelInBackground(upstreams: readonly string[], epoch: number): void {
    for (const upstream of upstreams) {
      void this.repeatUntilIdle(upstream, epoch, this.cancel(upstream, epoch));
    }
  }

  /** Cancels on all engines that may hold a cache of the request; waits for the reports up to a limit. */
  async cancelAll(epoch: number, waitMilliseconds: number): Promise<void> {
    const upstreams = this.executionTracker.all
      .filter(record => record.mayHoldCache)
      .map(record => record.upstream);
    if (upstreams.length === 0) {
      return;
    }
    const reports = upstreams.map(upstream => {
      const report = this.cancel(upstream, epoch);
      void this.repeatUntilIdle(upstream, epoch, report);
      return report;
    });
    await callWithTimeout(
      this.dependencies.clock,
      waitMilliseconds,
      undefined,
      () => Promise.all(reports),
    );
  }

  /** Retries, since a frozen or disconnected engine would otherwise still hold the sequence when it returns. */
  private async repeatUntilIdle(
    upstream: string,
    epoch: number,
    first: Promise<CancelOutcome>,
  ): Promise<void> {
    const {clock, settings} = this.dependencies;
    const record = this.executionTracker.recordOf(upstream);
    let pauseMilliseconds = settings.cancelRetryMilliseconds;
    let outcome = await first;
    for (let retry = 0; retry < settings.cancelRetries; retry++) {
      if (outcome === 'idle' || record.idleThroughEpoch >= epoch) {
        return;
      }
      await delay(clock, pauseMilliseconds);
      pauseMilliseconds *= 2;
      if (record.idleThroughEpoch < epoch) {
        outcome = await this.cancel(upstream, epoch);
      }
    }
  }
}
