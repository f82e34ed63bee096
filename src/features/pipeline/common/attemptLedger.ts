import {Executed} from '../../requests/common/failure.js';

/** What is known of one request's work at one engine. */
export class EngineRecord {
  private flightEpoch = 0;
  private doubtEpoch = 0;
  private wasBegun = false;
  private idleEpoch = 0;

  constructor(readonly upstream: string) {}

  /** Whether a step is known to have begun here. */
  get begun(): boolean {
    return this.wasBegun;
  }

  /** Whether a step may be running here, or may yet run. */
  get inDoubt(): boolean {
    return this.doubtEpoch !== 0 || this.flightEpoch !== 0;
  }

  /** The engine has nothing of the request at this and lower epochs; 0 while it has not said so. */
  get idleThrough(): number {
    return this.idleEpoch;
  }

  /** A step is about to be sent. */
  handOver(epoch: number): void {
    this.flightEpoch = epoch;
  }

  /** The step in flight was answered with its receipt. */
  completed(): void {
    this.flightEpoch = 0;
    this.wasBegun = true;
  }

  /** The step in flight was surely not begun and never will be. */
  refused(): void {
    this.flightEpoch = 0;
  }

  /** The step in flight may have begun. */
  lost(): void {
    this.doubtEpoch = Math.max(this.doubtEpoch, this.flightEpoch);
    this.flightEpoch = 0;
  }

  /** Something of the request ran here, whoever sent it. */
  seenBegun(): void {
    this.wasBegun = true;
  }

  /** The engine reports that nothing runs or will run at this and lower epochs. */
  idle(epoch: number, begun: boolean): void {
    this.wasBegun ||= begun;
    this.idleEpoch = Math.max(this.idleEpoch, epoch);
    if (this.doubtEpoch <= epoch) {
      this.doubtEpoch = 0;
    }
  }
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
