import {failure, Result, success} from '../../../base/common/result.js';
import {CacheReference} from '../../../infrastructure/engine/common/engineConnection.js';
import {isExportDue, ReplyProgress} from '../common/exportPolicy.js';
import {StepError} from '../common/stageFailure.js';
import {callWithin} from './boundedCall.js';
import {PipelineDependencies} from './pipelineDependencies.js';
import {RunState} from './runState.js';
import {StageSession} from './stageSession.js';
import {StageSet} from './stageSet.js';
import {StageFailure} from './tokenStepper.js';

/** Exports KV caches beside the generation and imports them at replacements. */
export class CacheKeeper {
  constructor(
    private readonly dependencies: PipelineDependencies,
    private readonly requestId: string,
    private readonly state: RunState,
    private readonly stages: StageSet,
  ) {}

  /** Starts exports at all stages when they are due; does not wait for them. */
  exportWhenDue(progress: ReplyProgress): void {
    if (!isExportDue(progress, this.dependencies.settings.exports)) {
      return;
    }
    for (const session of this.stages.sessions) {
      if (!session.exportBlocked) {
        void this.exportStage(session);
      }
    }
  }

  /** Fills the caches of stages that hold nothing; a stage that declines is rebuilt instead. */
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
    session.exportBlocked = true;
    const result = await callWithin(
      this.dependencies.clock,
      this.dependencies.settings.exportMilliseconds,
      this.state.token,
      token => session.connection.exportCache(this.requestId, token),
    );
    const isCurrent = this.stages.sessions.includes(session);
    if (result?.ok && isCurrent) {
      this.stages.keepExport(result.value);
      this.dependencies.metrics.count('pipeline.exports', 1);
    }
    session.exportBlocked = result?.ok === false;
  }

  private async restoreStage(
    session: StageSession,
  ): Promise<Result<void, StageFailure>> {
    const reference = this.stages.exportFor(session.chosen);
    if (reference === undefined) {
      return success(undefined);
    }
    const limit = this.dependencies.settings.importMilliseconds;
    session.record.fill();
    const result = await callWithin(
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
      session.coveredTo = importedTo(reference, result.value);
      return success(undefined);
    }
    const declined = ['refused', 'cacheMissing', 'overloaded'];
    return declined.includes(result.error.kind)
      ? success(undefined)
      : failure({session, error: result.error});
  }
}

/** Positions that an import surely covers; none when the answer does not fit the export. */
function importedTo(
  reference: CacheReference,
  positions: CacheReference['positions'],
): number {
  const fits = positions.from === 0 && positions.to <= reference.positions.to;
  return fits ? positions.to : 0;
}
