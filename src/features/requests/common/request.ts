import {ClassOfWork, Model} from '../../configuration/common/configuration.js';
import {RequestFailure} from './failure.js';

/** Requests as accepted from callers. */

/** A chat message. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** A request for a reply from a model. */
export interface ModelRequest {
  /** Unique for each attempt by a caller; names the work at engines. */
  readonly requestId: string;
  /** The caller's Idempotency-Key, or undefined. */
  readonly idempotencyKey: string | undefined;
  readonly clientAccount: string;
  readonly classOfWork: ClassOfWork;
  readonly model: Model;
  readonly adapter: string | undefined;
  readonly messages: readonly ChatMessage[];
  /** The prompt as tokens. */
  readonly promptTokens: readonly string[];
  readonly maximumOutputTokens: number;
  readonly stream: boolean;
  /** Monotonic milliseconds at arrival. */
  readonly arrivedAt: number;
  /** Monotonic milliseconds by which the whole reply is due. */
  readonly deadlineAt: number;
}

/** How a reply ended. */
export type FinishReason = 'stop' | 'length';

/** A whole reply of a model. */
export interface ModelReply {
  readonly requestId: string;
  readonly tokens: readonly string[];
  readonly finishReason: FinishReason;
}

/** What became of a request, as kept for `GET /v1/requests/{key}`. */
export type RequestOutcome =
  | {readonly kind: 'running'}
  | {
      readonly kind: 'completed';
      readonly status: number;
      readonly contentType: string;
      readonly body: string;
    }
  | {readonly kind: 'failed'; readonly failure: RequestFailure}
  /** It was claimed, and nothing further is known. */
  | {readonly kind: 'unknown'};
