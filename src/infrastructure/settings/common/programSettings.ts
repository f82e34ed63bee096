/** Settings of the programs, as their JSON files hold them. Addresses are `IP:port`. */

/** Which instance a program belongs to. */
export interface InstanceSettings {
  readonly id: string;
  readonly region: string;
  readonly dataCentre: string;
}

/** Where the platform's services are. */
export interface PlatformSettings {
  readonly tableAddress: string;
  readonly objectsAddress: string;
  readonly weightsAddress: string;
  readonly membershipAddress: string;
}

/** Logging and metrics. */
export interface ObservationSettings {
  readonly logLevel: 'trace' | 'debug' | 'info' | 'warn' | 'error';
  /** StatsD `IP:port`; metrics are dropped when absent. */
  readonly metricsAddress?: string;
}

/** Settings of `redwing-entry`. */
export interface EntrySettings {
  readonly instance: InstanceSettings;
  readonly callerAddress: string;
  readonly peerAddress: string;
  /** The control program of the same instance. */
  readonly controlAddress: string;
  readonly platform: PlatformSettings;
  /** File that holds the secret shared by this system's processes. */
  readonly peerKeyFile: string;
  readonly observation: ObservationSettings;
  /** Largest request body in bytes. */
  readonly bodyLimitBytes: number;
  /** Requests in progress at once; more are refused. */
  readonly concurrentRequestLimit: number;
  /** Seconds that callers may keep an answer of `GET /v1/entrypoints`. */
  readonly entrypointsSeconds: number;
  /** Seconds that a planned stop waits for requests in flight. */
  readonly drainSeconds: number;
  /** Replicas in a cell at most. */
  readonly cellSize: number;
  /** `redwing` or, for comparison only, `naive`: round robin, no admission, no records. */
  readonly policy: 'redwing' | 'naive';
}

/** Settings of `redwing-control`. */
export interface ControlSettings {
  readonly instance: InstanceSettings;
  readonly controlAddress: string;
  readonly platform: PlatformSettings;
  readonly peerKeyFile: string;
  /** File that holds the operators' bearer keys: JSON, name to hex SHA-256. */
  readonly operatorKeysFile: string;
  readonly observation: ObservationSettings;
  /** Seconds between reads of the configuration's head row. */
  readonly headReadSeconds: number;
  /** Seconds between reads of the membership list by an instance that reaches no peer, and on average between any two reads by all instances. */
  readonly membershipReadSeconds: number;
  /** Bytes a second that an instance spends on reading that list, as long as all instances together read often enough; 400 when absent. */
  readonly membershipReadBytesPerSecond: number;
  /** Seconds between exchanges with peers. */
  readonly peerExchangeSeconds: number;
  /** Seconds without confirmation of the configuration after which no new work is taken. */
  readonly confirmationBoundSeconds: number;
  /** Whether this instance may take placement leases. */
  readonly placementEnabled: boolean;
}

/** Settings of `redwing`, the operators' command line. */
export interface OperatorSettings {
  /** Control programs, tried in order. */
  readonly controlAddresses: readonly string[];
  /** File that holds the operator's bearer key. */
  readonly operatorKeyFile: string;
  /** Seconds that one call may take. */
  readonly timeoutSeconds: number;
}
