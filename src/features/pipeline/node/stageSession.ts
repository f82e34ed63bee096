import {EngineConnection} from '../../../infrastructure/engine/common/engineConnection.js';
import {ChosenStage, StageObservation} from '../../routing/common/routing.js';
import {EngineExecutionRecord} from '../common/executionTracker.js';
import {UpstreamHistory} from '../common/stepTimeouts.js';

/** Observations that one request made of one upstream. */
export class UpstreamStatistics {
  private steps = 0;
  private decodeSteps = 0;
  private totalDecodeMilliseconds = 0;
  private totalLinkMilliseconds = 0;
  outcome: StageObservation['outcome'] = 'completed';

  constructor(readonly upstream: string) {}

  /** Adds one completed step. */
  observe(
    isDecode: boolean,
    computeMilliseconds: number,
    linkTimeMilliseconds: number,
  ): void {
    this.steps += 1;
    this.totalLinkMilliseconds += linkTimeMilliseconds;
    if (isDecode) {
      this.decodeSteps += 1;
      this.totalDecodeMilliseconds += computeMilliseconds;
    }
  }

  get observation(): StageObservation {
    return {
      upstream: this.upstream,
      outcome: this.outcome,
      decodeMilliseconds: meanOf(
        this.totalDecodeMilliseconds,
        this.decodeSteps,
      ),
      linkMilliseconds: meanOf(this.totalLinkMilliseconds, this.steps),
      steps: this.steps,
    };
  }
}

function meanOf(total: number, count: number): number | undefined {
  return count > 0 ? total / count : undefined;
}

/** One stage of the pipeline that a request currently runs on. */
export class StageSession {
  /** End of the positions, from 0, that the engine's KV cache is known to hold. */
  coveredTo = 0;
  /** True while an export is running and after the engine has declined one. */
  isExportBlocked = false;

  constructor(
    readonly chosen: ChosenStage,
    readonly connection: EngineConnection,
    readonly record: EngineExecutionRecord,
    readonly history: UpstreamHistory,
    readonly statistics: UpstreamStatistics,
  ) {}

  /** Whether the other stage is the same engine with the same layers and model version. */
  matches(other: ChosenStage): boolean {
    return (
      this.chosen.upstream === other.upstream &&
      this.chosen.version === other.version &&
      this.chosen.layers.from === other.layers.from &&
      this.chosen.layers.to === other.layers.to
    );
  }
}
