import {CancelReport} from '../../../infrastructure/engine/common/engineConnection.js';
import {ExecutionStatus} from '../../requests/common/failure.js';

/** What the router knows about the execution of one request on one engine. */
export class EngineExecutionRecord {
  private inFlightStep: SentStep | undefined;
  private unresolvedStep: SentStep | undefined;
  private mayHaveBegun = false;
  private mayHaveImported = false;
  private highestIdleEpoch = 0;

  constructor(readonly upstream: string) {}

  /** True once a step has started, or when the router cannot prove that none has. */
  get begun(): boolean {
    return this.mayHaveBegun;
  }

  /** Whether a step may be running or may still start. */
  get inDoubt(): boolean {
    return this.unresolvedStep !== undefined || this.inFlightStep !== undefined;
  }

  /** Whether the engine may hold a KV cache of the request. */
  get mayHoldCache(): boolean {
    return this.mayHaveImported || this.mayHaveBegun || this.inDoubt;
  }

  /** The highest epoch up to which the engine reported that nothing of the request runs; 0 before any such report. */
  get idleThroughEpoch(): number {
    return this.highestIdleEpoch;
  }

  /** Records a step that is about to be sent; `incarnation` is the last known process of the engine. */
  stepSent(epoch: number, incarnation: string | undefined): void {
    this.inFlightStep = {epoch, incarnation};
  }

  /** Records a request to import a KV cache; an import executes no layer. */
  importRequested(): void {
    this.mayHaveImported = true;
  }

  /** Records that the engine returned a receipt for the step in flight. */
  completed(): void {
    this.inFlightStep = undefined;
    this.mayHaveBegun = true;
  }

  /** Records that the step in flight did not start and never will. */
  refused(): void {
    this.inFlightStep = undefined;
  }

  /** Records that the response to the step in flight was lost, so that the step may have started. */
  lost(): void {
    const {inFlightStep, unresolvedStep} = this;
    this.inFlightStep = undefined;
    if (inFlightStep === undefined) {
      return;
    }
    const isSameProcess =
      unresolvedStep === undefined ||
      unresolvedStep.incarnation === inFlightStep.incarnation;
    const incarnation = isSameProcess ? inFlightStep.incarnation : undefined;
    const epoch = Math.max(inFlightStep.epoch, unresolvedStep?.epoch ?? 0);
    this.unresolvedStep = {epoch, incarnation};
  }

  /** Records the engine's report that it started work on the request. */
  reportedBegun(): void {
    this.mayHaveBegun = true;
  }

  /** Records that another driver runs the request on this engine; no report of the engine can resolve that. */
  foreignEpochSeen(): void {
    this.mayHaveBegun = true;
    this.unresolvedStep = {epoch: Infinity, incarnation: undefined};
  }

  /**
   * Records the engine's report that nothing runs or will run at this and lower epochs. `begun: false` proves that no
   * lost step started only if it comes from the process that was running before the steps were sent: a restarted engine
   * does not know what its predecessor executed.
   */
  idle(epoch: number, report: Omit<CancelReport, 'state'>): void {
    const {unresolvedStep} = this;
    this.highestIdleEpoch = Math.max(this.highestIdleEpoch, epoch);
    this.mayHaveBegun ||= report.begun;
    if (unresolvedStep === undefined || unresolvedStep.epoch > epoch) {
      return;
    }
    const provesNotBegun =
      unresolvedStep.incarnation !== undefined &&
      unresolvedStep.incarnation === report.engineIncarnation;
    this.mayHaveBegun ||= !provesNotBegun;
    this.unresolvedStep = undefined;
  }
}

interface SentStep {
  readonly epoch: number;
  readonly incarnation: string | undefined;
}

/** Tracks all engines that steps of one request were sent to. */
export class ExecutionTracker {
  private readonly records = new Map<string, EngineExecutionRecord>();

  /** Returns the record of an engine and creates it if needed. */
  recordOf(upstream: string): EngineExecutionRecord {
    let record = this.records.get(upstream);
    if (record === undefined) {
      record = new EngineExecutionRecord(upstream);
      this.records.set(upstream, record);
    }
    return record;
  }

  get all(): readonly EngineExecutionRecord[] {
    return [...this.records.values()];
  }

  /** The `executed` value that a failure response sent now may state. */
  executed(releasedTokens: number): ExecutionStatus {
    return decideExecuted(this.all, releasedTokens);
  }
}

/**
 * Decides what a failure response states about execution.
 * `no` requires proof that no engine started; `yes` requires released tokens and no engine in doubt.
 */
export function decideExecuted(
  records: ReadonlyArray<Pick<EngineExecutionRecord, 'begun' | 'inDoubt'>>,
  releasedTokens: number,
): ExecutionStatus {
  const inDoubt = records.some(record => record.inDoubt);
  const begun = records.some(record => record.begun);
  if (releasedTokens > 0) {
    return inDoubt ? 'unknown' : 'yes';
  }
  return inDoubt || begun ? 'unknown' : 'no';
}
