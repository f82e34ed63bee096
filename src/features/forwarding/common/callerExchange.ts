import {Event} from '../../../base/common/event.js';
import {RawHeaders} from './headerCodec.js';

/** Port: one caller's request and the response to it. */

/** A response that the router generates itself instead of forwarding one from an upstream. */
export type RouterResponse =
  /** The request is invalid, too large or not authorized. */
  | {
      readonly kind: 'rejected';
      readonly status: 400 | 401 | 404 | 413 | 431;
      readonly reason: string;
    }
  /** The request was not executed and will not be; the caller may retry after the given delay. */
  | {
      readonly kind: 'notRun';
      readonly reason: string;
      readonly retryAfterMilliseconds: number;
    }
  /** The request may have been executed. */
  | {
      readonly kind: 'failed';
      readonly status: 502 | 504;
      readonly reason: string;
    };

/** What became of the body of a caller's request. */
export type BodyOutcome =
  | {readonly kind: 'read'; readonly body: Uint8Array}
  /** The body exceeds the limit, or is sent in pieces that cost more than it. */
  | {readonly kind: 'tooLong'}
  /** The memory for request bodies is used up. */
  | {readonly kind: 'noMemory'}
  | {readonly kind: 'callerLeft'};

/** Status line and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  /** Reason phrase as received; callers get the standard phrase of the status in place of one that HTTP doesn't allow. */
  readonly reason: string;
  readonly headers: RawHeaders;
}

/** A caller's request without its body. */
export interface CallerRequest {
  readonly method: string;
  /** Path and query, unmodified. */
  readonly target: string;
  readonly headers: RawHeaders;
  /** Monotonic time in milliseconds at which the head was read. */
  readonly receivedAt: number;
  /** Monotonic time in milliseconds after which its connection was opened, if that may be long before it was read. */
  readonly connectedAfter?: number;
}

/**
 * Responds to one request. Calls after the response has ended or the caller has disconnected have no
 * effect. No call throws.
 */
export abstract class CallerExchange {
  abstract readonly request: CallerRequest;
  /** Fires once if the caller disconnects before the response has ended. */
  abstract readonly onDidDisconnect: Event<void>;
  /**
   * Fires once with a description if a response can't be written. The exchange is over then: the caller has an error
   * response or, if one had begun, a closed connection.
   */
  abstract readonly onDidFail: Event<string>;
  /** Whether the response has ended or the caller has disconnected. */
  abstract get isOver(): boolean;
  /** Whether the head of a response was sent. */
  abstract get hasBegun(): boolean;
  /** Reads the body as far as the limit allows. */
  abstract readBody(limitBytes: number): Promise<BodyOutcome>;
  /** Reads no more of the body; the connection ends with the response. */
  abstract stopReading(): void;
  /** Sends a complete upstream response; returns false if it can't be written. */
  abstract sendResponse(head: ResponseHead, body: Uint8Array): boolean;
  /** Sends a response that the router generated. */
  abstract sendRouterResponse(response: RouterResponse): void;
  /** Sends the head of a response whose body follows in chunks. */
  abstract sendHead(head: ResponseHead): void;
  /** Sends a chunk of the body; returns false if the caller reads too slowly and the write buffer is full. */
  abstract write(bytes: Uint8Array): boolean;
  /** Calls back once when the write buffer has drained. */
  abstract whenDrained(callback: () => void): void;
  /** Ends a response that was started with `sendHead`. */
  abstract end(): void;
  /** Closes the connection so that a started response does not look complete. */
  abstract abort(): void;
}
