import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';

/** Interface of a model engine that holds a range of layers. */

/** A range of layers; `to` is exclusive. */
export interface LayerRange {
  readonly from: number;
  readonly to: number;
}

/** A range of token positions; `to` is exclusive. */
export interface PositionRange {
  readonly from: number;
  readonly to: number;
}

/** Input of a step: token texts for the first stage, an opaque activation for the others. */
export type StepInput =
  | {readonly kind: 'tokens'; readonly tokens: readonly string[]}
  | {readonly kind: 'activation'; readonly data: string};

/** Output of a step: an activation for the next stage, or the next token from the last stage. */
export type StepOutput =
  | {readonly kind: 'activation'; readonly data: string}
  | {
      readonly kind: 'token';
      readonly token: string;
      readonly endOfText: boolean;
    };

/** Runs the layers of one stage over a range of token positions of one request. */
export interface StepRequest {
  readonly requestId: string;
  /** Fencing number of steps: increases with each attempt of the request; steps with a lower one are rejected. */
  readonly epoch: number;
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
  readonly layers: LayerRange;
  readonly layerCount: number;
  readonly positions: PositionRange;
  readonly input: StepInput;
  /** Steps with lower numbers run first. */
  readonly priority: number;
  /** Whether positions are recomputed to rebuild a KV cache; only the last position yields a token. */
  readonly rebuild: boolean;
  /** The upstream that computed the activation; undefined for the first stage. */
  readonly previousUpstream?: string;
  /** Hash of the prompt prefix, for the engine's prefix cache. */
  readonly prefixKey?: string;
}

/** Confirms the execution of a step. */
export interface StepReceipt {
  readonly requestId: string;
  readonly epoch: number;
  readonly layers: LayerRange;
  readonly positions: PositionRange;
  readonly output: StepOutput;
  /** Identifies the engine's process, so that a restart is detected. */
  readonly engineIncarnation: string;
  readonly queueMilliseconds: number;
  readonly computeMilliseconds: number;
  readonly transferMilliseconds: number;
}

/** Why a call to an engine failed. */
export type EngineError =
  /** No connection was established, so the call was not executed. */
  | {readonly kind: 'unreachable'; readonly detail: string}
  /** The connection failed or timed out after sending, so the call may have been executed. */
  | {readonly kind: 'lost'; readonly detail: string}
  /** Rejected before execution: the engine has seen a higher epoch of the request (or fencing number of an order). */
  | {readonly kind: 'stale'; readonly highest: number}
  /** Rejected before execution: the KV cache does not cover the earlier positions. */
  | {readonly kind: 'cacheMissing'; readonly coveredTo: number}
  /** Rejected before execution for lack of capacity. */
  | {readonly kind: 'overloaded'; readonly retryAfterMilliseconds: number}
  /** Rejected before execution: the engine does not hold these layers, or is leaving. */
  | {readonly kind: 'refused'; readonly detail: string}
  /** The response belongs to another call. */
  | {readonly kind: 'mismatch'; readonly detail: string}
  /** The caller's token was cancelled; the call may have been executed. */
  | {readonly kind: 'cancelled'};

/** An engine's response to the cancellation of a request. */
export interface CancelReport {
  /** `idle`: no step of the request is running, and none will run at this or a lower epoch. */
  readonly state: 'idle' | 'running';
  /** Whether the engine's process has started any step of the request. */
  readonly begun: boolean;
  /** Identifies the engine's process. After a restart, the report does not cover steps sent to the previous process. */
  readonly engineIncarnation?: string;
}

/** State as reported by an engine; it lags behind the actual state. */
export interface EngineReport {
  readonly upstream: string;
  readonly engineIncarnation: string;
  readonly acceleratorKind: string;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly layers: LayerRange;
  readonly role: 'both' | 'prefill' | 'decode';
  /** Whether the engine rejects orders and steps with outdated fencing numbers or epochs. */
  readonly checksFencing: boolean;
  /** Maximum number of resident sequences. */
  readonly sequenceLimit: number;
  readonly residentSequences: number;
  readonly queuedSequences: number;
  /** Duration of one decode step at the current batch size. */
  readonly decodeMilliseconds: number;
  readonly prefillMillisecondsPerToken: number;
  readonly cachedPrefixes: readonly string[];
  /** Time since these values were measured. */
  readonly ageMilliseconds: number;
  readonly leaving: boolean;
  /** Number of the placement order in progress or last completed. */
  readonly appliedOrder: number;
  readonly loading: boolean;
}

/** The desired state of an engine. Orders are idempotent, and ordered by fencing number, then by order number. */
export interface EngineOrder {
  readonly fencing: number;
  readonly order: number;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly layers: LayerRange;
  readonly role: 'both' | 'prefill' | 'decode';
}

/** Connection to one engine. Every call ends within its time limit or on cancellation. */
export abstract class EngineConnection {
  abstract step(
    request: StepRequest,
    token: CancellationToken,
  ): Promise<Result<StepReceipt, EngineError>>;

  /** Cancels the steps of a request at this and all lower epochs. */
  abstract cancel(
    requestId: string,
    epoch: number,
    token: CancellationToken,
  ): Promise<Result<CancelReport, EngineError>>;

  /** Exports the KV cache of a request. Another engine with the same layers can import it by the reference. */
  abstract exportCache(
    requestId: string,
    token: CancellationToken,
  ): Promise<Result<CacheReference, EngineError>>;

  /** Imports a KV cache; returns the positions that it covers. */
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

/** An opaque reference to an exported KV cache, with the layers and positions that the cache covers. */
export interface CacheReference {
  readonly reference: string;
  readonly layers: LayerRange;
  readonly positions: PositionRange;
}

/** Creates connections to engines. */
export abstract class EngineConnector {
  abstract connect(upstream: string, address: string): EngineConnection;
}
