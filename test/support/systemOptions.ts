import {
  ControlSettings,
  EntrySettings,
} from '../../src/infrastructure/settings/common/programSettings.js';
import {EngineSettings} from '../standins/engineSettings.js';
import {PlatformStandInSettings} from '../standins/platformStandIn.js';
import {ServiceStandInSettings} from '../standins/serviceStandIn.js';

/** A data centre and its region. */
export interface DataCentreOptions {
  readonly name: string;
  readonly region: string;
}

/** A kind of accelerator and its speed. */
export interface AcceleratorOptions {
  readonly kind: string;
  readonly decodeMilliseconds: number;
  readonly prefillMillisecondsPerToken: number;
}

/** A plain service and its replicas. */
export interface ServiceOptions {
  readonly name: string;
  readonly replicas: number;
  readonly settings?: Partial<ServiceStandInSettings>;
}

/** What to launch. Instances, replicas and services are spread over the data centres in turn. */
export interface SystemOptions {
  /** 0 launches the stand-ins alone. */
  readonly instances: number;
  readonly dataCentres: readonly DataCentreOptions[];
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly layerCount: number;
  readonly replicas: number;
  readonly stagesPerReplica: number;
  /** Given to replicas in turn. */
  readonly accelerators: readonly AcceleratorOptions[];
  readonly sequenceLimit: number;
  /** Engines of every second replica ignore fencing numbers. */
  readonly mixedFencing: boolean;
  /** One way between engines of one data centre, and to engines from callers. */
  readonly linkMilliseconds: number;
  /** One way between engines of two data centres. */
  readonly farLinkMilliseconds: number;
  /** Engines hosted by one process; 1 makes them separately killable. */
  readonly enginesPerProcess: number;
  readonly services: readonly ServiceOptions[];
  readonly policy: EntrySettings['policy'];
  readonly cellSize: number;
  /** Whether stand-ins write their ledgers to files too, so that those outlive a killed process. */
  readonly ledgerFiles: boolean;
  /** Further settings, over those derived from the above. */
  readonly engineSettings: Partial<EngineSettings>;
  readonly platformSettings: Partial<PlatformStandInSettings>;
  readonly entrySettings: Partial<EntrySettings>;
  readonly controlSettings: Partial<ControlSettings>;
}

/** A small system: two instances, two replicas of two stages, one plain service. */
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
  mixedFencing: false,
  linkMilliseconds: 0,
  farLinkMilliseconds: 0,
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
