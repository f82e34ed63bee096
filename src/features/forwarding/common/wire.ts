import {Upstream} from '../../fleet/common/upstream.js';
import {Path} from '../../paths/common/path.js';

/** How requests and answers are written on the wire, as a port: names of headers and their formats. */

/** Header names and values by turns, as they came, in their order and spelling. */
export type RawHeaders = readonly string[];

/** What a request says of itself. */
export interface RequestFacts {
  /** Names one attempt of a caller; undefined when the request has none. */
  readonly id: string | undefined;
  readonly host: string | undefined;
  readonly key: string | undefined;
  /** How long the caller waits for the end of the answer. */
  readonly deadlineMilliseconds: number | undefined;
  /** The last event of a stream that the caller has. */
  readonly lastEvent: number | undefined;
  readonly promptTokens: number;
  /** The most tokens that the answer may have. */
  readonly answerTokens: number;
  /** The caller's estimate of the answer's length. */
  readonly expectedAnswerTokens: number | undefined;
}

/** What the router adds to a request for one upstream. */
export interface UpstreamAdditions {
  readonly deadlineMilliseconds: number;
  /** Any other upstream at the address refuses the request. */
  readonly upstream: Upstream;
  readonly account: string | undefined;
  readonly priority: number;
  /** Undefined where the upstream runs the request alone. */
  readonly path: Path | undefined;
  /** The stream goes on behind this event. */
  readonly lastEvent: number | undefined;
}

/** What an upstream's answer says of itself. */
export interface AnswerFacts {
  /** The request that it answers; undefined when it does not say. */
  readonly requestId: string | undefined;
  /** Whether it carries the upstream's proof that it ran the request. */
  readonly hasProof: boolean;
  /** Whether it says that the request was not run and will not be. */
  readonly isNotRun: boolean;
  /** Whether another upstream than the one expected has the address. */
  readonly isMisdirected: boolean;
  /** Address of the upstream that a failure is due to. */
  readonly faultyAddress: string | undefined;
  /** Whether the body is encoded, which callers did not ask for. */
  readonly isEncoded: boolean;
}

/** Reads and writes headers. */
export abstract class Wire {
  abstract readRequest(headers: RawHeaders): RequestFacts;
  /** The headers for an upstream: the caller's, but for those of one connection and those that the router sets. */
  abstract upstreamHeaders(
    headers: RawHeaders,
    additions: UpstreamAdditions,
  ): string[];
  abstract readAnswer(status: number, headers: RawHeaders): AnswerFacts;
  /** The headers for a caller: the upstream's, but for those of one connection. */
  abstract callerHeaders(headers: RawHeaders): string[];
}
