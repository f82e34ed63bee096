import {Clock} from '../../../base/common/clock.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {ClaimService} from '../../claims/common/claims.js';
import {SystemViewSource} from '../../membership/common/systemViewSource.js';
import {PipelineDriver} from '../../pipeline/common/pipelineDriver.js';
import {RequestGate} from '../common/requestGate.js';
import {ServiceDispatcher} from '../common/serviceDispatcher.js';

/** Settings of the callers' side. */
export interface CallerSettings {
  /** IP address and port for callers. */
  readonly callerAddress: string;
  readonly bodyLimitBytes: number;
  readonly concurrentRequestLimit: number;
  readonly entrypointsSeconds: number;
}

/** The parts that the callers' side works with. */
export interface CallerServices {
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
