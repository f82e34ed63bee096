import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {TrafficConfiguration} from './trafficConfiguration.js';

/** Where the traffic configuration comes from, as a port. */

/** The configuration as it was read. */
export interface ConfigurationReading {
  /** Undefined when there is none, or none that has changed. */
  readonly configuration: TrafficConfiguration | undefined;
  /** Where to go on waiting for changes. */
  readonly position: number;
}

/** Why a reading failed. */
export type SourceError =
  | {readonly kind: 'unavailable'; readonly detail: string}
  /** The changes since the position are no longer known: read as a whole. */
  | {readonly kind: 'historyLost'}
  /** What was read is malformed; `detail` names the field. */
  | {readonly kind: 'malformed'; readonly detail: string};

/** Reads the configuration and waits for changes. */
export abstract class ConfigurationSource {
  abstract read(
    token: CancellationToken,
  ): Promise<Result<ConfigurationReading, SourceError>>;

  /** Answers at a change, or without one after a time. */
  abstract awaitChange(
    position: number,
    waitMilliseconds: number,
    token: CancellationToken,
  ): Promise<Result<ConfigurationReading, SourceError>>;
}
