import {Clock} from '../../../base/common/clock.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {ClaimService} from '../../claims/common/claimService.js';
import {SystemViewSource} from '../../membership/common/systemViewSource.js';
import {PipelineDriver} from '../../pipeline/common/pipelineDriver.js';
import {RequestGate} from '../common/requestGate.js';
import {ServiceDispatcher} from '../common/serviceDispatcher.js';

/** Settings of the caller API. */
export interface CallerSettings {
  /** IP address and port that callers connect to. */
  readonly callerAddress: string;
  readonly bodyLimitBytes: number;
  readonly concurrentRequestLimit: number;
  readonly entrypointsSeconds: number;
}

/** Dependencies of the caller API. */
export interface CallerDependencies {
  readonly settings: CallerSettings;
  readonly views: SystemViewSource;
  readonly gate: RequestGate;
  readonly claims: ClaimService;
  readonly driver: PipelineDriver;
  readonly dispatcher: ServiceDispatcher;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}
