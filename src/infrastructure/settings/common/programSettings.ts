/** Settings of the programs, as stored in their JSON files. Addresses are `IP:port`. */

/** The instance that a program belongs to. */
export interface InstanceSettings {
  readonly id: string;
  readonly region: string;
  readonly dataCentre: string;
}

/** Addresses of the platform's services. */
export interface PlatformSettings {
  readonly tableAddress: string;
  readonly objectsAddress: string;
  readonly weightsAddress: string;
  readonly membershipAddress: string;
}

/** Settings of logging and metrics. */
export interface TelemetrySettings {
  readonly logLevel: 'trace' | 'debug' | 'info' | 'warn' | 'error';
  /** Address of the StatsD server; without it, metrics are discarded. */
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
  /** File that contains the secret shared by this system's processes. */
  readonly peerKeyFile: string;
  readonly observation: TelemetrySettings;
  /** Maximum size of a request body. */
  readonly bodyLimitBytes: number;
  /** Maximum number of requests in progress; further requests are rejected. */
  readonly concurrentRequestLimit: number;
  /** Time for which callers may cache the response of `GET /v1/entrypoints`. */
  readonly entrypointsSeconds: number;
  /** Time for which a planned stop waits for requests in flight. */
  readonly drainSeconds: number;
  /** Maximum number of replicas in a cell. */
  readonly cellSize: number;
  /** `redwing` or, for comparison only, `naive`: round robin without admission control and without records. */
  readonly policy: 'redwing' | 'naive';
}

/** Settings of `redwing-control`. */
export interface ControlSettings {
  readonly instance: InstanceSettings;
  readonly controlAddress: string;
  readonly platform: PlatformSettings;
  readonly peerKeyFile: string;
  /** JSON file that maps the operators' names to hex SHA-256 hashes of their bearer keys. */
  readonly operatorKeysFile: string;
  readonly observation: TelemetrySettings;
  /** Interval between reads of the configuration's head row. */
  readonly headReadSeconds: number;
  /**
   * Interval between reads of the membership list by an instance that reaches no peer, and average interval between
   * the reads of all instances together.
   */
  readonly membershipReadSeconds: number;
  /** Rate at which an instance reads that list, if all instances together read often enough; 400 by default. */
  readonly membershipReadBytesPerSecond: number;
  /** Interval between exchanges with peers. */
  readonly peerExchangeSeconds: number;
  /** Time without confirmation of the configuration after which an instance accepts no new work. */
  readonly confirmationBoundSeconds: number;
  /** Whether this instance may acquire placement leases. */
  readonly placementEnabled: boolean;
}

/** Settings of `redwing`, the operators' command line. */
export interface OperatorSettings {
  /** Addresses of control programs, tried in order. */
  readonly controlAddresses: readonly string[];
  /** File that contains the operator's bearer key. */
  readonly operatorKeyFile: string;
  /** Time limit of a call. */
  readonly timeoutSeconds: number;
}
