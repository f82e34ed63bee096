import {failure, Result, success} from '../../../base/common/result.js';
import {Clock} from '../../../base/common/clock.js';
import {
  StepInput,
  StepOutput,
  StepReceipt,
  StepRequest,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {ModelRequest} from '../../requests/common/request.js';
import {LineageChecker, LineageFault} from '../common/lineageChecker.js';
import {StepTimeouts} from '../common/stepTimeouts.js';
import {Safeguards} from '../common/safeguards.js';
import {StepError} from '../common/stageFailure.js';
import {EpochAttempt} from './epochAttempt.js';
import {StageSession} from './stageSession.js';

/** The token that a pass through all stages produces. */
export type TokenOutput = Extract<StepOutput, {kind: 'token'}>;

/** A failed step and its stage. */
export interface StageFailure {
  readonly session: StageSession;
  readonly error: StepError;
}

/** Positions, input and limits of one pass through the pipeline. */
export interface TokenPass {
  readonly epoch: number;
  readonly from: number;
  readonly to: number;
  readonly tokens: readonly string[];
  readonly isRebuild: boolean;
  readonly priority: number;
  /** Time-out of each step of a pass over many positions; undefined for a decode step. */
  readonly timeoutMilliseconds: number | undefined;
}

/** Called when a response does not match its step. */
export type FaultListener = (
  step: StepRequest,
  fault: LineageFault | 'mismatch',
) => void;

/** Runs passes through the stages of a request, one at a time. */
export class PassRunner {
  private readonly lineage = new LineageChecker();

  constructor(
    private readonly request: ModelRequest,
    private readonly prefixKey: string | undefined,
    private readonly clock: Clock,
    private readonly timeouts: StepTimeouts,
    private readonly safeguards: Safeguards,
    private readonly onFault: FaultListener,
  ) {}

  /** Sends one step to each stage; returns the token only if the receipts cover all layers once, in order. */
  async run(
    sessions: readonly StageSession[],
    attempt: EpochAttempt,
    pass: TokenPass,
  ): Promise<Result<TokenOutput, StageFailure>> {
    let input: StepInput = {kind: 'tokens', tokens: pass.tokens};
    let previous: StageSession | undefined;
    let output: StepOutput | undefined;
    this.lineage.startToken();
    for (const session of sessions) {
      const step = this.buildStep(session, pass, input, previous);
      const result = await this.runStage(session, attempt, pass, step);
      if (!result.ok) {
        return failure({session, error: result.error});
      }
      output = result.value.output;
      input = output.kind === 'activation' ? output : input;
      previous = session;
    }
    return this.release(previous as StageSession, output);
  }

  private release(
    last: StageSession,
    output: StepOutput | undefined,
  ): Result<TokenOutput, StageFailure> {
    const fault = this.safeguards.checkRelease(this.lineage);
    if (fault === undefined && output?.kind === 'token') {
      return success(output);
    }
    const detail = fault ?? 'wrongOutput';
    return failure({session: last, error: {kind: 'mismatch', detail}});
  }

  private async runStage(
    session: StageSession,
    attempt: EpochAttempt,
    pass: TokenPass,
    step: StepRequest,
  ): Promise<Result<StepReceipt, StepError>> {
    const timeout = pass.timeoutMilliseconds ?? this.decodeTimeout(session);
    const sentAt = this.clock.monotonicMilliseconds();
    session.record.stepSent(pass.epoch, session.history.incarnation);
    const result = await attempt.call(session.connection, step, timeout);
    if (!result.ok) {
      this.notifyMismatch(step, result.error);
      return result;
    }
    const fault = this.safeguards.checkReceipt(
      this.lineage,
      step,
      result.value,
    );
    if (fault !== undefined) {
      this.onFault(step, fault);
      return failure({kind: 'mismatch', detail: fault});
    }
    const elapsed = this.clock.monotonicMilliseconds() - sentAt;
    this.recordReceipt(session, pass, result.value, elapsed);
    return result;
  }

  /** Connections also detect responses that do not match their step. */
  private notifyMismatch(step: StepRequest, error: StepError): void {
    if (error.kind === 'mismatch') {
      this.onFault(step, error.kind);
    }
  }

  private recordReceipt(
    session: StageSession,
    pass: TokenPass,
    receipt: StepReceipt,
    elapsed: number,
  ): void {
    const isDecode = pass.timeoutMilliseconds === undefined;
    const compute = receipt.computeMilliseconds;
    const link = Math.max(0, elapsed - receipt.queueMilliseconds - compute);
    session.record.completed();
    session.history.incarnation = receipt.engineIncarnation;
    session.coveredTo = pass.to;
    session.statistics.observe(isDecode, compute, link);
    if (isDecode) {
      session.history.decodeTimes.observe(elapsed);
    }
  }

  private decodeTimeout(session: StageSession): number {
    const target = this.request.classOfWork.betweenTokensMilliseconds;
    return this.timeouts.decodeTimeoutMilliseconds(
      session.history.decodeTimes,
      target,
    );
  }

  private buildStep(
    session: StageSession,
    pass: TokenPass,
    input: StepInput,
    previous: StageSession | undefined,
  ): StepRequest {
    const {model} = this.request;
    return {
      requestId: this.request.requestId,
      epoch: pass.epoch,
      model: model.name,
      version: session.chosen.version ?? model.version,
      adapter: this.request.adapter,
      layers: session.chosen.layers,
      layerCount: model.layerCount,
      positions: {from: pass.from, to: pass.to},
      input,
      priority: pass.priority,
      rebuild: pass.isRebuild,
      previousUpstream: previous?.chosen.upstream,
      prefixKey: this.prefixKey,
    };
  }
}
