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
import {callJson} from '../../test/support/systemParts.js';
import {ProcessUse, ratesBetween, readUse} from './processUse.js';
import {sleep} from '../../test/support/sleep.js';

/**
 * Many control programs over the platform stand-in of a launched system. Entry programs are left out;
 * this process follows each control program's view in their place.
 */

/** Periods of the programs, in seconds. */
export type ControlPeriods = Pick<
  ControlSettings,
  | 'headReadSeconds'
  | 'membershipReadSeconds'
  | 'membershipReadBytesPerSecond'
  | 'peerExchangeSeconds'
  | 'confirmationBoundSeconds'
>;

/** What the control programs used in a time: means over the instances. */
export interface FleetUse {
  readonly instances: number;
  readonly cpuShare: number;
  readonly residentBytes: number;
  readonly bytesPerSecond: number;
}

interface FleetMember {
  readonly member: InstanceMember;
  readonly process: ManagedProcess;
  readonly view: ControlViewSource;
}

const READY_MILLISECONDS = 20_000;
const POLL_MILLISECONDS = 25;

/** Starts control programs and reads what they use. */
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

  /** Starts further instances until there are so many, and waits until all listen. */
  async growTo(size: number): Promise<void> {
    const addresses = [...(await freeAddresses(3 * (size - this.size)))];
    while (this.size < size) {
      const [caller, entry, control] = addresses.splice(0, 3);
      this.start(caller, entry, control);
    }
    const members = this.members.map(one => one.member);
    await this.system.platform.setMembers({set: members});
    await this.awaitHealth('listens', status => status !== undefined);
  }

  /** Waits until every instance serves, which needs a configuration. */
  async awaitServing(): Promise<void> {
    await this.awaitHealth('serves', status => status === 200);
  }

  /** Lists upstreams that don't exist, in place of those listed so before. */
  async listUpstreams(count: number, before: number): Promise<void> {
    const names = (from: number, to: number): readonly UpstreamMember[] =>
      Array.from({length: to - from}, (_, index) => fakeEngine(from + index));
    await this.system.platform.setMembers(
      count >= before
        ? {set: names(before, count)}
        : {remove: names(count, before).map(member => member.id)},
    );
  }

  /** Means over the instances for a time. */
  async use(milliseconds: number): Promise<FleetUse> {
    const before = this.readings();
    await sleep(milliseconds);
    return this.useSince(before);
  }

  /** Counts of all instances now. */
  readings(): readonly ProcessUse[] {
    return this.members.map(one => readUse(one.process.pid));
  }

  /** Means over the instances since earlier readings. */
  useSince(before: readonly ProcessUse[]): FleetUse {
    const rates = this.readings().map((after, index) =>
      ratesBetween(before[index], after),
    );
    const mean = (of: (one: (typeof rates)[number]) => number): number =>
      rates.reduce((total, one) => total + of(one), 0) / rates.length;
    return {
      instances: rates.length,
      cpuShare: mean(one => one.cpuShare),
      residentBytes: mean(one => one.residentBytes),
      bytesPerSecond: mean(
        one => one.readBytesPerSecond + one.writtenBytesPerSecond,
      ),
    };
  }

  /** Puts a class to the first instance. */
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

  /** Proposes operations to the first instance; throws when they aren't accepted. */
  async propose(operations: readonly object[]): Promise<void> {
    const [first] = this.members;
    const url = `http://${first.member.controlAddress}/v1/configuration/revisions`;
    const answer = await callJson('POST', url, {operations}, this.headers);
    if (answer.status >= 300) {
      throw new Error(`not accepted: ${JSON.stringify(answer.body)}`);
    }
  }

  /** Resolves when the class has the value at every instance. */
  async awaitClass(name: string, requestsPerSecond: number): Promise<void> {
    await Promise.all(
      this.members.map(async ({member}) => {
        const url = `http://${member.controlAddress}/v1/classes/${name}`;
        while ((await this.rateOf(url)) !== requestsPerSecond) {
          await sleep(POLL_MILLISECONDS);
        }
      }),
    );
  }

  dispose(): Promise<void> {
    this.members.forEach(one => one.view.dispose());
    return this.supervisor.dispose();
  }

  private async awaitHealth(
    what: string,
    isReached: (status: number | undefined) => boolean,
  ): Promise<void> {
    for (const {member} of this.members) {
      const url = `http://${member.controlAddress}/v1/health`;
      await this.system.until(
        `${member.id} ${what}`,
        async () => isReached(await statusOf(url)),
        READY_MILLISECONDS,
      );
    }
  }

  private get headers(): Readonly<Record<string, string>> {
    return {authorization: `Bearer ${this.system.operatorKey}`};
  }

  private async rateOf(url: string): Promise<number | undefined> {
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
    this.members.push({member, process, view: this.follow(control)});
  }

  private follow(controlAddress: string): ControlViewSource {
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

/** Four engines to a replica, spread over seven data centres. */
function fakeEngine(index: number): UpstreamMember {
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

async function statusOf(url: string): Promise<number | undefined> {
  try {
    return (await callJson('GET', url)).status;
  } catch {
    return undefined;
  }
}
