import {neverCancelled} from '../../../base/common/cancellation.js';
import {AttemptLedger} from '../common/attemptLedger.js';
import {callWithin} from './boundedCall.js';
import {PipelineDependencies} from './pipelineDependencies.js';
import {StageSet} from './stageSet.js';

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

  /** Cancels at one engine, up to an epoch; resolves within the bound with whether it answered. */
  async cancel(upstream: string, epoch: number): Promise<boolean> {
    const connection = this.stages.connectionOf(upstream);
    if (connection === undefined) {
      return false;
    }
    const result = await callWithin(
      this.dependencies.clock,
      this.dependencies.settings.cancelMilliseconds,
      neverCancelled,
      token => connection.cancel(this.requestId, epoch, token),
    );
    if (!result?.ok) {
      return false;
    }
    const record = this.ledger.recordOf(upstream);
    if (result.value.state === 'idle') {
      record.idle(epoch, result.value.begun);
    } else if (result.value.begun) {
      record.seenBegun();
    }
    return true;
  }

  /** Cancels at engines without waiting. */
  cancelInBackground(upstreams: readonly string[], epoch: number): void {
    upstreams.forEach(upstream => void this.cancel(upstream, epoch));
  }

  /** Cancels at all engines that may hold something of the request; waits for the reports up to a bound. */
  async cancelAll(epoch: number, waitMilliseconds: number): Promise<void> {
    const upstreams = this.ledger.all
      .filter(record => record.begun || record.inDoubt)
      .map(record => record.upstream);
    if (upstreams.length === 0) {
      return;
    }
    const reports = upstreams.map(upstream => this.cancel(upstream, epoch));
    await callWithin(
      this.dependencies.clock,
      waitMilliseconds,
      neverCancelled,
      () => Promise.all(reports),
    );
  }
}
