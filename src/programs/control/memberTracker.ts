import {CancellationToken} from '../../base/common/cancellation.js';
import {Clock} from '../../base/common/clock.js';
import {Emitter} from '../../base/common/event.js';
import {DisposableOwner} from '../../base/common/lifecycle.js';
import {RandomSource} from '../../base/common/randomSource.js';
import {withDeadline} from '../../features/configuration/common/callDeadline.js';
import {ListReader} from '../../features/membership/common/listReader.js';
import {
  ListReadLimits,
  ListReadPlan,
} from '../../features/membership/common/listReadPlan.js';
import {LocalState} from '../../features/peers/common/localState.js';
import {MemberSpreader} from '../../features/peers/common/memberSpreader.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';
import {MembershipList} from '../../infrastructure/membership/common/membershipList.js';
import {Metrics} from '../../infrastructure/metrics/common/metrics.js';

const CALL_MILLISECONDS = 2_000;

/** What the tracker works with. */
export interface MemberTrackerParts {
  readonly list: MembershipList;
  readonly state: LocalState;
  readonly spreader: MemberSpreader;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Keeps the list of members: shares the reading with the other instances and spreads what it finds. */
export class MemberTracker extends DisposableOwner {
  private readonly changed = this.register(new Emitter<void>());
  private readonly plan: ListReadPlan;
  private readonly reader: ListReader;

  /** Fires after the list of members changed. */
  readonly onDidChange = this.changed.event;

  /** @param silenceMilliseconds an instance that no peer answered for so long reads by itself. */
  constructor(
    private readonly parts: MemberTrackerParts,
    limits: ListReadLimits,
    private readonly silenceMilliseconds: number,
  ) {
    super();
    const {list, state, spreader, clock, random, logger} = parts;
    this.plan = new ListReadPlan(clock, random, limits);
    this.reader = new ListReader(
      list,
      state.book,
      this.plan,
      clock,
      logger,
      id => state.isHeardLately(id),
    );
    this.register(spreader.onDidLearn(() => this.changed.fire()));
    this.register(spreader.onDidStayDifferent(() => this.plan.wantRepair()));
  }

  /** Reads the list if it is this instance's turn; called once in each shortest period. */
  async readIfDue(token: CancellationToken): Promise<void> {
    const {state, spreader, clock, metrics} = this.parts;
    if (!this.plan.isDue(state.sharers(this.silenceMilliseconds))) {
      return;
    }
    const reading = await withDeadline(clock, token, CALL_MILLISECONDS, call =>
      this.reader.read(call),
    );
    metrics.count('control.list_reads', 1, {
      outcome: reading.ok ? 'ok' : reading.error.kind,
    });
    if (!reading.ok || !reading.value.changed) {
      return;
    }
    state.membersChanged();
    this.changed.fire();
    if (reading.value.isNews) {
      spreader.announce();
    }
  }
}
