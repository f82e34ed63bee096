import {Disposable} from '../../../base/common/lifecycle.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {RawHeaders} from './wire.js';

/** One request to an upstream and its answer, as a port. */

/** A request as it goes to an upstream. */
export interface UpstreamRequest {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body: Uint8Array;
  /** Time until the request must have been written. */
  readonly connectMilliseconds: number;
  /** Whether it goes on a connection of its own, on which no answer to an earlier request can come late. */
  readonly isAlone: boolean;
}

/** Why no whole answer came. */
export interface ExchangeFailure {
  /** Whether writing had begun: if not, the request has surely not run. */
  readonly wasSent: boolean;
  readonly detail: string;
}

/** Is told of an answer as it comes. After `onEnd` or `onFailure` nothing follows. */
export abstract class AnswerListener {
  abstract onHead(status: number, reason: string, headers: RawHeaders): void;
  abstract onBody(chunk: Uint8Array): void;
  /** @param isFramed whether the answer said where it ends; else it ended with its connection. */
  abstract onEnd(isFramed: boolean): void;
  abstract onFailure(failure: ExchangeFailure): void;
}

/** A request in progress; disposing closes its connection unless the answer was whole. */
export abstract class UpstreamExchange implements Disposable {
  /** Stops reading, for a caller that does not keep up. */
  abstract pause(): void;
  abstract resume(): void;
  abstract dispose(): void;
}

/** Opens exchanges. */
export abstract class UpstreamConnector {
  abstract open(
    upstream: Upstream,
    request: UpstreamRequest,
    listener: AnswerListener,
  ): UpstreamExchange;
}
