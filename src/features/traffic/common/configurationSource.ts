import {CancellationToken} from '../../../base/common/cancellation.js';
import {Event} from '../../../base/common/event.js';
import {Result} from '../../../base/common/result.js';
import {TrafficConfiguration} from './trafficConfiguration.js';

/** Port through which the router reads the traffic configuration. */

/** Result of a read or of a wait for changes. */
export interface ConfigurationUpdate {
  /** Undefined when no configuration exists or it has not changed. */
  readonly configuration: TrafficConfiguration | undefined;
  /** Position in the change feed from which to wait for the next change. */
  readonly position: number;
  /** Size of all versions in the response; undefined if the source doesn't say. */
  readonly bytes?: number;
}

/** Reason why a read or a wait failed. */
export type ConfigurationSourceError =
  | {readonly kind: 'unavailable'; readonly detail: string}
  /** The feed no longer holds all changes since the position; the configuration must be read anew. */
  | {readonly kind: 'historyLost'}
  /** The configuration is malformed; `detail` names the field. */
  | {readonly kind: 'malformed'; readonly detail: string};

export abstract class ConfigurationSource {
  /** Fires when the platform answers again, on whichever connection, after calls that it did not answer. */
  abstract readonly onDidRecover: Event<void>;

  abstract read(
    token: CancellationToken,
  ): Promise<Result<ConfigurationUpdate, ConfigurationSourceError>>;

  /** Resolves on a change, or without a configuration once the wait is over. */
  abstract awaitChange(
    position: number,
    waitMilliseconds: number,
    token: CancellationToken,
  ): Promise<Result<ConfigurationUpdate, ConfigurationSourceError>>;
}
