import {Clock} from '../../../base/common/clock.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {
  CacheReference,
  CancelReport,
  EngineConnection,
  EngineError,
  EngineReport,
  LayerRange,
  PositionRange,
  StepOutput,
  StepReceipt,
  StepRequest,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {
  applyLayer,
  decodeActivation,
  hashToken,
  encodeActivation,
  LayerCache,
  planReply,
  remainingTokens,
  ReplyPlan,
  tokenFromHash,
} from '../../../../test/standins/referenceModel.js';

const FOREIGN_EPOCH = 50;
const lost = failure({kind: 'lost', detail: 'connection broke'} as const);

/** Duration of every step. */
export const STEP_MILLISECONDS = 5;

/** Faults that can be injected into a step. */
export const faultKinds = [
  'killBefore',
  'killAfter',
  'cutBefore',
  'cutAfter',
  'freezeBefore',
  'freezeAfter',
  'slow',
  'late',
  'crossed',
  'twice',
  'oldEpoch',
  'skipped',
  'unreachable',
  'refused',
  'overloaded',
  'restart',
  'restartAfter',
] as const;
/** `foreign`: the engine reports an epoch that another driver used. */
export type FaultKind = (typeof faultKinds)[number] | 'foreign';

/** A fault at the step with index `atStep` among those sent to an engine. */
export interface Fault {
  readonly upstream: string;
  readonly atStep: number;
  readonly kind: FaultKind;
  readonly milliseconds: number;
}

/** One executed step, as recorded by the engine itself. */
export interface ExecutedStep {
  readonly upstream: string;
  readonly requestId: string;
  readonly epoch: number;
  readonly layers: LayerRange;
  readonly positions: PositionRange;
  readonly at: number;
}

interface Sequence {
  readonly caches: readonly LayerCache[];
  plan: ReplyPlan | undefined;
  length: number;
}

/** How an engine responds to export requests: with the current cache, with the first half of it, or not at all. */
export type ExportMode = 'present' | 'stale' | 'absent';

/** Exported caches by reference; all engines of a test share one store. */
export type CacheStore = Map<string, Sequence>;

/** An in-process engine that computes the reference model, records the steps it executes and injects faults. */
export class FaultyEngine extends EngineConnection {
  private readonly sequences = new Map<string, Sequence>();
  private readonly highest = new Map<string, number>();
  private readonly cancelled = new Map<string, number>();
  private readonly begun = new Set<string>();
  private readonly running = new Set<StepRequest>();
  private previousReceipt: StepReceipt | undefined;
  private stepCount = 0;
  private incarnationNumber = 1;
  private isDead = false;
  private frozenUntil = 0;
  readonly cancels: string[] = [];

  constructor(
    readonly upstream: string,
    readonly layers: LayerRange,
    readonly checksFencing: boolean,
    private readonly clock: Clock,
    private readonly executedSteps: ExecutedStep[],
    private readonly faults: readonly Fault[],
    private readonly store: CacheStore,
    private readonly exportMode: ExportMode = 'present',
  ) {
    super();
  }

  private get incarnation(): string {
    return `${this.upstream}/${this.incarnationNumber}`;
  }

  /** Whether a step was sent to the engine. */
  get wasReached(): boolean {
    return this.stepCount > 0;
  }

  /** Requests whose KV cache the engine holds; none once it is dead. */
  get resident(): readonly string[] {
    return this.isDead ? [] : [...this.sequences.keys()];
  }

  override async step(
    request: StepRequest,
  ): Promise<Result<StepReceipt, EngineError>> {
    const index = this.stepCount++;
    const fault = this.faults.find(
      ({upstream, atStep}) => upstream === this.upstream && atStep === index,
    );
    if (this.isDead || fault?.kind === 'unreachable') {
      return failure({kind: 'unreachable', detail: 'no connection'});
    }
    this.running.add(request);
    const result = await this.stepWithFault(request, fault);
    this.running.delete(request);
    return result;
  }

  private async stepWithFault(
    request: StepRequest,
    fault: Fault | undefined,
  ): Promise<Result<StepReceipt, EngineError>> {
    switch (fault?.kind) {
      case 'killBefore':
        this.isDead = true;
        return lost;
      case 'cutBefore':
        return lost;
      case 'refused':
        return failure({kind: 'refused', detail: 'leaving'});
      case 'foreign':
        return failure({kind: 'stale', highest: FOREIGN_EPOCH});
      case 'overloaded':
        return failure({kind: 'overloaded', retryAfterMilliseconds: 50});
      case 'restart':
        this.restart();
        break;
      case 'freezeBefore':
        this.frozenUntil = this.now() + fault.milliseconds;
        break;
      case 'slow':
        await this.delay(fault.milliseconds);
        break;
    }
    await this.waitWhileFrozen();
    await this.delay(STEP_MILLISECONDS);
    const result = this.isDead ? lost : this.execute(request);
    if (!result.ok || fault === undefined) {
      return result;
    }
    return this.respond(request, result.value, fault);
  }

  private async respond(
    request: StepRequest,
    receipt: StepReceipt,
    fault: Fault,
  ): Promise<Result<StepReceipt, EngineError>> {
    const former = this.previousReceipt ?? receipt;
    this.previousReceipt = receipt;
    switch (fault.kind) {
      case 'killAfter':
        this.isDead = true;
        return lost;
      case 'cutAfter':
        return lost;
      case 'restartAfter':
        this.restart();
        return lost;
      case 'freezeAfter':
        this.frozenUntil = this.now() + fault.milliseconds;
        await this.waitWhileFrozen();
        return success(receipt);
      case 'late':
        this.running.delete(request);
        await this.delay(fault.milliseconds);
        return success(receipt);
      case 'crossed':
        return success(
          withCorruptedOutput({...former, requestId: 'another'}, receipt),
        );
      case 'twice':
        return success(former);
      case 'oldEpoch':
        return success(
          withCorruptedOutput({...receipt, epoch: receipt.epoch - 1}),
        );
      case 'skipped': {
        const {from, to} = receipt.layers;
        return success(
          withCorruptedOutput({...receipt, layers: {from, to: to - 1}}),
        );
      }
      default:
        return success(receipt);
    }
  }

  private execute(request: StepRequest): Result<StepReceipt, EngineError> {
    const {requestId, epoch, positions} = request;
    const highest = this.highest.get(requestId) ?? 0;
    if (this.checksFencing && epoch < highest) {
      return failure({kind: 'stale', highest});
    }
    if (epoch <= (this.cancelled.get(requestId) ?? 0)) {
      return failure({kind: 'refused', detail: 'cancelled'});
    }
    const sequence = this.sequenceOf(requestId);
    if (positions.from > sequence.length) {
      return failure({kind: 'cacheMissing', coveredTo: sequence.length});
    }
    this.highest.set(requestId, Math.max(highest, epoch));
    this.begun.add(requestId);
    this.executedSteps.push({
      upstream: this.upstream,
      requestId,
      epoch,
      layers: request.layers,
      positions,
      at: this.now(),
    });
    const output = this.compute(request, sequence);
    const receipt: StepReceipt = {
      requestId,
      epoch,
      layers: request.layers,
      positions,
      output,
      engineIncarnation: this.incarnation,
      queueMilliseconds: 0,
      computeMilliseconds: 0,
      transferMilliseconds: 0,
    };
    this.previousReceipt ??= receipt;
    return success(receipt);
  }

  private compute(request: StepRequest, sequence: Sequence): StepOutput {
    const {input, positions} = request;
    const count = positions.to - positions.from;
    let hashes: readonly number[];
    let remaining: number;
    if (input.kind === 'tokens') {
      if (positions.from === 0) {
        sequence.plan = planReply(input.tokens);
      }
      hashes = input.tokens.map(hashToken);
      remaining = remainingTokens(sequence.plan as ReplyPlan, positions.to);
    } else {
      const activation = decodeActivation(input.data, count);
      hashes = activation?.hashes ?? [];
      remaining = activation?.remaining ?? 0;
    }
    sequence.caches.forEach((cache, index) => {
      const layer = this.layers.from + index;
      hashes = applyLayer(layer, cache, positions.from, hashes);
    });
    sequence.length = positions.to;
    if (request.layers.to < request.layerCount) {
      const data = encodeActivation({remaining, hashes});
      return {kind: 'activation', data};
    }
    const endOfText = remaining <= 1;
    if (endOfText) {
      this.sequences.delete(request.requestId);
    }
    return {kind: 'token', token: tokenFromHash(hashes.at(-1) ?? 0), endOfText};
  }

  override async cancel(
    requestId: string,
    epoch: number,
  ): Promise<Result<CancelReport, EngineError>> {
    this.cancels.push(requestId);
    if (this.isDead) {
      return failure({kind: 'unreachable', detail: 'no connection'});
    }
    await this.waitWhileFrozen();
    const begun = this.begun.has(requestId);
    const {incarnation: engineIncarnation} = this;
    const isRunning = [...this.running].some(
      step => step.requestId === requestId && step.epoch <= epoch,
    );
    if (isRunning) {
      return success({state: 'running', begun, engineIncarnation});
    }
    const former = this.cancelled.get(requestId) ?? 0;
    this.cancelled.set(requestId, Math.max(former, epoch));
    if ((this.highest.get(requestId) ?? 0) <= epoch) {
      this.sequences.delete(requestId);
    }
    return success({state: 'idle', begun, engineIncarnation});
  }

  override async exportCache(
    requestId: string,
  ): Promise<Result<CacheReference, EngineError>> {
    const sequence = this.sequences.get(requestId);
    if (this.exportMode === 'absent' || this.isDead || sequence === undefined) {
      return failure({kind: 'refused', detail: 'no export'});
    }
    const length =
      this.exportMode === 'stale'
        ? Math.ceil(sequence.length / 2)
        : sequence.length;
    const caches = sequence.caches.map(cache => cache.slice(0, length));
    const reference = `${this.upstream}/${requestId}/${length}`;
    this.store.set(reference, {caches, plan: sequence.plan, length});
    const positions = {from: 0, to: length};
    return success({reference, layers: this.layers, positions});
  }

  override async importCache(
    requestId: string,
    epoch: number,
    reference: CacheReference,
  ): Promise<Result<PositionRange, EngineError>> {
    const stored = this.store.get(reference.reference);
    if (this.isDead || stored === undefined) {
      return failure({kind: 'refused', detail: 'no such export'});
    }
    const caches = stored.caches.map(cache => [...cache]);
    this.sequences.set(requestId, {...stored, caches});
    const highest = this.highest.get(requestId) ?? 0;
    this.highest.set(requestId, Math.max(highest, epoch));
    return success({from: 0, to: stored.length});
  }

  override async report(): Promise<Result<EngineReport, EngineError>> {
    return failure({kind: 'refused', detail: 'not part of these tests'});
  }

  override async order(): Promise<Result<void, EngineError>> {
    return failure({kind: 'refused', detail: 'not part of these tests'});
  }

  private restart(): void {
    this.incarnationNumber += 1;
    this.sequences.clear();
    this.begun.clear();
    this.highest.clear();
    this.cancelled.clear();
  }

  private sequenceOf(requestId: string): Sequence {
    const known = this.sequences.get(requestId);
    if (known) {
      return known;
    }
    const count = this.layers.to - this.layers.from;
    const caches: LayerCache[] = Array.from({length: count}, () => []);
    const sequence = {caches, plan: undefined, length: 0};
    this.sequences.set(requestId, sequence);
    return sequence;
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }

  private async waitWhileFrozen(): Promise<void> {
    const remainingMilliseconds = this.frozenUntil - this.now();
    if (remainingMilliseconds > 0) {
      await this.delay(remainingMilliseconds);
    }
  }

  private delay(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.setTimer(milliseconds, resolve);
    });
  }
}

/** A copy of a receipt whose output is a corrupted form of the output of `source`. */
function withCorruptedOutput(
  receipt: StepReceipt,
  source = receipt,
): StepReceipt {
  const {output} = source;
  if (output.kind === 'token') {
    return {...receipt, output: {...output, token: `${output.token}-x`}};
  }
  const data = output.data.replace(/[0-9a-f]$/, 'z');
  return {...receipt, output: {...output, data}};
}
