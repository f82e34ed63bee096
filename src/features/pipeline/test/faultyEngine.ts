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
  embed,
  encodeActivation,
  LayerCache,
  planReply,
  remainingTokens,
  ReplyPlan,
  tokenOf,
} from '../../../../test/standins/referenceModel.js';

const FOREIGN_EPOCH = 50;
const lost = failure({kind: 'lost', detail: 'connection broke'} as const);

/** How long every step takes. */
export const STEP_MILLISECONDS = 5;

/** What may go wrong with one step. */
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
/** `foreign`: the engine has seen an epoch of another driver. */
export type FaultKind = (typeof faultKinds)[number] | 'foreign';

/** A fault at the n-th step that reaches an engine. */
export interface Fault {
  readonly upstream: string;
  readonly atStep: number;
  readonly kind: FaultKind;
  readonly milliseconds: number;
}

/** One executed step, as the engine itself recorded it. */
export interface LedgerEntry {
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

/** How exports are answered. */
export type ExportMode = 'present' | 'stale' | 'absent';

/** Exported caches by reference, shared by all engines of a test. */
export type CacheStore = Map<string, Sequence>;

/** An engine in the test's process that computes the reference model, keeps its own ledger and fails on demand. */
export class FaultyEngine extends EngineConnection {
  private readonly sequences = new Map<string, Sequence>();
  private readonly highest = new Map<string, number>();
  private readonly cancelled = new Map<string, number>();
  private readonly begun = new Set<string>();
  private readonly running = new Set<StepRequest>();
  private previous: StepReceipt | undefined;
  private steps = 0;
  private incarnationNumber = 1;
  private dead = false;
  private frozenUntil = 0;
  readonly cancels: string[] = [];

  constructor(
    readonly upstream: string,
    readonly layers: LayerRange,
    readonly checksFencing: boolean,
    private readonly clock: Clock,
    private readonly ledger: LedgerEntry[],
    private readonly faults: readonly Fault[],
    private readonly store: CacheStore,
    private readonly exportMode: ExportMode = 'present',
  ) {
    super();
  }

  private get incarnation(): string {
    return `${this.upstream}/${this.incarnationNumber}`;
  }

  /** Sequences that hold a KV cache here; none once it is dead. */
  get resident(): readonly string[] {
    return this.dead ? [] : [...this.sequences.keys()];
  }

  override async step(
    request: StepRequest,
  ): Promise<Result<StepReceipt, EngineError>> {
    const index = this.steps++;
    const fault = this.faults.find(
      ({upstream, atStep}) => upstream === this.upstream && atStep === index,
    );
    if (this.dead || fault?.kind === 'unreachable') {
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
        this.dead = true;
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
        await this.wait(fault.milliseconds);
        break;
    }
    await this.whenAwake();
    await this.wait(STEP_MILLISECONDS);
    const result = this.dead ? lost : this.execute(request);
    if (!result.ok || fault === undefined) {
      return result;
    }
    return this.answer(request, result.value, fault);
  }

  private async answer(
    request: StepRequest,
    receipt: StepReceipt,
    fault: Fault,
  ): Promise<Result<StepReceipt, EngineError>> {
    const former = this.previous ?? receipt;
    this.previous = receipt;
    switch (fault.kind) {
      case 'killAfter':
        this.dead = true;
        return lost;
      case 'cutAfter':
        return lost;
      case 'restartAfter':
        this.restart();
        return lost;
      case 'freezeAfter':
        this.frozenUntil = this.now() + fault.milliseconds;
        await this.whenAwake();
        return success(receipt);
      case 'late':
        this.running.delete(request);
        await this.wait(fault.milliseconds);
        return success(receipt);
      case 'crossed':
        return success(garbled({...former, requestId: 'another'}, receipt));
      case 'twice':
        return success(former);
      case 'oldEpoch':
        return success(garbled({...receipt, epoch: receipt.epoch - 1}));
      case 'skipped': {
        const {from, to} = receipt.layers;
        return success(garbled({...receipt, layers: {from, to: to - 1}}));
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
    this.ledger.push({
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
    this.previous ??= receipt;
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
      hashes = input.tokens.map(embed);
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
    return {kind: 'token', token: tokenOf(hashes.at(-1) ?? 0), endOfText};
  }

  override async cancel(
    requestId: string,
    epoch: number,
  ): Promise<Result<CancelReport, EngineError>> {
    this.cancels.push(requestId);
    if (this.dead) {
      return failure({kind: 'unreachable', detail: 'no connection'});
    }
    await this.whenAwake();
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
    if (this.exportMode === 'absent' || this.dead || sequence === undefined) {
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
    if (this.dead || stored === undefined) {
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

  private async whenAwake(): Promise<void> {
    const left = this.frozenUntil - this.now();
    if (left > 0) {
      await this.wait(left);
    }
  }

  private wait(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.setTimer(milliseconds, resolve);
    });
  }
}

/** A receipt whose output differs from that of `source`. */
function garbled(receipt: StepReceipt, source = receipt): StepReceipt {
  const {output} = source;
  if (output.kind === 'token') {
    return {...receipt, output: {...output, token: `${output.token}-x`}};
  }
  const data = output.data.replace(/[0-9a-f]$/, 'z');
  return {...receipt, output: {...output, data}};
}
