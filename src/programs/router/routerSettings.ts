import {RetryBudgetSettings} from '../../features/forwarding/common/retryBudget.js';
import {Mechanisms} from '../../features/mechanisms/common/mechanisms.js';

/** Settings of the router program. Addresses are `IP:port`. */
export interface RouterSettings {
  readonly instance: {
    readonly name: string;
    readonly dataCentre: string;
    readonly region: string;
  };
  readonly listen: {
    /** Address for requests of callers. */
    readonly callers: string;
    /** Address for readiness checks of the platform. */
    readonly readiness: string;
    /** Address for queries of callers for instance addresses; undefined when the instance doesn't serve them. */
    readonly directory: string | undefined;
    readonly peers: string;
    readonly metrics: string;
  };
  /** Time after its revocation from which a key must be refused; undefined when there is no bound. */
  readonly revocationMilliseconds: number | undefined;
  /** Time from the stop signal until the platform kills the process. */
  readonly stopMilliseconds: number;
  /** Longest time to live that the platform permits for addresses. */
  readonly addressSeconds: number;
  readonly retries: RetryBudgetSettings;
  /** Routing mechanisms that are switched on. */
  readonly mechanisms: Mechanisms;
  /** Shared secret by which instances authenticate to each other. */
  readonly peerKey: string;
  /** Maximum open file descriptors of the process. */
  readonly descriptorLimit: number;
  /** Memory in bytes beyond which the platform ends the process. */
  readonly memoryLimitBytes: number;
}
