import {SeededRandomSource} from '../../../../base/common/randomSource.js';
import {fairLevel} from '../../common/maxMinShare.js';
import {
  CellView,
  ChosenStage,
  RoutingPolicy,
  StageView,
} from '../../common/routing.js';
import {ShareAccounting} from '../../common/shareAccounting.js';
import {
  Arrival,
  betweenTargetOf,
  CLASSES,
  makeArrivals,
  PREFILL_MILLISECONDS_PER_TOKEN,
  QueueCase,
  speedOfReplica,
  STEP_MILLISECONDS,
  slotMillisecondsOf,
} from './queueWorkload.js';

/** Result of a policy in one case. Work is measured in milliseconds of a slot of speed 1. */
export interface QueueResult {
  readonly onTimeRequests: number;
  /** Ratio of on-time work to its upper bound, the lesser of offered work and capacity. */
  readonly ratio: number;
  /** Lowest ratio of on-time work to max-min share among the small accounts. */
  readonly worstSmall: number;
  /** Mean of that ratio over the small accounts. */
  readonly meanSmall: number;
  /** Ratio of on-time work to max-min share of the large account. */
  readonly large: number;
  /** Share of the admitted requests that missed a target. */
  readonly lateShare: number;
}

/** Share of a run in which the cell fills; its work is excluded from shares and ratios. */
const WARM_UP_SHARE = 0.2;

interface Residency {
  readonly predicted: number;
  readonly actual: number;
}

function sumOf(values: Iterable<number>): number {
  return [...values].reduce((a, b) => a + b, 0);
}

/** One cell whose slots are assigned in order of arrival. Late work is cancelled at its deadline. */
class QueueModel {
  private readonly random: SeededRandomSource;
  private readonly resident = new Map<string, readonly Residency[]>();

  constructor(private readonly queueCase: QueueCase) {
    this.random = new SeededRandomSource(queueCase.seed + 1);
  }

  view(now: number): CellView {
    const {replicas, stages} = this.queueCase;
    const chains = [...Array(replicas).keys()].map(replica =>
      [...Array(stages).keys()].map(stage => this.stage(replica, stage, now)),
    );
    const names = {cell: 'cell', model: 'model', version: '1'};
    return {...names, layerCount: stages, stages: chains.flat()};
  }

  /** Assigns slots to an arrival; returns whether it meets its targets. */
  place(
    arrival: Arrival,
    chosen: readonly ChosenStage[],
    predictedMilliseconds: number,
  ): boolean {
    const {arrivedAt} = arrival;
    const residencies = chosen.map(stage => this.resident.get(stage.upstream)!);
    const start = Math.max(
      arrivedAt,
      ...residencies.map(others => this.freeAt(others, arrivedAt)),
    );
    const slowdown = sumOf(
      chosen.map(stage => 1 / speedOfReplica(parseInt(stage.upstream))),
    );
    const jitter =
      1 + this.queueCase.error * 0.1 * (2 * this.random.next() - 1);
    const factor = (slowdown / chosen.length) * jitter;
    const firstTokenAt =
      start + arrival.promptTokens * PREFILL_MILLISECONDS_PER_TOKEN * factor;
    const finish =
      firstTokenAt + (arrival.actualOutput - 1) * STEP_MILLISECONDS * factor;
    const deadline = arrivedAt + arrival.deadlineWithinMilliseconds;
    const actual = Math.min(finish, Math.max(deadline, start));
    chosen.forEach(({upstream}, index) => {
      const entry = {predicted: arrivedAt + predictedMilliseconds, actual};
      this.resident.set(upstream, [...residencies[index]!, entry]);
    });
    const isFirstTokenInTime =
      firstTokenAt <= arrivedAt + arrival.firstTokenWithinMilliseconds;
    const areTokensInTime =
      STEP_MILLISECONDS * factor <= arrival.betweenTokensTargetMilliseconds;
    return isFirstTokenInTime && areTokensInTime && finish <= deadline;
  }

  private freeAt(residencies: readonly Residency[], now: number): number {
    const ascending = residencies
      .map(entry => entry.actual)
      .sort((a, b) => a - b);
    return ascending[ascending.length - this.queueCase.slots] ?? now;
  }

  private stage(replica: number, stage: number, now: number): StageView {
    const upstream = `${replica}.${stage}`;
    const share = this.queueCase.stages * speedOfReplica(replica);
    const previous = this.resident.get(upstream) ?? [];
    const residencies = previous.filter(entry => entry.actual > now);
    this.resident.set(upstream, residencies);
    const finishes = residencies.map(entry => Math.max(now, entry.predicted));
    return {
      upstream,
      address: upstream,
      dataCentre: 'a',
      replica: String(replica),
      acceleratorKind: String(speedOfReplica(replica)),
      layers: {from: stage, to: stage + 1},
      health: 'healthy',
      leaving: false,
      sequenceLimit: this.queueCase.slots,
      expectedFinishTimes: finishes.sort((a, b) => a - b),
      decodeMilliseconds: STEP_MILLISECONDS / share,
      linkMilliseconds: 0,
      prefillMillisecondsPerToken: PREFILL_MILLISECONDS_PER_TOKEN / share,
      reportAgeMilliseconds: 500,
      cachedPrefixes: new Set<string>(),
    };
  }
}

export function runQueueModel(
  queueCase: QueueCase,
  policy: RoutingPolicy,
): QueueResult {
  const speeds = [...Array(queueCase.replicas).keys()].map(speedOfReplica);
  const capacity = queueCase.slots * sumOf(speeds);
  const warmUpMilliseconds = WARM_UP_SHARE * queueCase.milliseconds;
  const model = new QueueModel(queueCase);
  const accounts = new ShareAccounting();
  const targets = new Map(
    CLASSES.map(trafficClass => [trafficClass.name, trafficClass.requestShare]),
  );
  const timesByClass = new Map(
    CLASSES.map(({name, firstTokenTarget}) => [
      name,
      {
        firstToken: firstTokenTarget,
        betweenTokens: betweenTargetOf(name, queueCase),
      },
    ]),
  );
  const offered = new Map<string, number>();
  const onTime = new Map<string, number>();
  let admitted = 0;
  let onTimeRequests = 0;
  for (const arrival of makeArrivals(queueCase, capacity)) {
    const {
      arrivedAt,
      clientAccount: account,
      classOfWork,
      promptTokens,
    } = arrival;
    const work = slotMillisecondsOf(promptTokens, arrival.actualOutput);
    const estimate = slotMillisecondsOf(promptTokens, arrival.outputTokens);
    const countedWork = arrivedAt >= warmUpMilliseconds ? work : 0;
    offered.set(account, (offered.get(account) ?? 0) + countedWork);
    const shares = {...accounts.view(targets, arrivedAt), timesByClass};
    const decision = policy.decide(
      model.view(arrivedAt),
      shares,
      arrival,
      arrivedAt,
    );
    accounts.addDemand(classOfWork, account, estimate, arrivedAt);
    if (decision.kind === 'refuse') {
      continue;
    }
    admitted += 1;
    accounts.addUsage(classOfWork, account, estimate, arrivedAt);
    const predictedMilliseconds = decision.prediction.wholeMilliseconds;
    if (model.place(arrival, decision.stages, predictedMilliseconds)) {
      onTimeRequests += 1;
      onTime.set(account, (onTime.get(account) ?? 0) + countedWork);
    }
  }
  const claimants = [...offered.values()].map(demand => ({demand, weight: 1}));
  const bound = Math.min(
    sumOf(offered.values()),
    capacity * (queueCase.milliseconds - warmUpMilliseconds),
  );
  const level = fairLevel(claimants, bound);
  const ratioToShare = (account: string): number =>
    (onTime.get(account) ?? 0) / Math.min(offered.get(account) ?? 0, level);
  const smallAccounts = [...offered.keys()].filter(
    account => account !== 'large',
  );
  return {
    onTimeRequests,
    ratio: sumOf(onTime.values()) / bound,
    worstSmall: Math.min(...smallAccounts.map(ratioToShare)),
    meanSmall: sumOf(smallAccounts.map(ratioToShare)) / smallAccounts.length,
    large: ratioToShare('large'),
    lateShare: admitted === 0 ? 0 : 1 - onTimeRequests / admitted,
  };
}
