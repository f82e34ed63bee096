import {CancelReport} from '../../../infrastructure/engine/common/engineConnection.js';
import {Executed} from '../../requests/common/failure.js';

/** What is known of one request's work at one engine. */
export class EngineRecord {
  private flight: HandOver | undefined;
  private doubt: HandOver | undefined;
  private mayHaveBegun = false;
  private wasFilled = false;
  private idleEpoch = 0;

  constructor(readonly upstream: string) {}

  /** Whether a step began here, or nobody can vouch that none did. */
  get begun(): boolean {
    return this.mayHaveBegun;
  }

  /** Whether a step may be running here, or may yet run. */
  get inDoubt(): boolean {
    return this.doubt !== undefined || this.flight !== undefined;
  }

  /** Whether a KV cache of the request may lie here. */
  get mayHoldCache(): boolean {
    return this.wasFilled || this.mayHaveBegun || this.inDoubt;
  }

  /** The engine has nothing of the request at this and lower epochs; 0 while it has not said so. */
  get idleThrough(): number {
    return this.idleEpoch;
  }

  /** A step is about to be sent; `incarnation` is the engine's process last heard of. */
  handOver(epoch: number, incarnation: string | undefined): void {
    this.flight = {epoch, incarnation};
  }

  /** The engine is asked to import a KV cache, which runs no layer. */
  fill(): void {
    this.wasFilled = true;
  }

  /** The step in flight was answered with its receipt. */
  completed(): void {
    this.flight = undefined;
    this.mayHaveBegun = true;
  }

  /** The step in flight was surely not begun and never will be. */
  refused(): void {
    this.flight = undefined;
  }

  /** The step in flight may have begun. */
  lost(): void {
    const {flight, doubt} = this;
    this.flight = undefined;
    if (flight === undefined) {
      return;
    }
    const isSameProcess =
      doubt === undefined || doubt.incarnation === flight.incarnation;
    const incarnation = isSameProcess ? flight.incarnation : undefined;
    const epoch = Math.max(flight.epoch, doubt?.epoch ?? 0);
    this.doubt = {epoch, incarnation};
  }

  /** The engine reports that something of the request began here. */
  seenBegun(): void {
    this.mayHaveBegun = true;
  }

  /** Another driver runs the request here; no report can end that doubt. */
  seenElsewhere(): void {
    this.mayHaveBegun = true;
    this.doubt = {epoch: Infinity, incarnation: undefined};
  }

  /**
   * The engine reports that nothing runs or will run at this and lower epochs. That nothing was begun
   * counts for lost steps only from the process that was there before they were sent.
   */
  idle(epoch: number, report: Omit<CancelReport, 'state'>): void {
    const {doubt} = this;
    this.idleEpoch = Math.max(this.idleEpoch, epoch);
    this.mayHaveBegun ||= report.begun;
    if (doubt === undefined || doubt.epoch > epoch) {
      return;
    }
    const vouches =
      doubt.incarnation !== undefined &&
      doubt.incarnation === report.engineIncarnation;
    this.mayHaveBegun ||= !vouches;
    this.doubt = undefined;
  }
}

interface HandOver {
  readonly epoch: number;
  readonly incarnation: string | undefined;
}

/** The record of all engines that steps of one request were handed to. */
export class AttemptLedger {
  private readonly records = new Map<string, EngineRecord>();

  /** Finds or makes the record of an engine. */
  recordOf(upstream: string): EngineRecord {
    let record = this.records.get(upstream);
    if (record === undefined) {
      record = new EngineRecord(upstream);
      this.records.set(upstream, record);
    }
    return record;
  }

  get all(): readonly EngineRecord[] {
    return [...this.records.values()];
  }

  /** What a failure may truthfully say now. */
  executed(releasedTokens: number): Executed {
    return decideExecuted(this.all, releasedTokens);
  }
}

/**
 * Decides whether a request ran.
 * `no` needs every engine to have provably not begun; `yes` needs released tokens and no engine in doubt.
 */
export function decideExecuted(
  records: ReadonlyArray<Pick<EngineRecord, 'begun' | 'inDoubt'>>,
  releasedTokens: number,
): Executed {
  const inDoubt = records.some(record => record.inDoubt);
  const begun = records.some(record => record.begun);
  if (releasedTokens > 0) {
    return inDoubt ? 'unknown' : 'yes';
  }
  return inDoubt || begun ? 'unknown' : 'no';
}
