import {Clock} from '../../base/common/clock.js';
import {Disposable} from '../../base/common/lifecycle.js';
import {ServiceDispatcher} from '../../features/callers/common/serviceDispatcher.js';
import {ClaimService} from '../../features/claims/common/claimService.js';
import {ControlViewSource} from '../../features/membership/node/controlViewSource.js';
import {PipelineDriver} from '../../features/pipeline/common/pipelineDriver.js';
import {HttpEngineConnector} from '../../infrastructure/engine/node/httpEngineConnector.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../infrastructure/metrics/common/metrics.js';
import {HttpServiceConnector} from '../../infrastructure/service/node/httpServiceConnector.js';
import {EntrySettings} from '../../infrastructure/settings/common/programSettings.js';

/** Dependencies of the components of each policy. */
export interface PolicyDependencies {
  readonly settings: EntrySettings;
  readonly peerKey: string;
  readonly incarnation: string;
  readonly views: ControlViewSource;
  readonly engines: HttpEngineConnector;
  readonly services: HttpServiceConnector;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** The components that differ between policies. */
export interface PolicyComponents extends Disposable {
  readonly claims: ClaimService;
  readonly driver: PipelineDriver;
  readonly dispatcher: ServiceDispatcher;
  /** Starts to serve peers and to run background tasks. */
  start(): Promise<void>;
  /** Resolves once the outcomes of ended requests have been recorded, or after the timeout. */
  drain(timeoutMilliseconds: number): Promise<void>;
}
