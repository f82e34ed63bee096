import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {
  EngineConnector,
  EngineReport,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {withDeadline} from '../../configuration/common/callDeadline.js';
import {EngineView} from './placementView.js';

interface Watched {
  member: UpstreamMember;
  report: EngineReport | undefined;
  /** Monotonic milliseconds at which the report's figures were taken at the latest. */
  takenAt: number;
  /** Monotonic milliseconds of the last call, answered or not. */
  askedAt: number;
  reachable: boolean;
  /** Monotonic milliseconds of the last order; its effect shows only in later figures. */
  orderedAt: number;
}

const CALL_MILLISECONDS = 2_000;
/** An order whose effect no report shows for so long counts as without effect. */
const READ_BACK_MILLISECONDS = 60_000;

/** Keeps the newest report of each engine of one data centre; asks few engines at a time. */
export class EngineWatch {
  private readonly engines = new Map<string, Watched>();

  constructor(
    private readonly connector: EngineConnector,
    private readonly clock: Clock,
  ) {}

  /** Watches exactly these engines. */
  follow(members: readonly UpstreamMember[]): void {
    const wanted = new Set(members.map(member => member.id));
    for (const id of this.engines.keys()) {
      if (!wanted.has(id)) {
        this.engines.delete(id);
      }
    }
    for (const member of members) {
      const known = this.engines.get(member.id);
      if (known?.member.address === member.address) {
        known.member = member;
      } else {
        this.engines.set(member.id, newlyWatched(member));
      }
    }
  }

  /** Whether each engine was asked at least once. */
  get isComplete(): boolean {
    return [...this.engines.values()].every(one => one.askedAt > -Infinity);
  }

  /** The engines not asked for the longest. */
  oldest(count: number): readonly string[] {
    return [...this.engines.values()]
      .sort((left, right) => left.askedAt - right.askedAt)
      .slice(0, count)
      .map(one => one.member.id);
  }

  /** Whether all of the engines were asked after a time. */
  wereAskedSince(ids: readonly string[], time: number): boolean {
    return ids.every(id => (this.engines.get(id)?.askedAt ?? 0) >= time);
  }

  /** Asks engines for their reports. */
  async poll(ids: readonly string[], token: CancellationToken): Promise<void> {
    await Promise.all([...new Set(ids)].map(id => this.pollOne(id, token)));
  }

  /** Notes that an order ended just now, whatever became of it. */
  noteOrder(id: string): void {
    const watched = this.engines.get(id);
    if (watched !== undefined) {
      watched.orderedAt = this.clock.monotonicMilliseconds();
    }
  }

  /** The engine as placement sees it. */
  view(id: string): EngineView | undefined {
    const watched = this.engines.get(id);
    if (watched === undefined) {
      return undefined;
    }
    const {member, report, reachable, takenAt, orderedAt} = watched;
    const sinceOrder = this.clock.monotonicMilliseconds() - orderedAt;
    const pending = takenAt <= orderedAt && sinceOrder < READ_BACK_MILLISECONDS;
    return {member, report, reachable, pending};
  }

  private async pollOne(id: string, token: CancellationToken): Promise<void> {
    const watched = this.engines.get(id);
    if (watched === undefined) {
      return;
    }
    const {member} = watched;
    const startedAt = this.clock.monotonicMilliseconds();
    const answer = await withDeadline(
      this.clock,
      token,
      CALL_MILLISECONDS,
      call => this.connector.connect(id, member.address).report(call),
    );
    watched.askedAt = startedAt;
    watched.reachable = answer.ok;
    if (answer.ok) {
      watched.report = answer.value;
      watched.takenAt = startedAt - answer.value.ageMilliseconds;
    }
  }
}

function newlyWatched(member: UpstreamMember): Watched {
  return {
    member,
    report: undefined,
    takenAt: -Infinity,
    askedAt: -Infinity,
    reachable: true,
    orderedAt: -Infinity,
  };
}
