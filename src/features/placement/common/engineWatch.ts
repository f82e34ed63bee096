import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {
  EngineConnector,
  EngineReport,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {withDeadline} from '../../configuration/common/callDeadline.js';
import {EngineView} from './placementView.js';

interface WatchedEngine {
  member: UpstreamMember;
  report: EngineReport | undefined;
  /** Latest monotonic milliseconds at which the engine can have made the report. */
  reportMadeAt: number;
  /** Monotonic milliseconds at which the last poll began, answered or not. */
  polledAt: number;
  reachable: boolean;
  /** Monotonic milliseconds at which the last order ended. Only later reports show its effect. */
  orderedAt: number;
}

const POLL_TIMEOUT_MILLISECONDS = 2_000;
/** Time after which an order whose effect no report shows counts as having none. */
const ORDER_EFFECT_TIMEOUT_MILLISECONDS = 60_000;

/** Keeps the newest load report of each engine of one data centre; polls only the engines that callers name. */
export class EngineWatch {
  private readonly engines = new Map<string, WatchedEngine>();

  constructor(
    private readonly connector: EngineConnector,
    private readonly clock: Clock,
  ) {}

  /** Watches exactly these engines and keeps the reports of those already watched. */
  setEngines(members: readonly UpstreamMember[]): void {
    const listedIds = new Set(members.map(member => member.id));
    for (const id of this.engines.keys()) {
      if (!listedIds.has(id)) {
        this.engines.delete(id);
      }
    }
    for (const member of members) {
      const known = this.engines.get(member.id);
      if (known?.member.address === member.address) {
        known.member = member;
      } else {
        this.engines.set(member.id, createWatchedEngine(member));
      }
    }
  }

  /** Whether each engine was polled at least once. */
  get hasPolledAll(): boolean {
    return [...this.engines.values()].every(
      engine => engine.polledAt > -Infinity,
    );
  }

  /** Ids of the engines whose last poll is the longest ago. */
  leastRecentlyPolled(count: number): readonly string[] {
    return [...this.engines.values()]
      .sort((left, right) => left.polledAt - right.polledAt)
      .slice(0, count)
      .map(engine => engine.member.id);
  }

  /** Whether all of these engines were polled at or after a time. */
  werePolledSince(ids: readonly string[], time: number): boolean {
    return ids.every(id => (this.engines.get(id)?.polledAt ?? 0) >= time);
  }

  /** Polls engines concurrently, each id once. */
  async poll(ids: readonly string[], token: CancellationToken): Promise<void> {
    await Promise.all([...new Set(ids)].map(id => this.pollOne(id, token)));
  }

  /** Records that an order ended now, whatever its outcome. */
  recordOrder(id: string): void {
    const watched = this.engines.get(id);
    if (watched !== undefined) {
      watched.orderedAt = this.clock.monotonicMilliseconds();
    }
  }

  /** The engine with its newest report; undefined if it isn't watched. */
  view(id: string): EngineView | undefined {
    const watched = this.engines.get(id);
    if (watched === undefined) {
      return undefined;
    }
    const {member, report, reachable, reportMadeAt, orderedAt} = watched;
    const sinceOrder = this.clock.monotonicMilliseconds() - orderedAt;
    const pending =
      reportMadeAt <= orderedAt &&
      sinceOrder < ORDER_EFFECT_TIMEOUT_MILLISECONDS;
    return {member, report, reachable, pending};
  }

  private async pollOne(id: string, token: CancellationToken): Promise<void> {
    const watched = this.engines.get(id);
    if (watched === undefined) {
      return;
    }
    const {member} = watched;
    const startedAt = this.clock.monotonicMilliseconds();
    const result = await withDeadline(
      this.clock,
      token,
      POLL_TIMEOUT_MILLISECONDS,
      call => this.connector.connect(id, member.address).report(call),
    );
    watched.polledAt = startedAt;
    watched.reachable = result.ok;
    if (result.ok) {
      watched.report = result.value;
      watched.reportMadeAt = startedAt - result.value.ageMilliseconds;
    }
  }
}

function createWatchedEngine(member: UpstreamMember): WatchedEngine {
  return {
    member,
    report: undefined,
    reportMadeAt: -Infinity,
    polledAt: -Infinity,
    reachable: true,
    orderedAt: -Infinity,
  };
}
