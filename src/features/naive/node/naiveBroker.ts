import {CancellationSource} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {
  EngineConnector,
  EngineReport,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {SystemViewSource} from '../../membership/common/systemViewSource.js';
import {
  CapacityBroker,
  ChosenStage,
  ReservationReply,
  ServiceChoice,
  WorkEstimate,
} from '../../routing/common/routing.js';

/** How long an engine's report is reused. */
const REPORT_LIFETIME_MILLISECONDS = 5000;

/** Time-out of a report request to an engine. */
const REPORT_TIMEOUT_MILLISECONDS = 1000;

const RETRY_AFTER_MILLISECONDS = 1000;

interface CachedReport {
  readonly report: EngineReport;
  readonly receivedAt: number;
}

/** Baseline for comparison: round robin over the live upstreams without admission control, limits or health checks. */
export class NaiveBroker extends CapacityBroker {
  private readonly reports = new Map<string, CachedReport>();
  private nextReplicaIndex = 0;
  private count = 0;

  constructor(
    private readonly views: SystemViewSource,
    private readonly connector: EngineConnector,
    private readonly clock: Clock,
  ) {
    super();
  }

  override async reserve(
    work: WorkEstimate,
    model: string,
  ): Promise<ReservationReply> {
    const replicas = await this.replicasOf(model);
    const replica =
      replicas[this.nextReplicaIndex++ % Math.max(1, replicas.length)];
    if (replica === undefined) {
      return this.createRefusal();
    }
    this.count += 1;
    return {
      kind: 'reserved',
      reservation: {
        reservationId: `${work.requestId}-${this.count}`,
        cell: 'naive',
        stages: replica,
        prediction: {
          startsInMilliseconds: 0,
          firstTokenMilliseconds: 0,
          betweenTokensMilliseconds: 0,
          wholeMilliseconds: 0,
          figuresAgeMilliseconds: 0,
        },
        candidates: replicas.length,
        reason: 'round robin',
      },
    };
  }

  override replan(): Promise<ReservationReply> {
    return Promise.resolve(this.createRefusal());
  }

  override release(): void {}

  override reportFailure(): void {}

  override chooseService(service: string): ServiceChoice {
    const replicas = this.liveMembers('service').filter(
      member => member.group === service,
    );
    const replica =
      replicas[this.nextReplicaIndex++ % Math.max(1, replicas.length)];
    return replica === undefined
      ? {kind: 'none', retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS}
      : {
          kind: 'chosen',
          upstream: replica.id,
          address: replica.address,
          candidates: replicas.length,
        };
  }

  override releaseService(): void {}

  private createRefusal(): ReservationReply {
    return {
      kind: 'refused',
      reason: 'noUpstream',
      retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
    };
  }

  /** The stages, in layer order, of each replica that holds the complete model. */
  private async replicasOf(
    model: string,
  ): Promise<ReadonlyArray<readonly ChosenStage[]>> {
    const configuredModel = this.views.current?.configuration.models[model];
    const engines = this.liveMembers('engine');
    const reports = await Promise.all(
      engines.map(engine => this.reportOf(engine)),
    );
    const groups = new Map<string, ChosenStage[]>();
    engines.forEach((engine, index) => {
      const report = reports[index];
      if (
        report?.model === model &&
        report.version === configuredModel?.version
      ) {
        const {id: upstream, address, group} = engine;
        const stage = {upstream, address, layers: report.layers};
        groups.set(group, [...(groups.get(group) ?? []), stage]);
      }
    });
    return [...groups.values()]
      .map(stages => findStageChain(stages, configuredModel?.layerCount ?? 0))
      .filter(stages => stages !== undefined);
  }

  private async reportOf(
    engine: UpstreamMember,
  ): Promise<EngineReport | undefined> {
    const now = this.clock.monotonicMilliseconds();
    const known = this.reports.get(engine.id);
    if (known && now - known.receivedAt < REPORT_LIFETIME_MILLISECONDS) {
      return known.report;
    }
    const source = new CancellationSource();
    source.cancelAfter(REPORT_TIMEOUT_MILLISECONDS, 'no report in time');
    const connection = this.connector.connect(engine.id, engine.address);
    const report = await connection.report(source.token);
    source.dispose();
    if (report.ok) {
      this.reports.set(engine.id, {report: report.value, receivedAt: now});
    }
    return report.ok ? report.value : undefined;
  }

  private liveMembers(role: UpstreamMember['role']): readonly UpstreamMember[] {
    const upstreams = this.views.current?.upstreams ?? [];
    return upstreams.filter(
      upstream => upstream.role === role && upstream.state === 'live',
    );
  }
}

/** Finds stages that cover all layers once, in order; undefined if there are none. */
function findStageChain(
  stages: readonly ChosenStage[],
  layerCount: number,
): readonly ChosenStage[] | undefined {
  const chain: ChosenStage[] = [];
  let next = 0;
  while (next < layerCount) {
    const stage = stages.find(({layers}) => layers.from === next);
    if (stage === undefined || stage.layers.to <= next) {
      return undefined;
    }
    chain.push(stage);
    next = stage.layers.to;
  }
  return chain;
}
