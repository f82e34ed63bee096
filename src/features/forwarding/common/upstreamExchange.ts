import {Disposable} from '../../../base/common/lifecycle.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {RawHeaders} from './headerCodec.js';

/** Port: one request to an upstream and its response. */

/** A request as it is sent to an upstream. */
export interface UpstreamRequest {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body: Uint8Array;
  /** Timeout until the request is written to a connection. */
  readonly connectMilliseconds: number;
  /** Whether it uses a connection of its own, on which no late response to an earlier request can arrive. */
  readonly isAlone: boolean;
}

/** Why no complete response was received. */
export interface ExchangeFailure {
  /** Whether writing had started; if not, the request was certainly not executed. */
  readonly wasSent: boolean;
  readonly detail: string;
  /** Whether the upstream sent so much beside the body that it is faulty, whatever the request. */
  readonly isFlood: boolean;
}

/** Receives a response as it arrives. Nothing follows `onEnd` or `onFailure`. */
export abstract class ResponseListener {
  abstract onHead(status: number, reason: string, headers: RawHeaders): void;
  abstract onBody(chunk: Uint8Array): void;
  /** @param isFramed whether the response marked its own end; otherwise it ended with its connection */
  abstract onEnd(isFramed: boolean): void;
  abstract onFailure(failure: ExchangeFailure): void;
}

/** A request in progress. Disposing closes its connection unless the response is complete. */
export abstract class UpstreamExchange implements Disposable {
  /** Stops reading while the caller reads too slowly. */
  abstract pause(): void;
  abstract resume(): void;
  abstract dispose(): void;
}

/** Sends requests to upstreams. */
export abstract class UpstreamConnector {
  abstract open(
    upstream: Upstream,
    request: UpstreamRequest,
    listener: ResponseListener,
  ): UpstreamExchange;
}
