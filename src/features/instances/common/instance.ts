/** The instances of the router, as they tell each other. */

/** What an instance can do for callers. */
export type InstanceState = 'serving' | 'unready' | 'stopping';

/** One run of the router on an instance. */
export interface InstanceRecord {
  readonly name: string;
  /** Names one run of the program; a later run of the same instance has a later start. */
  readonly startedAt: number;
  readonly dataCentre: string;
  readonly region: string;
  /** Where callers connect, `IP:port`. */
  readonly callerAddress: string;
  /** Where peers connect, `IP:port`. */
  readonly peerAddress: string;
}

/** What is told about an instance. */
export interface InstanceNews {
  readonly record: InstanceRecord;
  readonly state: InstanceState;
  /** Grows while the instance runs. */
  readonly beat: number;
}
