import {failure, Result, success} from '../../../base/common/result.js';
import {CacheReference} from '../../../infrastructure/engine/common/engineConnection.js';
import {isExportDue, ReplyProgress} from '../common/exportPolicy.js';
import {StepError} from '../common/stageFailure.js';
import {callWithTimeout} from './cancellableCall.js';
import {PipelineDependencies} from './pipelineDependencies.js';
import {RunState} from './runState.js';
import {StageSession} from './stageSession.js';
import {StageSet} from './stageSet.js';
import {StageFailure} from './passRunner.js';

/** Exports KV caches during generation and imports them on replacement stages. */
export class CacheTransfer {
  constructor(
    private readonly dependencies: PipelineDependencies,
    private readonly requestId: string,
    private readonly state: RunState,
    private readonly stages: StageSet,
  ) {}

  /** Starts exports on all stages if they are due, without waiting for them. */
  exportIfDue(progress: ReplyProgress): void {
    if (!isExportDue(progress, this.dependencies.settings.exports)) {
      return;
    }
    for (const session of this.stages.sessions) {
      if (!session.isExportBlocked) {
        void this.exportStage(session);
      }
    }
  }

  /** Imports caches on stages that hold none. A stage that declines the import recomputes its cache. */
  async restore(): Promise<Result<void, StageFailure>> {
    const results = await Promise.all(
      this.stages.sessions
        .filter(session => session.coveredTo === 0)
        .map(session => this.restoreStage(session)),
    );
    const failed = results.find(result => !result.ok);
    return failed ?? success(undefined);
  }

  private async exportStage(session: StageSession): Promise<void> {
    session.isExportBlocked = true;
    const result = await callWithTimeout(
      this.dependencies.clock,
      this.dependencies.settings.exportMilliseconds,
      this.state.token,
      token => session.connection.exportCache(this.requestId, token),
    );
    const isCurrent = this.stages.sessions.includes(session);
    if (result?.ok && isCurrent) {
      this.stages.storeExport(result.value);
      this.dependencies.metrics.count('pipeline.exports', 1);
    }
    session.isExportBlocked = result?.ok === false;
  }

  private async restoreStage(
    session: StageSession,
  ): Promise<Result<void, StageFailure>> {
    const reference = this.stages.longestExportFor(session.chosen);
    if (reference === undefined) {
      return success(undefined);
    }
    const limit = this.dependencies.settings.importMilliseconds;
    session.record.importRequested();
    const result = await callWithTimeout(
      this.dependencies.clock,
      limit,
      this.state.token,
      token =>
        session.connection.importCache(
          this.requestId,
          this.state.epoch,
          reference,
          token,
        ),
    );
    if (result === undefined) {
      const error: StepError = {kind: 'silent', afterMilliseconds: limit};
      return failure({session, error});
    }
    if (result.ok) {
      session.coveredTo = importedEnd(reference, result.value);
      return success(undefined);
    }
    const declineKinds = ['refused', 'cacheMissing', 'overloaded'];
    return declineKinds.includes(result.error.kind)
      ? success(undefined)
      : failure({session, error: result.error});
  }
}

/** End of the positions that an import covers; 0 if the response does not match the export. */
function importedEnd(
  reference: CacheReference,
  positions: CacheReference['positions'],
): number {
  const isMatch =
    positions.from === 0 && positions.to <= reference.positions.to;
  return isMatch ? positions.to : 0;
}
