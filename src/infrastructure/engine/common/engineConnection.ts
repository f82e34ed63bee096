import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';

/** A model engine that holds a range of layers, as a port. */

/** Layers from `from` up to but not including `to`. */
export interface LayerRange {
  readonly from: number;
  readonly to: number;
}

/** Token positions from `from` up to but not including `to`. */
export interface PositionRange {
  readonly from: number;
  readonly to: number;
}

/** What a step works on: token texts into the first stage, an opaque activation into the others. */
export type StepInput =
  | {readonly kind: 'tokens'; readonly tokens: readonly string[]}
  | {readonly kind: 'activation'; readonly data: string};

/** What a step yields: an activation for the next stage, or the next token from the last stage. */
export type StepOutput =
  | {readonly kind: 'activation'; readonly data: string}
  | {
      readonly kind: 'token';
      readonly token: string;
      readonly endOfText: boolean;
    };

/** Runs one stage's layers over a range of positions of one request. */
export interface StepRequest {
  readonly requestId: string;
  /** The fencing number of steps: grows with every attempt of the request; lower ones are void. */
  readonly epoch: number;
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
  readonly layers: LayerRange;
  readonly layerCount: number;
  readonly positions: PositionRange;
  readonly input: StepInput;
  /** Lower numbers run first. */
  readonly priority: number;
  /** Marks positions recomputed to rebuild a KV cache; they release no token but the last. */
  readonly rebuild: boolean;
  /** The upstream that made the activation; undefined for the first stage. */
  readonly previousUpstream?: string;
  /** Hash of the prompt prefix, for the engine's prefix cache. */
  readonly prefixKey?: string;
}

/** The evidence of one executed step. */
export interface StepReceipt {
  readonly requestId: string;
  readonly epoch: number;
  readonly layers: LayerRange;
  readonly positions: PositionRange;
  readonly output: StepOutput;
  /** The engine's process, so that a restart is noticed. */
  readonly engineIncarnation: string;
  readonly queueMilliseconds: number;
  readonly computeMilliseconds: number;
  readonly transferMilliseconds: number;
}

/** Why a call to an engine failed. */
export type EngineError =
  /** No connection was made: surely not run. */
  | {readonly kind: 'unreachable'; readonly detail: string}
  /** The connection broke or timed out after sending: may have run. */
  | {readonly kind: 'lost'; readonly detail: string}
  /** The engine refused before running: it has seen a higher epoch of the request (or fencing number of an order). */
  | {readonly kind: 'stale'; readonly highest: number}
  /** The engine refused before running: its KV cache does not cover the earlier positions. */
  | {readonly kind: 'cacheMissing'; readonly coveredTo: number}
  /** The engine refused before running: no room. */
  | {readonly kind: 'overloaded'; readonly retryAfterMilliseconds: number}
  /** The engine refused before running: it does not hold these layers, or is leaving. */
  | {readonly kind: 'refused'; readonly detail: string}
  /** The answer does not belong to the call. */
  | {readonly kind: 'mismatch'; readonly detail: string}
  /** The caller's token was cancelled; the step may have run. */
  | {readonly kind: 'cancelled'};

/** What an engine says when asked to cancel a request. */
export interface CancelReport {
  /** `idle`: nothing of the request runs and nothing of it will run at this or lower epochs. */
  readonly state: 'idle' | 'running';
  /** Whether any step of the request was ever begun here. */
  readonly begun: boolean;
  /** The engine's process: one that started after a step was sent can't vouch for the one before it. */
  readonly engineIncarnation?: string;
}

/** An engine's own report of its state; it lags. */
export interface EngineReport {
  readonly upstream: string;
  readonly engineIncarnation: string;
  readonly acceleratorKind: string;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly layers: LayerRange;
  readonly role: 'both' | 'prefill' | 'decode';
  /** Whether it refuses orders and steps with old fencing numbers or epochs. */
  readonly checksFencing: boolean;
  /** Sequences that may be resident at once. */
  readonly sequenceLimit: number;
  readonly residentSequences: number;
  readonly queuedSequences: number;
  /** Milliseconds of one decode step at the present batch. */
  readonly decodeMilliseconds: number;
  /** Milliseconds of prefill per prompt token. */
  readonly prefillMillisecondsPerToken: number;
  readonly cachedPrefixes: readonly string[];
  /** Milliseconds since these figures were taken. */
  readonly ageMilliseconds: number;
  readonly leaving: boolean;
  /** The placement order in progress or last completed. */
  readonly appliedOrder: number;
  readonly loading: boolean;
}

/** The desired state of an engine; idempotent, ordered by fencing number then order number. */
export interface EngineOrder {
  readonly fencing: number;
  readonly order: number;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly layers: LayerRange;
  readonly role: 'both' | 'prefill' | 'decode';
}

/** One engine, as a port. Every call ends by itself within its time limit or on cancellation. */
export abstract class EngineConnection {
  abstract step(
    request: StepRequest,
    token: CancellationToken,
  ): Promise<Result<StepReceipt, EngineError>>;

  /** Cancels a request at this and all lower epochs. */
  abstract cancel(
    requestId: string,
    epoch: number,
    token: CancellationToken,
  ): Promise<Result<CancelReport, EngineError>>;

  /** Exports the KV cache of a request; the reference can be imported by another engine of the same layers. */
  abstract exportCache(
    requestId: string,
    token: CancellationToken,
  ): Promise<Result<CacheReference, EngineError>>;

  /** Imports a KV cache; answers the positions it covers. */
  abstract importCache(
    requestId: string,
    epoch: number,
    reference: CacheReference,
    token: CancellationToken,
  ): Promise<Result<PositionRange, EngineError>>;

  abstract report(
    token: CancellationToken,
  ): Promise<Result<EngineReport, EngineError>>;

  abstract order(
    order: EngineOrder,
    token: CancellationToken,
  ): Promise<Result<void, EngineError>>;
}

/** Names an exported KV cache; opaque apart from what it covers. */
export interface CacheReference {
  readonly reference: string;
  readonly layers: LayerRange;
  readonly positions: PositionRange;
}

/** Makes connections to engines by address. */
export abstract class EngineConnector {
  abstract connect(upstream: string, address: string): EngineConnection;
}
