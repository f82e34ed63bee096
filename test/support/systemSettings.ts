import {join} from 'node:path';

import {
  InstanceMember,
  UpstreamMember,
} from '../../src/infrastructure/membership/common/membershipList.js';
import {
  ControlSettings,
  EntrySettings,
  PlatformSettings,
} from '../../src/infrastructure/settings/common/programSettings.js';
import {
  defaultEngineSettings,
  EngineSettings,
} from '../standins/engineSettings.js';
import {DataCentreOptions, SystemOptions} from './systemOptions.js';

/** Names of files in a launched system's directory. */
export const PEER_KEY_FILE = 'peer.key';
export const OPERATORS_FILE = 'operators.json';

/** Derives the settings of each part of a launched system from its options. */
export class SystemSettings {
  constructor(
    private readonly options: SystemOptions,
    private readonly directory: string,
  ) {}

  /** Settings of an engine, counted through all replicas. */
  engine(index: number, address: string): EngineSettings {
    const {options} = this;
    const {stagesPerReplica, layerCount, accelerators} = options;
    const replica = Math.floor(index / stagesPerReplica);
    const stage = index % stagesPerReplica;
    const boundary = (number: number): number =>
      Math.round((number * layerCount) / stagesPerReplica);
    const accelerator = accelerators[replica % accelerators.length];
    return {
      ...defaultEngineSettings,
      id: engineId(replica, stage),
      address,
      acceleratorKind: accelerator?.kind ?? 'standard',
      model: options.model,
      version: options.version,
      adapters: options.adapters,
      layers: {from: boundary(stage), to: boundary(stage + 1)},
      checksFencing: !(options.mixedFencing && replica % 2 === 1),
      sequenceLimit: options.sequenceLimit,
      decodeMilliseconds: accelerator?.decodeMilliseconds ?? 5,
      prefillMillisecondsPerToken:
        accelerator?.prefillMillisecondsPerToken ?? 0.2,
      callerLinkMilliseconds: options.linkMilliseconds,
      linkMilliseconds: this.linksOf(replica),
      defaultLinkMilliseconds: options.linkMilliseconds,
      ledgerFile: this.ledgerFile('{id}'),
      ...options.engineSettings,
    };
  }

  /** How the platform's list shows an engine. */
  engineMember(engine: EngineSettings): UpstreamMember {
    const replica = Number(engine.id.split('-')[1]);
    const place = this.dataCentreOf(replica);
    return {
      role: 'engine',
      id: engine.id,
      dataCentre: place.name,
      region: place.region,
      address: engine.address,
      group: `replica-${replica}`,
      state: 'live',
    };
  }

  /** Settings of an instance's entry program. */
  entry(member: InstanceMember, platform: PlatformSettings): EntrySettings {
    const {id, region, dataCentre} = member;
    return {
      instance: {id, region, dataCentre},
      callerAddress: member.callerAddress,
      peerAddress: member.entryPeerAddress,
      controlAddress: member.controlAddress,
      platform,
      peerKeyFile: join(this.directory, PEER_KEY_FILE),
      observation: {logLevel: 'info'},
      bodyLimitBytes: 1_000_000,
      concurrentRequestLimit: 1000,
      entrypointsSeconds: 5,
      drainSeconds: 30,
      cellSize: this.options.cellSize,
      policy: this.options.policy,
      ...this.options.entrySettings,
    };
  }

  /** Settings of an instance's control program. */
  control(member: InstanceMember, platform: PlatformSettings): ControlSettings {
    const {id, region, dataCentre} = member;
    return {
      instance: {id, region, dataCentre},
      controlAddress: member.controlAddress,
      platform,
      peerKeyFile: join(this.directory, PEER_KEY_FILE),
      operatorKeysFile: join(this.directory, OPERATORS_FILE),
      observation: {logLevel: 'info'},
      headReadSeconds: 1,
      membershipReadSeconds: 1,
      membershipReadBytesPerSecond: 400,
      peerExchangeSeconds: 1,
      confirmationBoundSeconds: 10,
      placementEnabled: false,
      ...this.options.controlSettings,
    };
  }

  /** The data centre of an instance or replica, given in turn. */
  dataCentreOf(index: number): DataCentreOptions {
    const {dataCentres} = this.options;
    const found = dataCentres[index % dataCentres.length];
    if (found === undefined) {
      throw new Error('options.dataCentres is empty');
    }
    return found;
  }

  /** Where a stand-in writes its ledger; undefined when it keeps it in memory only. */
  ledgerFile(name: string): string | undefined {
    return this.options.ledgerFiles
      ? join(this.directory, `${name}.ledger`)
      : undefined;
  }

  /** Links from engines of other data centres, where they differ from the default. */
  private linksOf(replica: number): Readonly<Record<string, number>> {
    const {options} = this;
    const links: Record<string, number> = {};
    if (options.farLinkMilliseconds === options.linkMilliseconds) {
      return links;
    }
    const place = this.dataCentreOf(replica);
    for (let other = 0; other < options.replicas; other++) {
      if (this.dataCentreOf(other) !== place) {
        for (let stage = 0; stage < options.stagesPerReplica; stage++) {
          links[engineId(other, stage)] = options.farLinkMilliseconds;
        }
      }
    }
    return links;
  }
}

function engineId(replica: number, stage: number): string {
  return `engine-${replica}-${stage}`;
}
