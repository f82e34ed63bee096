import {Clock} from '../../../base/common/clock.js';
import {EngineConnector} from '../../../infrastructure/engine/common/engineConnection.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {CapacityBroker} from '../../routing/common/routing.js';
import {PipelineSettings} from '../common/pipelineSettings.js';
import {Safeguards} from '../common/safeguards.js';

/** Services and settings that the driver uses. */
export interface PipelineDependencies {
  readonly broker: CapacityBroker;
  readonly connector: EngineConnector;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly settings: PipelineSettings;
  readonly safeguards: Safeguards;
  /** Whether the platform lists the upstream as leaving, so that it must not be given new requests. */
  readonly isLeaving: (upstream: string) => boolean;
}
