import {randomUUID} from 'node:crypto';

import {
  DisposableOwner,
  toDisposable,
} from '../../src/base/common/lifecycle.js';
import {failure, Result, success} from '../../src/base/common/result.js';
import {
  CacheReference,
  CancelReport,
  EngineError,
  EngineOrder,
  EngineReport,
  PositionRange,
  StepOutput,
  StepReceipt,
  StepRequest,
} from '../../src/infrastructure/engine/common/engineConnection.js';
import {
  CacheExport,
  CacheExports,
  fetchExport,
  restoreExport,
} from './cacheExports.js';
import {
  DeathPoint,
  EngineLedgerEntry,
  EngineSettings,
} from './engineSettings.js';
import {LoadedModel} from './loadedModel.js';
import {Ledger} from './ledger.js';
import {evictOldest} from '../../src/base/common/evictOldest.js';
import {PrefixCache} from './prefixCache.js';
import {Sequence, SequenceSlots} from './sequences.js';
import {
  computeStep,
  inputHashes,
  isPrefill,
  ledgerFields,
} from './stepComputation.js';
import {sleep} from '../support/sleep.js';

/** Errors that an engine returns itself, as opposed to transport errors. */
export type EngineRefusal = Extract<
  EngineError,
  {readonly kind: 'stale' | 'cacheMissing' | 'overloaded' | 'refused'}
>;

/** Hooks into the program that hosts an engine. */
export interface EngineHost {
  /** Resolves once the engine is not frozen. */
  waitUntilThawed(): Promise<void>;
  /** Called at each point of a step; may dispose the engine. */
  onStepPoint(point: DeathPoint): void;
}

/** State of a request that outlives its KV cache. */
interface RequestRecord {
  begun: boolean;
  highestEpoch: number;
  cancelledEpoch: number;
}

type StepResult = Result<StepReceipt, EngineRefusal>;

const RECORD_LIMIT = 50_000;
const NO_EPOCH = -1;
const OVERLOAD_RETRY_MILLISECONDS = 500;
const HEX_DIGITS_PER_HASH = 8;
const PREFIX_LIMIT = 32;
const PREFIX_REPORT_LAG_MILLISECONDS = 200;

/** Arrival times of a step and its transfer time. */
interface StepArrival {
  /** Monotonic milliseconds; start of the queueing time. */
  readonly arrivedAt: number;
  /** Wall-clock milliseconds, for the ledger. */
  readonly receivedAt: number;
  readonly transferMilliseconds: number;
}

/** One incarnation of a model engine. A dead incarnation is never restarted, but replaced by a new one. */
export class Engine extends DisposableOwner {
  readonly incarnation = randomUUID();
  slowFactor = 1;
  isLeaving = false;
  /** One-way delays in milliseconds, by upstream id; the empty id is the caller, `*` all links. */
  readonly linkOverrides = new Map<string, number>();
  private readonly slots: SequenceSlots;
  private readonly prefixes: PrefixCache;
  private readonly records = new Map<string, RequestRecord>();
  private readonly exports = new CacheExports();
  private readonly loadedModel: LoadedModel;
  private snapshot: EngineReport | undefined;
  private snapshotAt = 0;

  constructor(
    private readonly settings: EngineSettings,
    private readonly ledger: Ledger<EngineLedgerEntry>,
    private readonly host: EngineHost,
  ) {
    super();
    this.loadedModel = new LoadedModel(settings);
    this.slots = new SequenceSlots(settings.sequenceLimit);
    this.prefixes = new PrefixCache(
      PREFIX_LIMIT,
      PREFIX_REPORT_LAG_MILLISECONDS,
    );
    this.refreshSnapshot();
    this.runEvery(settings.reportLagMilliseconds, () => this.refreshSnapshot());
    const {idleMilliseconds} = settings;
    this.runEvery(idleMilliseconds / 4, () =>
      this.slots.freeIdle(performance.now() - idleMilliseconds),
    );
  }

  /** Whether this incarnation has ended. A dead engine completes no step and records no completion. */
  get isDead(): boolean {
    return this.isDisposed;
  }

  /** Runs a step, or refuses it before it starts. */
  async step(
    step: StepRequest,
    onDidDisconnect: (stop: () => void) => void,
  ): Promise<StepResult> {
    const transferMilliseconds = this.transferMillisecondsFrom(
      step.previousUpstream,
    );
    if (transferMilliseconds > 0) {
      await sleep(transferMilliseconds);
    }
    const arrivedAt = performance.now();
    const receivedAt = Date.now();
    for (;;) {
      const refusal = this.findRefusal(step);
      if (refusal !== undefined) {
        return failure(refusal);
      }
      const sequence = await this.acquireSequence(step, onDidDisconnect);
      if (sequence === undefined) {
        return failure(this.waitEndedError(step));
      }
      const result = await sequence.runExclusively(() =>
        this.runInSlot(step, sequence, {
          arrivedAt,
          receivedAt,
          transferMilliseconds,
        }),
      );
      if (result !== 'slotLost') {
        return result;
      }
    }
  }

  /** Cancels a request at this and all lower epochs, even when the engine does not check fencing. */
  cancel(requestId: string, epoch: number): CancelReport {
    const record = this.getOrCreateRecord(requestId);
    record.cancelledEpoch = Math.max(record.cancelledEpoch, epoch);
    const sequence = this.slots.get(requestId);
    const isRunning = (sequence?.runningSteps ?? 0) > 0;
    this.slots.cancelWaiters(requestId, epoch);
    if (epoch >= record.highestEpoch) {
      this.slots.free(requestId);
    }
    this.addToLedger({kind: 'cancelled', requestId, epoch});
    return {
      state: isRunning ? 'running' : 'idle',
      begun: record.begun,
      engineIncarnation: this.incarnation,
    };
  }

  exportCache(requestId: string): Result<CacheReference, EngineRefusal> {
    const sequence = this.slots.get(requestId);
    const {layers} = this.loadedModel.configuration;
    if (sequence === undefined) {
      return refused('no KV cache of the request');
    }
    const positions = {from: 0, to: sequence.coveredPositions(layers)};
    const id = this.exports.add(sequence, layers);
    const reference = `${this.settings.address}/v1/caches/${id}`;
    return success({reference, layers, positions});
  }

  /** The exported KV cache of an id, for other engines to fetch. */
  getExport(id: string): CacheExport | undefined {
    return this.exports.get(id);
  }

  /** Fetches an exported KV cache from another engine and adds it to this one. */
  async importCache(
    requestId: string,
    epoch: number,
    reference: CacheReference,
  ): Promise<Result<PositionRange, EngineRefusal>> {
    const content = await fetchExport(reference.reference);
    if (content === undefined || content.requestId !== requestId) {
      return refused('the exported KV cache is absent');
    }
    const {layers} = this.loadedModel.configuration;
    const hasAll =
      content.layers.from <= layers.from && content.layers.to >= layers.to;
    if (!hasAll) {
      return refused('the exported KV cache has other layers');
    }
    const stale = this.findStaleError(requestId, epoch);
    if (stale !== undefined) {
      return failure(stale);
    }
    return this.applyImport(requestId, epoch, content);
  }

  report(): EngineReport {
    if (this.settings.reportLagMilliseconds <= 0) {
      this.refreshSnapshot();
    }
    const ageMilliseconds = performance.now() - this.snapshotAt;
    return {...(this.snapshot ?? this.createReport()), ageMilliseconds};
  }

  /** Applies the configuration that an order asks for; idempotent. */
  applyOrder(order: EngineOrder): Result<void, EngineRefusal> {
    const {loadedModel} = this;
    if (this.settings.checksFencing && loadedModel.isStaleOrder(order)) {
      return failure({kind: 'stale', highest: loadedModel.lastOrder.fencing});
    }
    if (loadedModel.apply(order)) {
      this.discardCaches();
    }
    const {fencing, order: orderNumber, model, version, layers, role} = order;
    this.addToLedger({
      kind: 'ordered',
      fencing,
      order: orderNumber,
      model,
      version,
      layers,
      role,
    });
    return success(undefined);
  }

  /** Discards all KV caches and prefixes. */
  discardCaches(): void {
    this.slots.clear();
    this.prefixes.clear();
  }

  private runEvery(milliseconds: number, run: () => void): void {
    if (milliseconds > 0) {
      const timer = setInterval(run, milliseconds).unref();
      this.register(toDisposable(() => clearInterval(timer)));
    }
  }

  private transferMillisecondsFrom(
    previousUpstream: string | undefined,
  ): number {
    const {settings, linkOverrides} = this;
    const allLinksOverride = linkOverrides.get('*');
    if (previousUpstream === undefined) {
      return (
        linkOverrides.get('') ??
        allLinksOverride ??
        settings.callerLinkMilliseconds
      );
    }
    return (
      linkOverrides.get(previousUpstream) ??
      allLinksOverride ??
      settings.linkMilliseconds[previousUpstream] ??
      settings.defaultLinkMilliseconds
    );
  }

  private findRefusal(step: StepRequest): EngineRefusal | undefined {
    const sequence = this.slots.get(step.requestId);
    const reason = this.findRejectionReason(step, sequence !== undefined);
    if (reason !== undefined) {
      return {kind: 'refused', detail: reason};
    }
    const stale = this.findStaleError(step.requestId, step.epoch);
    if (stale !== undefined) {
      return stale;
    }
    const coveredTo = sequence?.coveredPositions(step.layers) ?? 0;
    if (step.positions.from > coveredTo) {
      return {kind: 'cacheMissing', coveredTo};
    }
    if (sequence === undefined && this.slots.isQueueFull) {
      return overloaded();
    }
    return undefined;
  }

  private findRejectionReason(
    step: StepRequest,
    isResident: boolean,
  ): string | undefined {
    if (this.loadedModel.isLoading) {
      return 'loading';
    }
    if (this.isLeaving && !isResident) {
      return 'leaving';
    }
    return (
      this.loadedModel.findMismatch(step) ??
      (inputHashes(step) === undefined ? 'malformed input' : undefined)
    );
  }

  private findStaleError(
    requestId: string,
    epoch: number,
  ): EngineRefusal | undefined {
    const record = this.records.get(requestId);
    if (record === undefined) {
      return undefined;
    }
    const {cancelledEpoch, highestEpoch} = record;
    const isFenced = this.settings.checksFencing && epoch < highestEpoch;
    if (epoch > cancelledEpoch && !isFenced) {
      return undefined;
    }
    return {kind: 'stale', highest: Math.max(cancelledEpoch, highestEpoch)};
  }

  private async acquireSequence(
    step: StepRequest,
    onDidDisconnect: (stop: () => void) => void,
  ): Promise<Sequence | undefined> {
    const {requestId, epoch, priority} = step;
    return (
      this.slots.get(requestId) ??
      (await this.slots.acquire(requestId, epoch, priority, onDidDisconnect))
    );
  }

  private waitEndedError(step: StepRequest): EngineRefusal {
    return this.findStaleError(step.requestId, step.epoch) ?? overloaded();
  }

  private async runInSlot(
    step: StepRequest,
    sequence: Sequence,
    {arrivedAt, receivedAt, transferMilliseconds}: StepArrival,
  ): Promise<StepResult | 'slotLost'> {
    await this.host.waitUntilThawed();
    if (this.slots.get(step.requestId) !== sequence) {
      return 'slotLost';
    }
    const refusal = this.findRefusal(step);
    if (refusal !== undefined) {
      return failure(refusal);
    }
    const begunAt = performance.now();
    const output = await this.execute(step, sequence, receivedAt);
    if (output === undefined) {
      return refused('dead');
    }
    return success({
      requestId: step.requestId,
      epoch: step.epoch,
      layers: step.layers,
      positions: step.positions,
      output,
      engineIncarnation: this.incarnation,
      queueMilliseconds: begunAt - arrivedAt,
      computeMilliseconds: performance.now() - begunAt,
      transferMilliseconds,
    });
  }

  private async execute(
    step: StepRequest,
    sequence: Sequence,
    receivedAt: number,
  ): Promise<StepOutput | undefined> {
    const record = this.getOrCreateRecord(step.requestId);
    record.begun = true;
    record.highestEpoch = Math.max(record.highestEpoch, step.epoch);
    this.addToLedger({kind: 'begun', ...ledgerFields(step), receivedAt});
    this.host.onStepPoint('begun');
    sequence.runningSteps++;
    await waitForCompute(sequence, this.computeMilliseconds(step));
    await this.host.waitUntilThawed();
    sequence.runningSteps--;
    sequence.lastUsed = performance.now();
    if (this.isDead) {
      return undefined;
    }
    const output = computeStep(step, sequence);
    const token = output.kind === 'token' ? output.token : undefined;
    this.addToLedger({kind: 'completed', ...ledgerFields(step), token});
    this.host.onStepPoint('computed');
    const isEnd = output.kind === 'token' && output.endOfText;
    if (isEnd || sequence.isFreePending) {
      this.slots.free(step.requestId);
    }
    return output;
  }

  private computeMilliseconds(step: StepRequest): number {
    const {settings} = this;
    if (!isPrefill(step)) {
      return settings.decodeMilliseconds * this.slowFactor;
    }
    const positions = step.positions.to - step.positions.from;
    const uncached = Math.max(1, positions - this.countCachedPositions(step));
    return settings.prefillMillisecondsPerToken * uncached * this.slowFactor;
  }

  private countCachedPositions(step: StepRequest): number {
    if (step.prefixKey === undefined || step.positions.from > 0) {
      return 0;
    }
    const key = `${step.adapter ?? ''}/${step.prefixKey}`;
    if (step.input.kind === 'tokens') {
      const text = `${step.input.tokens.join(' ')} `;
      const shared = text.slice(
        0,
        this.prefixes.matchOrStore(step.prefixKey, text),
      );
      return shared.split(' ').length - 1;
    }
    const digits = step.input.data.slice(step.input.data.indexOf(':') + 1);
    return Math.floor(
      this.prefixes.matchOrStore(key, digits) / HEX_DIGITS_PER_HASH,
    );
  }

  private applyImport(
    requestId: string,
    epoch: number,
    content: CacheExport,
  ): Result<PositionRange, EngineRefusal> {
    const hasFreeSlot = this.slots.residentCount < this.settings.sequenceLimit;
    if (!hasFreeSlot && this.slots.get(requestId) === undefined) {
      return failure(overloaded());
    }
    const record = this.getOrCreateRecord(requestId);
    record.highestEpoch = Math.max(record.highestEpoch, epoch);
    const first = Number.NEGATIVE_INFINITY;
    void this.slots.acquire(requestId, epoch, first, () => {});
    const sequence = this.slots.get(requestId);
    if (sequence === undefined) {
      return failure(overloaded());
    }
    restoreExport(sequence, content);
    this.addToLedger({kind: 'imported', requestId, epoch});
    return success({
      from: 0,
      to: sequence.coveredPositions(this.loadedModel.configuration.layers),
    });
  }

  private refreshSnapshot(): void {
    this.snapshot = this.createReport();
    this.snapshotAt = performance.now();
  }

  private createReport(): EngineReport {
    const {settings, loadedModel, slots} = this;
    const {configuration} = loadedModel;
    return {
      upstream: settings.id,
      engineIncarnation: this.incarnation,
      acceleratorKind: settings.acceleratorKind,
      model: configuration.model,
      version: configuration.version,
      adapters: configuration.adapters,
      layers: configuration.layers,
      role: configuration.role,
      checksFencing: settings.checksFencing,
      sequenceLimit: settings.sequenceLimit,
      residentSequences: slots.residentCount,
      queuedSequences: slots.waitingCount,
      decodeMilliseconds: settings.decodeMilliseconds,
      prefillMillisecondsPerToken: settings.prefillMillisecondsPerToken,
      cachedPrefixes: this.prefixes.reportedPrefixes(performance.now()),
      ageMilliseconds: 0,
      leaving: this.isLeaving,
      appliedOrder: Math.max(0, loadedModel.lastOrder.order),
      loading: loadedModel.isLoading,
    };
  }

  private getOrCreateRecord(requestId: string): RequestRecord {
    const existing = this.records.get(requestId);
    if (existing !== undefined) {
      return existing;
    }
    const created = {
      begun: false,
      highestEpoch: NO_EPOCH,
      cancelledEpoch: NO_EPOCH,
    };
    this.records.set(requestId, created);
    evictOldest(this.records, RECORD_LIMIT);
    return created;
  }

  private addToLedger(entry: WithoutEngineFields<EngineLedgerEntry>): void {
    const {id: upstream} = this.settings;
    const {incarnation} = this;
    this.ledger.add({upstream, incarnation, ...entry} as EngineLedgerEntry);
  }
}

type WithoutEngineFields<T> = T extends unknown
  ? Omit<T, 'upstream' | 'incarnation'>
  : never;

/** Waits for the compute time; time by which a timer overshoots is subtracted from the sequence's next wait. */
async function waitForCompute(
  sequence: Sequence,
  milliseconds: number,
): Promise<void> {
  const waitMilliseconds = milliseconds - sequence.overshootMilliseconds;
  const start = performance.now();
  if (waitMilliseconds > 0) {
    await sleep(Math.floor(waitMilliseconds));
  }
  const elapsedMilliseconds = performance.now() - start;
  sequence.overshootMilliseconds = Math.min(
    elapsedMilliseconds - waitMilliseconds,
    milliseconds,
  );
}

function refused(detail: string): Result<never, EngineRefusal> {
  return failure({kind: 'refused', detail});
}

function overloaded(): EngineRefusal {
  return {
    kind: 'overloaded',
    retryAfterMilliseconds: OVERLOAD_RETRY_MILLISECONDS,
  };
}
