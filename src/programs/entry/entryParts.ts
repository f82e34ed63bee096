import {Clock} from '../../base/common/clock.js';
import {Disposable} from '../../base/common/lifecycle.js';
import {ServiceDispatcher} from '../../features/callers/common/serviceDispatcher.js';
import {ClaimService} from '../../features/claims/common/claims.js';
import {ControlViewSource} from '../../features/membership/node/controlViewSource.js';
import {PipelineDriver} from '../../features/pipeline/common/pipelineDriver.js';
import {HttpEngineConnector} from '../../infrastructure/engine/node/httpEngineConnector.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../infrastructure/metrics/common/metrics.js';
import {HttpServiceConnector} from '../../infrastructure/service/node/httpServiceConnector.js';
import {EntrySettings} from '../../infrastructure/settings/common/programSettings.js';

/** What the parts of either policy are built from. */
export interface EntryBase {
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

/** The parts that differ between policies. */
export interface PolicyParts extends Disposable {
  readonly claims: ClaimService;
  readonly driver: PipelineDriver;
  readonly dispatcher: ServiceDispatcher;
  /** Begins to serve peers and to follow upstreams. */
  start(): Promise<void>;
  /** Resolves when what must be kept of ended requests is kept, or after a time. */
  drain(milliseconds: number): Promise<void>;
}
