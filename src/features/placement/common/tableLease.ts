import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {ChartInstance} from '../../../infrastructure/stateChart/common/stateChart.js';
import {
  RowCondition,
  TableRow,
  TableService,
} from '../../../infrastructure/table/common/tableService.js';
import {LeaseAction, leaseChart, LeaseEvent, LeaseState} from './leaseChart.js';
import {HolderCheck, LeaseObserver} from './leaseObserver.js';
import {
  isHeldStill,
  isSameWrite,
  LeaseRecord,
  readLeaseRecord,
} from './leaseRecord.js';
import {LeaseRow, meets} from './leaseRow.js';
import {defaultLeaseSettings, LeaseSettings} from './leaseSettings.js';

interface PendingWrite {
  readonly record: LeaseRecord;
  readonly condition: RowCondition;
  /** Monotonic milliseconds before the first attempt: authority may be counted from here. */
  readonly startedAt: number;
}

/**
 * A lease on a row of the table. Its holder counts the expiry from before its last confirmed write;
 * others take it only after they saw the row unchanged for a whole duration, each on its own
 * monotonic clock, so that no wall clocks need to agree.
 */
export class TableLease extends DisposableOwner {
  private readonly life = new ChartInstance(leaseChart);
  private readonly changed = this.register(new Emitter<LeaseState>());
  private readonly row: LeaseRow;
  private readonly observer: LeaseObserver;
  private pending: PendingWrite | undefined;
  private held: LeaseRecord | undefined;
  private rowVersion = 0;
  private confirmedFrom = -Infinity;
  private leastFencing = 1;

  /** Fires when the lease becomes held or lost. */
  readonly onDidChange = this.changed.event;

  constructor(
    key: string,
    private readonly holder: string,
    table: TableService,
    private readonly clock: Clock,
    private readonly createNonce: () => string,
    private readonly settings: LeaseSettings = defaultLeaseSettings,
    hasEnded: HolderCheck = () => false,
  ) {
    super();
    const {durationMilliseconds, callMilliseconds} = settings;
    this.row = new LeaseRow(key, table, clock, callMilliseconds);
    this.observer = new LeaseObserver(
      clock,
      durationMilliseconds,
      // A lease of its own that it lost in an outage is not acted on any more, and nobody else took it.
      (name, before) => name === holder || hasEnded(name, before),
    );
  }

  get state(): LeaseState {
    return this.life.state;
  }

  /** The fencing number while the lease may be acted on. */
  get fencing(): number | undefined {
    const isUsable =
      this.isRenewed ||
      (this.settings.actsUnrenewed && this.state === 'uncertain');
    return isUsable ? this.held?.fencing : undefined;
  }

  /** Whether the last call for it was confirmed, so that it will probably go on. */
  get isRenewed(): boolean {
    return this.state === 'held';
  }

  /** Whether something that ends within a time may begin now. To be asked right before it begins. */
  permits(milliseconds: number): boolean {
    const {marginMilliseconds} = this.settings;
    const end = this.now() + milliseconds + marginMilliseconds;
    return this.fencing !== undefined && end <= this.expiresAt;
  }

  /** Takes the next step: observes, takes, renews or reads back. One call at a time. */
  async advance(token: CancellationToken): Promise<void> {
    const isOwn = this.state === 'held' || this.state === 'uncertain';
    if (isOwn && this.now() >= this.expiresAt) {
      await this.send('expired', token);
    }
    await this.send(this.state === 'idle' ? 'observed' : 'due', token);
  }

  /** Someone holds a higher fencing number: gives up and takes a higher one next time. */
  async supersededBy(fencing: number, token: CancellationToken): Promise<void> {
    this.leastFencing = Math.max(this.leastFencing, fencing + 1);
    await this.send('superseded', token);
  }

  /** Gives the lease up, so that another may take it at once. */
  release(token: CancellationToken): Promise<void> {
    return this.send('released', token);
  }

  private get expiresAt(): number {
    const from = this.pending?.startedAt ?? -Infinity;
    const base = this.held === undefined ? from : this.confirmedFrom;
    return base + this.settings.durationMilliseconds;
  }

  private async send(
    event: LeaseEvent,
    token: CancellationToken,
  ): Promise<void> {
    const {actions} = this.life.send(event);
    for (const action of actions) {
      await this.perform(action, token);
    }
  }

  private perform(
    action: LeaseAction,
    token: CancellationToken,
  ): Promise<void> | void {
    switch (action) {
      case 'readRow':
        return this.observe(token);
      case 'writeTaking':
        return this.take(token);
      case 'writeRenewal':
        return this.renew(token);
      case 'writeRelease':
        return this.giveUp(token);
      case 'writeAgain':
        return this.write(this.pending!, token);
      case 'readBack':
        return this.readBack(token);
      case 'announceHeld':
      case 'announceLost':
        return this.changed.fire(this.state);
      case 'forget':
        this.pending = undefined;
        this.held = undefined;
        this.observer.forget();
    }
  }

  private async observe(token: CancellationToken): Promise<void> {
    const row = await this.row.read(token);
    if (!row.ok) {
      return;
    }
    this.observer.note(row.value);
    if (this.observer.isTakeable) {
      await this.send('takeable', token);
    }
  }

  private take(token: CancellationToken): Promise<void> {
    const {observed} = this.observer;
    const previous = observed?.record.fencing ?? 0;
    const fencing = Math.max(previous + 1, this.leastFencing);
    this.held = undefined;
    return this.begin(
      {
        holder: this.holder,
        fencing,
        nonce: this.createNonce(),
        released: false,
      },
      observed === undefined
        ? {kind: 'absent'}
        : {kind: 'version', version: observed.version},
      token,
    );
  }

  private renew(token: CancellationToken): Promise<void> {
    const record = {...this.held!, nonce: this.createNonce()};
    const condition = {kind: 'version', version: this.rowVersion} as const;
    return this.begin(record, condition, token);
  }

  private async giveUp(token: CancellationToken): Promise<void> {
    const record = {...this.held!, released: true};
    const condition = {kind: 'version', version: this.rowVersion} as const;
    this.held = undefined;
    this.pending = undefined;
    await this.row.write(record, condition, token);
  }

  private begin(
    record: LeaseRecord,
    condition: RowCondition,
    token: CancellationToken,
  ): Promise<void> {
    this.pending = {record, condition, startedAt: this.now()};
    return this.write(this.pending, token);
  }

  private async write(
    {record, condition, startedAt}: PendingWrite,
    token: CancellationToken,
  ): Promise<void> {
    const outcome = await this.row.write(record, condition, token);
    if (outcome.kind === 'conflict') {
      return this.judge(outcome.row, token);
    }
    if (outcome.kind !== 'written') {
      return this.send(outcome.kind, token);
    }
    this.confirm(record, outcome.version, startedAt);
    return this.send('confirmed', token);
  }

  private async readBack(token: CancellationToken): Promise<void> {
    const row = await this.row.read(token);
    if (!row.ok) {
      return this.send('failed', token);
    }
    const isUnchanged =
      this.pending !== undefined && meets(row.value, this.pending.condition);
    const isRenewal = this.held !== undefined;
    if (isUnchanged && !isRenewal) {
      return this.send('unchanged', token);
    }
    return this.judge(row.value, token);
  }

  /** Decides whose the row is after a conflict or a lost answer. */
  private judge(
    row: TableRow | undefined,
    token: CancellationToken,
  ): Promise<void> {
    const record = readLeaseRecord(row);
    const {pending, held} = this;
    if (row !== undefined && isSameWrite(record, pending?.record)) {
      this.confirm(pending!.record, row.version, pending!.startedAt);
      return this.send('confirmed', token);
    }
    if (row !== undefined && isHeldStill(record, held)) {
      this.rowVersion = row.version;
      return this.send('confirmed', token);
    }
    this.observer.note(row);
    return this.send('superseded', token);
  }

  private confirm(
    record: LeaseRecord,
    version: number,
    startedAt: number,
  ): void {
    this.held = record;
    this.rowVersion = version;
    this.confirmedFrom = startedAt;
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}
