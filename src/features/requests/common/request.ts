import {ClassOfWork, Model} from '../../configuration/common/configuration.js';
import {RequestFailure} from './failure.js';

/** Model requests accepted from callers, and their results. */

/** A chat message. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** A request for a reply from a model. */
export interface ModelRequest {
  /** Unique for each attempt by a caller; also identifies the work at engines. */
  readonly requestId: string;
  /** The caller's Idempotency-Key header, if any. */
  readonly idempotencyKey: string | undefined;
  readonly clientAccount: string;
  readonly classOfWork: ClassOfWork;
  readonly model: Model;
  readonly adapter: string | undefined;
  readonly messages: readonly ChatMessage[];
  /** The tokenized prompt. */
  readonly promptTokens: readonly string[];
  readonly maximumOutputTokens: number;
  readonly stream: boolean;
  /** Monotonic milliseconds at arrival. */
  readonly arrivedAt: number;
  /** Monotonic milliseconds by which the reply must be complete. */
  readonly deadlineAt: number;
}

/** Why a reply ended: at its natural end, or at its maximum number of tokens. */
export type FinishReason = 'stop' | 'length';

/** A complete reply of a model. */
export interface ModelReply {
  readonly requestId: string;
  readonly tokens: readonly string[];
  readonly finishReason: FinishReason;
}

/** The outcome of a request, as stored for `GET /v1/requests/{key}`. */
export type RequestOutcome =
  | {readonly kind: 'running'}
  | {
      readonly kind: 'completed';
      readonly status: number;
      readonly contentType: string;
      readonly body: string;
    }
  | {readonly kind: 'failed'; readonly failure: RequestFailure}
  /** The request was claimed, and its outcome is unknown. */
  | {readonly kind: 'unknown'};
