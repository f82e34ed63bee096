import {
  CacheReference,
  EngineConnection,
  LayerRange,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {ChosenStage, StageObservation} from '../../routing/common/routing.js';
import {AttemptLedger} from '../common/attemptLedger.js';
import {isExportUsable} from '../common/exportPolicy.js';
import {ProgressWatch} from '../common/progressWatch.js';
import {PipelineDependencies} from './pipelineDependencies.js';
import {StageSession, UpstreamStatistics} from './stageSession.js';

/** The stages of a request: the present ones, and what remains known of former ones. */
export class StageSet {
  readonly ledger = new AttemptLedger();
  private readonly statistics = new Map<string, UpstreamStatistics>();
  private readonly connections = new Map<string, EngineConnection>();
  private readonly exports = new Map<string, CacheReference>();
  private present: readonly StageSession[] = [];

  constructor(
    private readonly dependencies: PipelineDependencies,
    private readonly watch: ProgressWatch,
  ) {}

  get sessions(): readonly StageSession[] {
    return this.present;
  }

  /**
   * Takes a new plan and returns the sessions that are not part of it.
   * Sessions of the same engine and layers go on with their KV cache, but for `failed`.
   */
  adopt(
    stages: readonly ChosenStage[],
    failed: StageSession | undefined,
  ): readonly StageSession[] {
    const former = this.present;
    this.present = stages.map(chosen => {
      const kept = former.find(
        session => session !== failed && session.matches(chosen),
      );
      return kept ?? this.open(chosen);
    });
    return former.filter(session => !this.present.includes(session));
  }

  /** Keeps an export unless a longer one of the same layers is known. */
  keepExport(reference: CacheReference): void {
    const key = layersKey(reference.layers);
    const known = this.exports.get(key);
    if (known === undefined || known.positions.to < reference.positions.to) {
      this.exports.set(key, reference);
    }
  }

  /** Forgets the export of layers whose engine gave a wrong answer. */
  dropExport(layers: LayerRange): void {
    this.exports.delete(layersKey(layers));
  }

  /** The latest known export that can restore a stage. */
  exportFor(chosen: ChosenStage): CacheReference | undefined {
    const reference = this.exports.get(layersKey(chosen.layers));
    const usable = reference && isExportUsable(reference, chosen.layers);
    return usable ? reference : undefined;
  }

  /** The connection to an upstream that the request has met. */
  connectionOf(upstream: string): EngineConnection | undefined {
    return this.connections.get(upstream);
  }

  /** Positions that every stage holds. */
  get coveredTo(): number {
    return Math.min(...this.present.map(session => session.coveredTo));
  }

  get observations(): readonly StageObservation[] {
    return [...this.statistics.values()].map(item => item.observation);
  }

  private open(chosen: ChosenStage): StageSession {
    return new StageSession(
      chosen,
      this.connect(chosen),
      this.ledger.recordOf(chosen.upstream),
      this.watch.knowledgeOf(chosen.upstream),
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
