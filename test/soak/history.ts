import {UpstreamCall} from '../standins/fleet/upstreamLog.js';

/** What callers, upstreams and the player of faults saw in a run; all times are `performance.now()`. */

/** How often a request may run: `safe` and `resumable` ones again, the others at most once. */
export type RequestKind = 'safe' | 'unsafe' | 'resumable' | 'oneTimeStream';

/** How an attempt ended, as its caller saw it. */
export type AttemptEnd =
  | {readonly kind: 'answered'}
  /** The connection ended before a whole response; with `reset`, the router may not have read the request. */
  | {readonly kind: 'cut'; readonly isReset: boolean}
  /** No connection was established. */
  | {readonly kind: 'notConnected'}
  /** The caller closed the connection: at its time limit, after a gap in a stream, or early. */
  | {readonly kind: 'left'; readonly why: 'timeLimit' | 'gap' | 'early'}
  | {readonly kind: 'open'};

/** One attempt of a caller. */
export interface Attempt {
  readonly requestId: string;
  /** Shared by all attempts of one request. */
  readonly requestName: string;
  readonly kind: RequestKind;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  /** First and last event of the stream that are asked for; 0 without streaming. */
  readonly firstEvent: number;
  readonly lastEvent: number;
  /** Name of the instance that the caller asked. */
  readonly instance: string;
  readonly isKeptConnection: boolean;
  readonly startedAt: number;
  readonly timeLimitMilliseconds: number;
  /** When the last byte of the request was sent. */
  sentAt: number | undefined;
  endedAt: number | undefined;
  end: AttemptEnd;
  status: number | undefined;
  stamp: string | undefined;
  response: string;
}

/** A signal that reached a process, or an end of it. */
export type ProcessEvent =
  | {
      readonly kind: 'signal';
      readonly instance: string;
      readonly at: number;
      readonly signal: string;
      /** Whether the platform sent it since the stop took too long. */
      readonly isOverdue: boolean;
    }
  | {
      readonly kind: 'freeze';
      readonly instance: string;
      readonly at: number;
      readonly until: number;
    }
  | {readonly kind: 'start'; readonly instance: string; readonly at: number}
  | {
      readonly kind: 'exit';
      readonly instance: string;
      readonly at: number;
      /** Undefined if a signal ended the process. */
      readonly code: number | undefined;
    };

/** A time in which an upstream, or the store, was in trouble. */
export interface Impairment {
  /** Address of the upstream, or `store`. */
  readonly subject: string;
  readonly from: number;
  readonly until: number;
}

/** The moment from which an upstream takes no further requests but serves on. */
export interface Departure {
  readonly upstream: string;
  readonly at: number;
}

/** The bounds of the rules. */
export interface Bounds {
  readonly stopMilliseconds: number;
  readonly contactMilliseconds: number;
  readonly configurationMilliseconds: number;
  readonly lossSlackMilliseconds: number;
  readonly drainMilliseconds: number;
  /** Upstreams that one attempt may run on. */
  readonly attempts: number;
  readonly eventIntervalMilliseconds: number;
}

/** All that the checks judge. */
export interface History {
  readonly bounds: Bounds;
  readonly attempts: readonly Attempt[];
  readonly calls: readonly UpstreamCall[];
  readonly processEvents: readonly ProcessEvent[];
  readonly impairments: readonly Impairment[];
  readonly departures: readonly Departure[];
}
