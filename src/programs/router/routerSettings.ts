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
    /** Where callers send their requests. */
    readonly callers: string;
    /** Where the platform asks whether the instance is ready. */
    readonly readiness: string;
    /** Where callers ask which instances to use; undefined where it is not served. */
    readonly directory: string | undefined;
    readonly peers: string;
    readonly metrics: string;
  };
  /** Time after which a revoked key must be refused; undefined where that has no bound. */
  readonly revocationMilliseconds: number | undefined;
  /** Time from the signal to stop until the process is killed. */
  readonly stopMilliseconds: number;
  /** Longest time for which callers keep a list of addresses. */
  readonly addressSeconds: number;
  readonly retries: RetryBudgetSettings;
  /** Which mechanisms of the decisions are on. */
  readonly mechanisms: Mechanisms;
  /** Secret that instances present to each other. */
  readonly peerKey: string;
  /** Descriptors that the process may have open. */
  readonly descriptorLimit: number;
}
