import {
  CacheReference,
  EngineConnection,
  LayerRange,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {ChosenStage, StageObservation} from '../../routing/common/routing.js';
import {ExecutionTracker} from '../common/executionTracker.js';
import {isExportUsable} from '../common/exportPolicy.js';
import {StepTimeouts} from '../common/stepTimeouts.js';
import {PipelineDependencies} from './pipelineDependencies.js';
import {StageSession, UpstreamStatistics} from './stageSession.js';

/** The current stages of a request, and the records, statistics and exports of former ones. */
export class StageSet {
  readonly executionTracker = new ExecutionTracker();
  private readonly statistics = new Map<string, UpstreamStatistics>();
  private readonly connections = new Map<string, EngineConnection>();
  private readonly exports = new Map<string, CacheReference>();
  private currentSessions: readonly StageSession[] = [];

  constructor(
    private readonly dependencies: PipelineDependencies,
    private readonly timeouts: StepTimeouts,
  ) {}

  get sessions(): readonly StageSession[] {
    return this.currentSessions;
  }

  /**
   * Adopts a new plan and returns the sessions that are not part of it.
   * Sessions that match a stage of the plan keep their KV cache, except `failed`.
   */
  adopt(
    stages: readonly ChosenStage[],
    failed: StageSession | undefined,
  ): readonly StageSession[] {
    const former = this.currentSessions;
    this.currentSessions = stages.map(chosen => {
      const kept = former.find(
        session => session !== failed && session.matches(chosen),
      );
      return kept ?? this.open(chosen);
    });
    return former.filter(session => !this.currentSessions.includes(session));
  }

  /** Stores an export unless a longer one of the same layers is stored. */
  storeExport(reference: CacheReference): void {
    const key = layersKey(reference.layers);
    const known = this.exports.get(key);
    if (known === undefined || known.positions.to < reference.positions.to) {
      this.exports.set(key, reference);
    }
  }

  /** Discards the export of layers whose engine returned a wrong response. */
  forgetExport(layers: LayerRange): void {
    this.exports.delete(layersKey(layers));
  }

  /** The longest stored export that can restore a stage. */
  longestExportFor(chosen: ChosenStage): CacheReference | undefined {
    const reference = this.exports.get(layersKey(chosen.layers));
    const isUsable = reference && isExportUsable(reference, chosen.layers);
    return isUsable ? reference : undefined;
  }

  /** The connection to an upstream that is or was a stage of the request. */
  connectionOf(upstream: string): EngineConnection | undefined {
    return this.connections.get(upstream);
  }

  /** End of the positions that every stage holds in its KV cache. */
  get coveredTo(): number {
    return Math.min(...this.currentSessions.map(session => session.coveredTo));
  }

  get observations(): readonly StageObservation[] {
    return [...this.statistics.values()].map(item => item.observation);
  }

  private open(chosen: ChosenStage): StageSession {
    return new StageSession(
      chosen,
      this.connect(chosen),
      this.executionTracker.recordOf(chosen.upstream),
      this.timeouts.historyOf(chosen.upstream),
      this.statisticsOf(chosen.upstream),
    );
  }

  private connect(chosen: ChosenStage): EngineConnection {
    const connection = this.dependencies.connector.connect(
      chosen.upstream,
      chosen.address,
    );
    this.connections.set(chosen.upstream, connection);
    return connection;
  }

  private statisticsOf(upstream: string): UpstreamStatistics {
    const known = this.statistics.get(upstream);
    const statistics = known ?? new UpstreamStatistics(upstream);
    this.statistics.set(upstream, statistics);
    return statistics;
  }
}

function layersKey(layers: LayerRange): string {
  return `${layers.from}-${layers.to}`;
}
