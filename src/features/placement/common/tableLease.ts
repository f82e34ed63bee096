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
import {HolderEndedCheck, LeaseObserver} from './leaseObserver.js';
import {
  isStillHeld,
  isSameWrite,
  LeaseRecord,
  readLeaseRecord,
} from './leaseRecord.js';
import {LeaseRow, satisfiesCondition} from './leaseRow.js';
import {defaultLeaseSettings, LeaseSettings} from './leaseSettings.js';

interface PendingWrite {
  readonly record: LeaseRecord;
  readonly condition: RowCondition;
  /** Monotonic milliseconds before the first attempt, from which the lease's duration counts. */
  readonly startedAt: number;
}

/**
 * A lease stored in a row of the table. The holder counts its expiry from the start of its last confirmed write. Other
 * processes acquire the lease only after they have seen the row unchanged for a whole duration. Each uses its own
 * monotonic clock, so wall clocks need not agree.
 */
export class TableLease extends DisposableOwner {
  private readonly chart = new ChartInstance(leaseChart);
  private readonly changed = this.register(new Emitter<LeaseState>());
  private readonly row: LeaseRow;
  private readonly observer: LeaseObserver;
  private pending: PendingWrite | undefined;
  private held: LeaseRecord | undefined;
  private rowVersion = 0;
  private confirmedWriteStartedAt = -Infinity;
  private minFencing = 1;

  /** Fires when the lease becomes held or lost. */
  readonly onDidChange = this.changed.event;

  constructor(
    key: string,
    private readonly holder: string,
    table: TableService,
    private readonly clock: Clock,
    private readonly createNonce: () => string,
    private readonly settings: LeaseSettings = defaultLeaseSettings,
    hasEnded: HolderEndedCheck = () => false,
  ) {
    super();
    const {durationMilliseconds, callMilliseconds} = settings;
    this.row = new LeaseRow(key, table, clock, callMilliseconds);
    this.observer = new LeaseObserver(
      clock,
      durationMilliseconds,
      // A row that still names this process is its own lost lease, which it no longer acts on and nobody else took.
      (name, before) => name === holder || hasEnded(name, before),
    );
  }

  get state(): LeaseState {
    return this.chart.state;
  }

  /** The fencing number; undefined while the lease must not be acted on. */
  get fencing(): number | undefined {
    const isUsable =
      this.isRenewed ||
      (this.settings.actsUnrenewed && this.state === 'uncertain');
    return isUsable ? this.held?.fencing : undefined;
  }

  /** Whether the last call for the lease was confirmed, so that it will probably be renewed. */
  get isRenewed(): boolean {
    return this.state === 'held';
  }

  /** Whether an action of this length may start under the lease. Call it immediately before the action. */
  permits(milliseconds: number): boolean {
    const {marginMilliseconds} = this.settings;
    const end = this.now() + milliseconds + marginMilliseconds;
    return this.fencing !== undefined && end <= this.expiresAt;
  }

  /** Performs the next step: reads, acquires, renews or reads back the row. Calls must not overlap. */
  async advance(token: CancellationToken): Promise<void> {
    const isOwn = this.state === 'held' || this.state === 'uncertain';
    if (isOwn && this.now() >= this.expiresAt) {
      await this.send('expired', token);
    }
    await this.send(this.state === 'idle' ? 'observed' : 'due', token);
  }

  /** Loses the lease to a higher fencing number that an engine has seen; the next acquisition exceeds it. */
  async supersededBy(fencing: number, token: CancellationToken): Promise<void> {
    this.minFencing = Math.max(this.minFencing, fencing + 1);
    await this.send('superseded', token);
  }

  /** Releases the lease, so that another process may acquire it at once. */
  release(token: CancellationToken): Promise<void> {
    return this.send('released', token);
  }

  private get expiresAt(): number {
    const from = this.pending?.startedAt ?? -Infinity;
    const base = this.held === undefined ? from : this.confirmedWriteStartedAt;
    return base + this.settings.durationMilliseconds;
  }

  private async send(
    event: LeaseEvent,
    token: CancellationToken,
  ): Promise<void> {
    const {actions} = this.chart.send(event);
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
        return this.acquire(token);
      case 'writeRenewal':
        return this.renew(token);
      case 'writeRelease':
        return this.releaseRow(token);
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
    this.observer.recordRow(row.value);
    if (this.observer.isAvailable) {
      await this.send('takeable', token);
    }
  }

  private acquire(token: CancellationToken): Promise<void> {
    const {observed} = this.observer;
    const previous = observed?.record.fencing ?? 0;
    const fencing = Math.max(previous + 1, this.minFencing);
    this.held = undefined;
    return this.startWrite(
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
    return this.startWrite(record, condition, token);
  }

  private async releaseRow(token: CancellationToken): Promise<void> {
    const record = {...this.held!, released: true};
    const condition = {kind: 'version', version: this.rowVersion} as const;
    this.held = undefined;
    this.pending = undefined;
    await this.row.write(record, condition, token);
  }

  private startWrite(
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
      return this.resolveHolder(outcome.row, token);
    }
    if (outcome.kind !== 'written') {
      return this.send(outcome.kind, token);
    }
    this.recordConfirmedWrite(record, outcome.version, startedAt);
    return this.send('confirmed', token);
  }

  private async readBack(token: CancellationToken): Promise<void> {
    const row = await this.row.read(token);
    if (!row.ok) {
      return this.send('failed', token);
    }
    const isUnchanged =
      this.pending !== undefined &&
      satisfiesCondition(row.value, this.pending.condition);
    const isRenewal = this.held !== undefined;
    if (isUnchanged && !isRenewal) {
      return this.send('unchanged', token);
    }
    return this.resolveHolder(row.value, token);
  }

  /** Determines the holder from the row after a conflict or a lost response. */
  private resolveHolder(
    row: TableRow | undefined,
    token: CancellationToken,
  ): Promise<void> {
    const record = readLeaseRecord(row);
    const {pending, held} = this;
    if (row !== undefined && isSameWrite(record, pending?.record)) {
      this.recordConfirmedWrite(
        pending!.record,
        row.version,
        pending!.startedAt,
      );
      return this.send('confirmed', token);
    }
    if (row !== undefined && isStillHeld(record, held)) {
      this.rowVersion = row.version;
      return this.send('confirmed', token);
    }
    this.observer.recordRow(row);
    return this.send('superseded', token);
  }

  private recordConfirmedWrite(
    record: LeaseRecord,
    version: number,
    startedAt: number,
  ): void {
    this.held = record;
    this.rowVersion = version;
    this.confirmedWriteStartedAt = startedAt;
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}
