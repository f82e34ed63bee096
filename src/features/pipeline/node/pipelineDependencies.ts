import {Clock} from '../../../base/common/clock.js';
import {EngineConnector} from '../../../infrastructure/engine/common/engineConnection.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {CapacityBroker} from '../../routing/common/routing.js';
import {PipelineSettings} from '../common/pipelineSettings.js';
import {Safeguards} from '../common/safeguards.js';

/** What the driver works with. */
export interface PipelineDependencies {
  readonly broker: CapacityBroker;
  readonly connector: EngineConnector;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly settings: PipelineSettings;
  readonly safeguards: Safeguards;
  /** Whether the platform's list says that an upstream leaves, so that it gets nothing new. */
  readonly isLeaving: (upstream: string) => boolean;
}
