import {EngineConnection} from '../../../infrastructure/engine/common/engineConnection.js';
import {ChosenStage, StageObservation} from '../../routing/common/routing.js';
import {EngineRecord} from '../common/attemptLedger.js';
import {UpstreamKnowledge} from '../common/progressWatch.js';

/** What one request saw of one upstream. */
export class UpstreamStatistics {
  private steps = 0;
  private decodeSteps = 0;
  private decodeTotal = 0;
  private linkTotal = 0;
  outcome: StageObservation['outcome'] = 'completed';

  constructor(readonly upstream: string) {}

  /** Takes one answered step; times in milliseconds. */
  observe(isDecode: boolean, compute: number, link: number): void {
    this.steps += 1;
    this.linkTotal += link;
    if (isDecode) {
      this.decodeSteps += 1;
      this.decodeTotal += compute;
    }
  }

  get observation(): StageObservation {
    return {
      upstream: this.upstream,
      outcome: this.outcome,
      decodeMilliseconds: meanOf(this.decodeTotal, this.decodeSteps),
      linkMilliseconds: meanOf(this.linkTotal, this.steps),
      steps: this.steps,
    };
  }
}

function meanOf(total: number, count: number): number | undefined {
  return count > 0 ? total / count : undefined;
}

/** One stage of a request's present pipeline. */
export class StageSession {
  /** Positions from 0 up to here are in the engine's KV cache, as far as is known. */
  coveredTo = 0;
  /** Whether an export is running or the engine declined one. */
  exportBlocked = false;

  constructor(
    readonly chosen: ChosenStage,
    readonly connection: EngineConnection,
    readonly record: EngineRecord,
    readonly knowledge: UpstreamKnowledge,
    readonly statistics: UpstreamStatistics,
  ) {}

  /** Whether this is the same engine with the same layers. */
  matches(other: ChosenStage): boolean {
    return (
      this.chosen.upstream === other.upstream &&
      this.chosen.version === other.version &&
      this.chosen.layers.from === other.layers.from &&
      this.chosen.layers.to === other.layers.to
    );
  }
}
