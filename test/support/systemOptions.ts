import {
  ControlSettings,
  EntrySettings,
} from '../../src/infrastructure/settings/common/programSettings.js';
import {EngineSettings} from '../standins/engineSettings.js';
import {PlatformStandInSettings} from '../standins/platformStandIn.js';
import {ServiceStandInSettings} from '../standins/serviceStandIn.js';

export interface DataCentreOptions {
  readonly name: string;
  readonly region: string;
}

/** A kind of accelerator with its simulated decode and prefill times. */
export interface AcceleratorOptions {
  readonly kind: string;
  readonly decodeMilliseconds: number;
  readonly prefillMillisecondsPerToken: number;
}

/** A plain service, which has `replicas` stand-ins. */
export interface ServiceOptions {
  readonly name: string;
  readonly replicas: number;
  readonly settings?: Partial<ServiceStandInSettings>;
}

/** Options of a launched system. Instances and replicas, also of services, are assigned to data centres round-robin. */
export interface SystemOptions {
  /** Number of instances; 0 launches only the stand-ins. */
  readonly instances: number;
  readonly dataCentres: readonly DataCentreOptions[];
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly layerCount: number;
  readonly replicas: number;
  readonly stagesPerReplica: number;
  /** Assigned to the model replicas round-robin. */
  readonly accelerators: readonly AcceleratorOptions[];
  readonly sequenceLimit: number;
  /** Whether the engines of every second replica ignore fencing numbers. */
  readonly hasMixedFencing: boolean;
  /** One-way latency between engines of the same data centre, and from callers to engines. */
  readonly linkMilliseconds: number;
  /** One-way latency between engines of different data centres. */
  readonly crossDataCentreLinkMilliseconds: number;
  /** Number of engines that share a process; with 1, each engine can be killed on its own. */
  readonly enginesPerProcess: number;
  readonly services: readonly ServiceOptions[];
  readonly policy: EntrySettings['policy'];
  readonly cellSize: number;
  /** Whether stand-ins also write their ledgers to files, which remain when a process is killed. */
  readonly ledgerFiles: boolean;
  /** These settings override those derived from the options above. */
  readonly engineSettings: Partial<EngineSettings>;
  readonly platformSettings: Partial<PlatformStandInSettings>;
  readonly entrySettings: Partial<EntrySettings>;
  readonly controlSettings: Partial<ControlSettings>;
}

/** Default options: two instances, two model replicas with two stages each and one plain service. */
export const defaultSystemOptions: SystemOptions = {
  instances: 2,
  dataCentres: [{name: 'west-1', region: 'west'}],
  model: 'assistant',
  version: '1',
  adapters: [],
  layerCount: 8,
  replicas: 2,
  stagesPerReplica: 2,
  accelerators: [
    {
      kind: 'standard',
      decodeMilliseconds: 5,
      prefillMillisecondsPerToken: 0.2,
    },
  ],
  sequenceLimit: 8,
  hasMixedFencing: false,
  linkMilliseconds: 0,
  crossDataCentreLinkMilliseconds: 0,
  enginesPerProcess: 16,
  services: [{name: 'dispatch', replicas: 1}],
  policy: 'redwing',
  cellSize: 16,
  ledgerFiles: true,
  engineSettings: {},
  platformSettings: {},
  entrySettings: {},
  controlSettings: {},
};
