/** Reports of crashed upstreams and of the requests that may have caused the crash, exchanged between instances. */

/** Parts that a prompt may have: as many as fit into the largest head that callers can send. */
export const PROMPT_PART_LIMIT = 32_768;

/** When upstreams crash under requests. */
export type CrashPhase =
  /** Before an upstream has written a request for long: one that was written for long is sound. */
  | 'early'
  /** After the request was written for long, there or at an earlier upstream: one that was answered whole is sound. */
  | 'late';

/**
 * A request that an upstream was about to write to, or had just begun to write to, when it crashed; in the late phase, one that
 * it was writing or about to write.
 */
export interface SuspectRequest {
  /** Identifies the attempt of a caller. */
  readonly request: string;
  /** Name of the client account; empty without one. */
  readonly account: string;
  /** Identifiers of the parts of its prompt; never empty. */
  readonly promptParts: readonly string[];
}

/** The crash of one run of an upstream, with the suspect requests that the sender knows. */
export interface CrashReport {
  /** Identifier of the run, the same at all instances. */
  readonly upstream: string;
  readonly ageMilliseconds: number;
  readonly requests: readonly SuspectRequest[];
}

/** The last time that a request showed that a prompt part of it is sound. */
export interface SoundPartReport {
  readonly part: string;
  readonly ageMilliseconds: number;
}

/** What instances tell each other about crashes. */
export interface CrashExchange {
  /** Digest of all reports at the sender but the latest; equal digests need no exchange of all reports. */
  readonly digest: number;
  /** The latest reports, or all of them for a peer whose digest is another. */
  readonly reports: readonly CrashReport[];
  readonly soundParts: readonly SoundPartReport[];
  /** Time since any request last showed that its prompt is sound; undefined if none did. */
  readonly soundAgeMilliseconds?: number | undefined;
}

/** What a message to a peer tells of crashes. */
export interface CrashNews {
  /** Crashes in the early phase; undefined if the sender knows none. */
  readonly crashes?: CrashExchange | undefined;
  /** Crashes in the late phase; undefined if the sender knows none, or is of an earlier release. */
  readonly lateCrashes?: CrashExchange | undefined;
  /** The same crashes with all parts of the prompts; undefined as above. */
  readonly lateSharedCrashes?: CrashExchange | undefined;
}
