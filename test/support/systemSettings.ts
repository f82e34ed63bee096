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

/** Names of the key files in the directory of a launched system. */
export const PEER_KEY_FILE = 'peer.key';
export const OPERATORS_FILE = 'operators.json';

/** Derives the settings of each program of a launched system from its options. */
export class SystemSettings {
  constructor(
    private readonly options: SystemOptions,
    private readonly directory: string,
  ) {}

  /** Settings of an engine; the index counts the engines of all replicas, replica by replica. */
  engine(index: number, address: string): EngineSettings {
    const {options} = this;
    const {stagesPerReplica, layerCount, accelerators} = options;
    const replica = Math.floor(index / stagesPerReplica);
    const stage = index % stagesPerReplica;
    const firstLayerOf = (stageIndex: number): number =>
      Math.round((stageIndex * layerCount) / stagesPerReplica);
    const accelerator = accelerators[replica % accelerators.length];
    return {
      ...defaultEngineSettings,
      id: engineId(replica, stage),
      address,
      acceleratorKind: accelerator?.kind ?? 'standard',
      model: options.model,
      version: options.version,
      adapters: options.adapters,
      layers: {from: firstLayerOf(stage), to: firstLayerOf(stage + 1)},
      checksFencing: !(options.hasMixedFencing && replica % 2 === 1),
      sequenceLimit: options.sequenceLimit,
      decodeMilliseconds: accelerator?.decodeMilliseconds ?? 5,
      prefillMillisecondsPerToken:
        accelerator?.prefillMillisecondsPerToken ?? 0.2,
      callerLinkMilliseconds: options.linkMilliseconds,
      linkMilliseconds: this.crossDataCentreLinks(replica),
      defaultLinkMilliseconds: options.linkMilliseconds,
      ledgerFile: this.ledgerFile('{id}'),
      ...options.engineSettings,
    };
  }

  /** The membership list entry of an engine. */
  engineMember(engine: EngineSettings): UpstreamMember {
    const replica = Number(engine.id.split('-')[1]);
    const location = this.dataCentreOf(replica);
    return {
      role: 'engine',
      id: engine.id,
      dataCentre: location.name,
      region: location.region,
      address: engine.address,
      group: `replica-${replica}`,
      state: 'live',
    };
  }

  /** Settings of the entry program of an instance. */
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

  /** Settings of the control program of an instance. */
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

  /** The data centre of an instance or replica; data centres are assigned round-robin. */
  dataCentreOf(index: number): DataCentreOptions {
    const {dataCentres} = this.options;
    const found = dataCentres[index % dataCentres.length];
    if (found === undefined) {
      throw new Error(
        'options.dataCentres is empty; at least one data centre is required',
      );
    }
    return found;
  }

  /** Path of the ledger file of a stand-in; undefined if it keeps its ledger only in memory. */
  ledgerFile(name: string): string | undefined {
    return this.options.ledgerFiles
      ? join(this.directory, `${name}.ledger`)
      : undefined;
  }

  /**
   * One-way latencies in milliseconds from the engines of other data centres, keyed by engine id; empty if they equal
   * the default.
   */
  private crossDataCentreLinks(
    replica: number,
  ): Readonly<Record<string, number>> {
    const {options} = this;
    const links: Record<string, number> = {};
    if (options.crossDataCentreLinkMilliseconds === options.linkMilliseconds) {
      return links;
    }
    const location = this.dataCentreOf(replica);
    for (let other = 0; other < options.replicas; other++) {
      if (this.dataCentreOf(other) !== location) {
        for (let stage = 0; stage < options.stagesPerReplica; stage++) {
          links[engineId(other, stage)] =
            options.crossDataCentreLinkMilliseconds;
        }
      }
    }
    return links;
  }
}

function engineId(replica: number, stage: number): string {
  return `engine-${replica}-${stage}`;
}
