import {randomUUID} from 'node:crypto';
import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';

import {SystemClock} from '../../src/base/node/systemClock.js';
import {ControlViewSource} from '../../src/features/membership/node/controlViewSource.js';
import {
  InstanceMember,
  UpstreamMember,
} from '../../src/infrastructure/membership/common/membershipList.js';
import {ControlSettings} from '../../src/infrastructure/settings/common/programSettings.js';
import {LaunchedSystem} from '../../test/support/launcher.js';
import {
  ManagedProcess,
  ProcessSupervisor,
} from '../../test/support/managedProcess.js';
import {freeAddresses} from '../../test/support/ports.js';
import {callJson} from '../../test/support/systemHandles.js';
import {
  ProcessUsage,
  computeUsageRates,
  readProcessUsage,
} from './processUsage.js';
import {sleep} from '../../test/support/sleep.js';

/**
 * A fleet of control programs over the platform stand-in of a launched system. No entry programs run;
 * this process reads the view of each control program in their place.
 */

/** Settings of the control programs that determine how often they read, exchange and confirm state. */
export type ControlPeriods = Pick<
  ControlSettings,
  | 'headReadSeconds'
  | 'membershipReadSeconds'
  | 'membershipReadBytesPerSecond'
  | 'peerExchangeSeconds'
  | 'confirmationBoundSeconds'
>;

/** Resources used during an interval: means over the instances. */
export interface FleetUsage {
  readonly instances: number;
  /** Share of one core. */
  readonly cpuShare: number;
  readonly residentBytes: number;
  /** Bytes read and written by the process. */
  readonly bytesPerSecond: number;
}

interface FleetMember {
  readonly member: InstanceMember;
  readonly process: ManagedProcess;
  readonly view: ControlViewSource;
}

const READY_MILLISECONDS = 20_000;
const POLL_MILLISECONDS = 25;

/** Starts control programs and measures their resource usage. */
export class ControlFleet {
  private readonly supervisor: ProcessSupervisor;
  private readonly members: FleetMember[] = [];

  constructor(
    private readonly system: LaunchedSystem,
    private readonly periods: ControlPeriods,
  ) {
    this.supervisor = new ProcessSupervisor(system.directory);
  }

  get size(): number {
    return this.members.length;
  }

  /** Starts instances until the fleet has the given size, and waits until all of them listen. */
  async growTo(size: number): Promise<void> {
    const addresses = [...(await freeAddresses(3 * (size - this.size)))];
    while (this.size < size) {
      const [caller, entry, control] = addresses.splice(0, 3);
      this.start(caller, entry, control);
    }
    const members = this.members.map(fleetMember => fleetMember.member);
    await this.system.platform.setMembers({set: members});
    await this.awaitHealth('listens', status => status !== undefined);
  }

  /** Waits until every instance is healthy, which requires a configuration. */
  async awaitServing(): Promise<void> {
    await this.awaitHealth('serves', status => status === 200);
  }

  /**
   * Changes the number of nonexistent upstreams on the membership list.
   *
   * @param previousCount Number of such upstreams listed so far.
   */
  async setListedUpstreams(
    count: number,
    previousCount: number,
  ): Promise<void> {
    const createEngines = (
      from: number,
      to: number,
    ): readonly UpstreamMember[] =>
      Array.from({length: to - from}, (_, index) =>
        createFakeEngine(from + index),
      );
    await this.system.platform.setMembers(
      count >= previousCount
        ? {set: createEngines(previousCount, count)}
        : {
            remove: createEngines(count, previousCount).map(
              member => member.id,
            ),
          },
    );
  }

  /** Measures the usage during the given time. */
  async measureUsage(milliseconds: number): Promise<FleetUsage> {
    const before = this.readUsage();
    await sleep(milliseconds);
    return this.usageSince(before);
  }

  /** Reads the usage counters of all instances. */
  readUsage(): readonly ProcessUsage[] {
    return this.members.map(fleetMember =>
      readProcessUsage(fleetMember.process.pid),
    );
  }

  /** Computes the usage since earlier counter readings. */
  usageSince(before: readonly ProcessUsage[]): FleetUsage {
    const rates = this.readUsage().map((after, index) =>
      computeUsageRates(before[index], after),
    );
    const mean = (select: (rate: (typeof rates)[number]) => number): number =>
      rates.reduce((total, rate) => total + select(rate), 0) / rates.length;
    return {
      instances: rates.length,
      cpuShare: mean(rate => rate.cpuShare),
      residentBytes: mean(rate => rate.residentBytes),
      bytesPerSecond: mean(
        rate => rate.readBytesPerSecond + rate.writtenBytesPerSecond,
      ),
    };
  }

  /** Proposes a class to the first instance. */
  async putClass(name: string, requestsPerSecond: number): Promise<void> {
    const value = {
      name,
      firstTokenMilliseconds: 570,
      betweenTokensMilliseconds: 61,
      deadlineMilliseconds: 60_000,
      requestsPerSecond,
      repeatable: true,
    };
    await this.propose([{kind: 'setClass', value}]);
  }

  /** Proposes configuration operations to the first instance. @throws when the instance rejects them. */
  async propose(operations: readonly object[]): Promise<void> {
    const [first] = this.members;
    const url = `http://${first.member.controlAddress}/v1/configuration/revisions`;
    const response = await callJson('POST', url, {operations}, this.headers);
    if (response.status >= 300) {
      throw new Error(
        `configuration proposal rejected: ${JSON.stringify(response.body)}`,
      );
    }
  }

  /** Waits until the class has the given rate at every instance. */
  async awaitClassRate(name: string, requestsPerSecond: number): Promise<void> {
    await Promise.all(
      this.members.map(async ({member}) => {
        const url = `http://${member.controlAddress}/v1/classes/${name}`;
        while ((await this.fetchClassRate(url)) !== requestsPerSecond) {
          await sleep(POLL_MILLISECONDS);
        }
      }),
    );
  }

  dispose(): Promise<void> {
    this.members.forEach(fleetMember => fleetMember.view.dispose());
    return this.supervisor.dispose();
  }

  private async awaitHealth(
    condition: string,
    isReached: (status: number | undefined) => boolean,
  ): Promise<void> {
    for (const {member} of this.members) {
      const url = `http://${member.controlAddress}/v1/health`;
      await this.system.waitUntil(
        `${member.id} ${condition}`,
        async () => isReached(await fetchStatus(url)),
        READY_MILLISECONDS,
      );
    }
  }

  private get headers(): Readonly<Record<string, string>> {
    return {authorization: `Bearer ${this.system.operatorKey}`};
  }

  private async fetchClassRate(url: string): Promise<number | undefined> {
    const {body} = await callJson('GET', url, undefined, this.headers);
    return (body as {requestsPerSecond?: number}).requestsPerSecond;
  }

  private start(caller: string, entry: string, control: string): void {
    const id = `control-${this.size}`;
    const member: InstanceMember = {
      role: 'instance',
      id,
      dataCentre: `centre-${this.size % 7}`,
      region: `region-${this.size % 2}`,
      callerAddress: caller,
      entryPeerAddress: entry,
      controlAddress: control,
      state: 'live',
    };
    const file = join(this.system.directory, `${id}.json`);
    writeFileSync(file, JSON.stringify(this.settings(member)));
    const program = 'src/programs/control/main.js';
    const process = this.supervisor.start(id, program, file);
    this.members.push({member, process, view: this.startViewSource(control)});
  }

  private startViewSource(controlAddress: string): ControlViewSource {
    const peerKey = readFileSync(join(this.system.directory, 'peer.key'));
    const view = new ControlViewSource(
      controlAddress,
      peerKey.toString(),
      new SystemClock(),
      {incarnation: randomUUID(), leaving: false},
    );
    view.start();
    return view;
  }

  private settings(member: InstanceMember): ControlSettings {
    const {directory, platformSettings} = this.system;
    const {id, region, dataCentre} = member;
    return {
      instance: {id, region, dataCentre},
      controlAddress: member.controlAddress,
      platform: platformSettings,
      peerKeyFile: join(directory, 'peer.key'),
      operatorKeysFile: join(directory, 'operators.json'),
      observation: {logLevel: 'error'},
      placementEnabled: false,
      ...this.periods,
    };
  }
}

/** Creates an engine that does not exist: four to a replica, with the replicas spread over seven data centres. */
function createFakeEngine(index: number): UpstreamMember {
  const replica = Math.floor(index / 4);
  return {
    role: 'engine',
    id: `engine-${replica}-${index % 4}`,
    dataCentre: `centre-${replica % 7}`,
    region: `region-${replica % 2}`,
    address: `127.0.0.1:${1 + (index % 9)}`,
    group: `replica-${replica}`,
    state: 'live',
  };
}

async function fetchStatus(url: string): Promise<number | undefined> {
  try {
    return (await callJson('GET', url)).status;
  } catch {
    return undefined;
  }
}
