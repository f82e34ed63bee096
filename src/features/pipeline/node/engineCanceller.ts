import {AttemptLedger} from '../common/attemptLedger.js';
import {callWithin, delay} from './boundedCall.js';
import {PipelineDependencies} from './pipelineDependencies.js';
import {StageSet} from './stageSet.js';

/** What a cancel call brought; `silent` when the engine did not answer. */
export type CancelOutcome = 'idle' | 'running' | 'silent';

/** Cancels a request's work at engines and enters what they report into its ledger. */
export class EngineCanceller {
  private readonly ledger: AttemptLedger;

  constructor(
    private readonly dependencies: PipelineDependencies,
    private readonly requestId: string,
    private readonly stages: StageSet,
  ) {
    this.ledger = stages.ledger;
  }

  /** Cancels at one engine, up to an epoch; resolves within the bound, never rejects. */
  async cancel(upstream: string, epoch: number): Promise<CancelOutcome> {
    const connection = this.stages.connectionOf(upstream);
    if (connection === undefined) {
      return 'silent';
    }
    const result = await callWithin(
      this.dependencies.clock,
      this.dependencies.settings.cancelMilliseconds,
      undefined,
      token => connection.cancel(this.requestId, epoch, token),
    );
    if (!result?.ok) {
      return 'silent';
    }
    const {state, begun} = result.value;
    const record = this.ledger.recordOf(upstream);
    if (state === 'idle') {
      record.idle(epoch, result.value);
    } else if (begun) {
      record.seenBegun();
    }
    return state;
  }

  /** Cancels at engines without waiting; repeats a bounded number of times until each is idle. */
  cancelInBackground(upstreams: readonly string[], epoch: number): void {
    for (const upstream of upstreams) {
      void this.repeat(upstream, epoch, this.cancel(upstream, epoch));
    }
  }

  /** Cancels at all engines that may hold something of the request; waits for the reports up to a bound. */
  async cancelAll(epoch: number, waitMilliseconds: number): Promise<void> {
    const upstreams = this.ledger.all
      .filter(record => record.mayHoldCache)
      .map(record => record.upstream);
    if (upstreams.length === 0) {
      return;
    }
    const reports = upstreams.map(upstream => {
      const report = this.cancel(upstream, epoch);
      void this.repeat(upstream, epoch, report);
      return report;
    });
    await callWithin(this.dependencies.clock, waitMilliseconds, undefined, () =>
      Promise.all(reports),
    );
  }

  /** A frozen or cut off engine would otherwise keep the sequence when it comes back. */
  private async repeat(
    upstream: string,
    epoch: number,
    first: Promise<CancelOutcome>,
  ): Promise<void> {
    const {clock, settings} = this.dependencies;
    const record = this.ledger.recordOf(upstream);
    let wait = settings.cancelRetryMilliseconds;
    let outcome = await first;
    for (let retry = 0; retry < settings.cancelRetries; retry++) {
      if (outcome === 'idle' || record.idleThrough >= epoch) {
        return;
      }
      await delay(clock, wait);
      wait *= 2;
      if (record.idleThrough < epoch) {
        outcome = await this.cancel(upstream, epoch);
      }
    }
  }
}
