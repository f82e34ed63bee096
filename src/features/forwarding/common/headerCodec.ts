import {Upstream} from '../../fleet/common/upstream.js';
import {Path} from '../../paths/common/path.js';

/** Port: names and formats of the headers of requests and responses. */

/** Header names and values in alternation, in the order and spelling in which they were received. */
export type RawHeaders = readonly string[];

/** Metadata in the headers of a request. */
export interface RequestMetadata {
  /** Identifies one attempt of a caller; undefined if the request has no identifier. */
  readonly id: string | undefined;
  readonly host: string | undefined;
  readonly key: string | undefined;
  /** How long the caller waits for the end of the response. */
  readonly deadlineMilliseconds: number | undefined;
  /** The last event of the stream that the caller has received. */
  readonly lastEvent: number | undefined;
  readonly promptTokens: number;
  /** Maximum number of tokens in the answer. */
  readonly answerTokens: number;
  /** The caller's estimate of the answer's length in tokens. */
  readonly expectedAnswerTokens: number | undefined;
  /**
   * Identifiers of the parts of the prompt in their order, empty if not stated. Requests share leading parts; the last part
   * belongs to this request or to its session.
   */
  readonly promptParts: readonly string[];
}

/** Values that the router adds to the headers of a request to an upstream. */
export interface UpstreamHeaderValues {
  readonly deadlineMilliseconds: number;
  /** The upstream that the request is for; any other upstream at its address refuses the request. */
  readonly upstream: Upstream;
  readonly account: string | undefined;
  readonly priority: number;
  /** Undefined if the upstream runs the request alone. */
  readonly path: Path | undefined;
  /** The stream continues after this event. */
  readonly lastEvent: number | undefined;
}

/** Metadata in the headers of an upstream's response. */
export interface ResponseMetadata {
  /** The request that it responds to; undefined if not stated. */
  readonly requestId: string | undefined;
  /** Whether it carries the upstream's proof that it executed the request. */
  readonly hasProof: boolean;
  /** Whether it states that the request was not executed and will not be. */
  readonly isNotRun: boolean;
  /** Whether the address belongs to another upstream than the expected one. */
  readonly isMisdirected: boolean;
  /** Address of the upstream that caused a failure. */
  readonly faultyAddress: string | undefined;
  /** Whether the body has a content encoding, which callers did not ask for. */
  readonly isEncoded: boolean;
  /** Requests a second that the upstream takes from all instances together; undefined if it names no limit. */
  readonly requestLimit: number | undefined;
  /** Whether the upstream says that it is shutting down. */
  readonly isLeaving: boolean;
  /** How long the upstream wants no further requests of this instance; undefined if it does not say so. */
  readonly restMilliseconds: number | undefined;
}

/** Parses request and response headers and creates those to send. */
export abstract class HeaderCodec {
  abstract readRequest(headers: RawHeaders): RequestMetadata;
  /**
   * Returns the caller's headers for an upstream, without hop-by-hop headers and with the router's own
   * values.
   */
  abstract upstreamHeaders(
    headers: RawHeaders,
    additions: UpstreamHeaderValues,
  ): string[];
  abstract readResponse(status: number, headers: RawHeaders): ResponseMetadata;
  /** Returns the upstream's headers for the caller, without hop-by-hop headers. */
  abstract callerHeaders(headers: RawHeaders): string[];
}
