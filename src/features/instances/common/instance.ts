/** Data about router instances that they exchange with each other. */

/** Whether an instance accepts requests of callers. */
export type InstanceState = 'serving' | 'unready' | 'stopping';

/** Identity and addresses of one run of the router on an instance. */
export interface InstanceRecord {
  readonly name: string;
  /** Wall clock time of the start in milliseconds; identifies the run among those of the instance. */
  readonly startedAt: number;
  readonly dataCentre: string;
  readonly region: string;
  /** Address for callers, `IP:port`. */
  readonly callerAddress: string;
  /** Address for peers, `IP:port`. */
  readonly peerAddress: string;
}

/** State of an instance, as spread by gossip. */
export interface InstanceHeartbeat {
  readonly record: InstanceRecord;
  readonly state: InstanceState;
  /** Whether it reaches upstreams only through peers, so that it can't relay for others. */
  readonly isCutOff: boolean;
  /** Heartbeat counter; increases while the instance runs. */
  readonly beat: number;
}
