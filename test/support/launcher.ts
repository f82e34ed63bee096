import {createHash, randomBytes} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {ConfigurationOperation} from '../../src/features/configuration/common/configuration.js';
import {
  InstanceMember,
  Member,
  MemberState,
  UpstreamMember,
} from '../../src/infrastructure/membership/common/membershipList.js';
import {PlatformSettings} from '../../src/infrastructure/settings/common/programSettings.js';
import {
  EngineSettings,
  EngineStandInSettings,
} from '../standins/engineSettings.js';
import {PlatformStandInSettings} from '../standins/platformStandIn.js';
import {ServiceStandInSettings} from '../standins/serviceStandIn.js';
import {
  ManagedProcess,
  ProcessSupervisor,
  assertBuilt,
} from './managedProcess.js';
import {freeAddresses} from './ports.js';
import {
  DataCentreOptions,
  defaultSystemOptions,
  ServiceOptions,
  SystemOptions,
} from './systemOptions.js';
import {
  callJson,
  EngineHandle,
  InstanceHandle,
  JsonResponse,
  PlatformHandle,
  ServiceHandle,
} from './systemHandles.js';
import {
  OPERATORS_FILE,
  PEER_KEY_FILE,
  SystemSettings,
} from './systemSettings.js';
import {sleep} from './sleep.js';

const READY_TIMEOUT_MILLISECONDS = 20_000;
const POLL_INTERVAL_MILLISECONDS = 50;
const OPERATOR_NAME = 'operator-1';

/** SHA-256 of a key in hexadecimal, the form that configurations and settings store. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/**
 * A system of stand-ins and router programs that run as child processes on loopback, for tests, the demo and
 * benchmarks.
 */
export class LaunchedSystem {
  readonly options: SystemOptions;
  /** Temporary directory of the settings, logs and ledgers. */
  readonly directory = mkdtempSync(join(tmpdir(), 'redwing-'));
  readonly operatorKey = randomBytes(16).toString('hex');
  private readonly peerKey = randomBytes(16).toString('hex');
  private readonly supervisor = new ProcessSupervisor(this.directory);
  private readonly settings: SystemSettings;
  private readonly engineList: EngineHandle[] = [];
  private readonly serviceList: ServiceHandle[] = [];
  private instanceList: readonly InstanceHandle[] = [];
  private platformHandle: PlatformHandle | undefined;
  private platformAddresses: PlatformSettings | undefined;
  private nextInstanceNumber = 0;

  private constructor(options: Partial<SystemOptions>) {
    this.options = {...defaultSystemOptions, ...options};
    this.settings = new SystemSettings(this.options, this.directory);
  }

  /**
   * Starts all programs, applies the configuration operations and waits until all instances are ready.
   * Without operations, the instances have nothing to serve and are not waited for: the caller then configures
   * the system and waits for readiness. If the launch fails, all started programs are killed.
   */
  static async launch(
    options: Partial<SystemOptions> = {},
    operations: readonly ConfigurationOperation[] = [],
  ): Promise<LaunchedSystem> {
    // Checked before anything is created that would need cleanup.
    assertBuilt();
    const system = new LaunchedSystem(options);
    try {
      await system.start(operations);
      return system;
    } catch (error) {
      const logs = system.logTails();
      await system.dispose();
      throw new Error(`${String(error)}\n${logs}`);
    }
  }

  get platform(): PlatformHandle {
    if (this.platformHandle === undefined) {
      throw new Error('system is not started');
    }
    return this.platformHandle;
  }

  /** Addresses of the platform services. */
  get platformSettings(): PlatformSettings {
    if (this.platformAddresses === undefined) {
      throw new Error('system is not started');
    }
    return this.platformAddresses;
  }

  get engines(): readonly EngineHandle[] {
    return this.engineList;
  }

  get services(): readonly ServiceHandle[] {
    return this.serviceList;
  }

  get instances(): readonly InstanceHandle[] {
    return this.instanceList;
  }

  /** Starts another instance and adds it to the membership list, without waiting until it is ready. */
  async startInstance(dataCentre?: DataCentreOptions): Promise<InstanceHandle> {
    const number = this.nextInstanceNumber;
    this.nextInstanceNumber++;
    const location = dataCentre ?? this.settings.dataCentreOf(number);
    const [callerAddress, entryPeerAddress, controlAddress] =
      await freeAddresses(3);
    const member: InstanceMember = {
      role: 'instance',
      id: `instance-${number}`,
      dataCentre: location.name,
      region: location.region,
      callerAddress: callerAddress ?? '',
      entryPeerAddress: entryPeerAddress ?? '',
      controlAddress: controlAddress ?? '',
      state: 'live',
    };
    const control = this.startProgram(
      `${member.id}-control`,
      'src/programs/control/main.js',
      this.settings.control(member, this.platformSettings),
    );
    const entry = this.startProgram(
      `${member.id}-entry`,
      'src/programs/entry/main.js',
      this.settings.entry(member, this.platformSettings),
    );
    const instance = new InstanceHandle(member, entry, control);
    this.instanceList = [...this.instanceList, instance];
    await this.platform.setMembers({set: [member]});
    return instance;
  }

  /**
   * Shuts an instance down gracefully: marks it as leaving in the membership list, lets its entry program
   * finish its requests, then stops its control program. Returns the exit codes of entry and control program.
   */
  async stopInstance(
    instance: InstanceHandle,
  ): Promise<ReadonlyArray<number | undefined>> {
    await this.setMemberState(instance.member, 'leaving');
    const entryCode = await instance.entry.terminate();
    const controlCode = await instance.control.terminate();
    await this.removeInstance(instance);
    return [entryCode, controlCode];
  }

  /** Kills both programs of an instance; the membership list keeps it until it is removed. */
  async killInstance(instance: InstanceHandle): Promise<void> {
    await Promise.all([instance.entry.kill(), instance.control.kill()]);
  }

  /** Removes an instance from the membership list. */
  async removeInstance(instance: InstanceHandle): Promise<void> {
    this.instanceList = this.instanceList.filter(other => other !== instance);
    await this.platform.setMembers({remove: [instance.id]});
  }

  /** Sets the state of a member in the membership list. */
  setMemberState(member: Member, state: MemberState): Promise<void> {
    return this.platform.setMembers({set: [{...member, state}]});
  }

  /** Waits until instances accept new requests; all instances by default. */
  async waitUntilReady(
    instances: readonly InstanceHandle[] = this.instanceList,
  ): Promise<void> {
    await Promise.all(
      instances.map(instance =>
        this.waitUntil(`${instance.id} is ready`, () => instance.isReady()),
      ),
    );
  }

  /** Proposes a configuration change, and retries refused connections and status 503 while programs start. */
  async proposeConfiguration(
    operations: readonly ConfigurationOperation[],
    instance: InstanceHandle | undefined = this.instanceList[0],
  ): Promise<JsonResponse> {
    const address = instance?.member.controlAddress ?? '';
    const url = `http://${address}/v1/configuration/revisions`;
    const headers = {authorization: `Bearer ${this.operatorKey}`};
    let response: JsonResponse | undefined;
    await this.waitUntil(
      'the configuration change gets a response',
      async () => {
        response = await postJson(url, {operations}, headers);
        return response !== undefined && response.status !== 503;
      },
    );
    return response ?? {status: 0, body: undefined};
  }

  /** Kills all started programs and removes the directory. */
  async dispose(): Promise<void> {
    await this.supervisor.dispose();
    rmSync(this.directory, {recursive: true, force: true});
  }

  /** Polls until a condition holds; throws an error that names the condition after the timeout. */
  async waitUntil(
    description: string,
    condition: () => Promise<boolean>,
    timeoutMilliseconds = READY_TIMEOUT_MILLISECONDS,
  ): Promise<void> {
    const deadline = performance.now() + timeoutMilliseconds;
    while (!(await condition())) {
      if (performance.now() > deadline) {
        throw new Error(
          `timed out after ${timeoutMilliseconds} ms waiting until ${description}`,
        );
      }
      await sleep(POLL_INTERVAL_MILLISECONDS);
    }
  }

  private async start(
    operations: readonly ConfigurationOperation[],
  ): Promise<void> {
    this.writeFile(PEER_KEY_FILE, this.peerKey);
    const hashes = {[OPERATOR_NAME]: hashKey(this.operatorKey)};
    this.writeFile(OPERATORS_FILE, JSON.stringify(hashes));
    await this.startPlatform();
    await this.startEngines();
    for (const service of this.options.services) {
      await this.startService(service);
    }
    const upstreams = [...this.engineList, ...this.serviceList];
    await this.platform.setMembers({
      set: upstreams.map(upstream => upstream.member),
    });
    for (let count = 0; count < this.options.instances; count++) {
      await this.startInstance();
    }
    if (operations.length > 0) {
      await this.applyOperations(operations);
      await this.waitUntilReady();
    }
  }

  private async applyOperations(
    operations: readonly ConfigurationOperation[],
  ): Promise<void> {
    const response = await this.proposeConfiguration(operations);
    if (response.status >= 300) {
      const body = JSON.stringify(response.body);
      throw new Error(
        `configuration change was rejected with status ${response.status}: ${body}`,
      );
    }
  }

  private async startPlatform(): Promise<void> {
    const {options} = this;
    const [table, objects, weights, membership, fault] = await freeAddresses(5);
    this.platformAddresses = {
      tableAddress: table ?? '',
      objectsAddress: objects ?? '',
      weightsAddress: weights ?? '',
      membershipAddress: membership ?? '',
    };
    const faultAddress = fault ?? '';
    const settings: PlatformStandInSettings = {
      ...this.platformAddresses,
      faultAddress,
      ledgerFile: this.settings.ledgerFile('platform'),
      manifests: [
        {
          model: options.model,
          version: options.version,
          layerCount: options.layerCount,
          layerBytes: 1_000_000,
          bytesPerSecond: 100_000_000,
        },
      ],
      ...options.platformSettings,
    };
    const started = this.startProgram(
      'platform',
      'test/standins/platformStandIn.js',
      settings,
    );
    this.platformHandle = new PlatformHandle(
      started,
      faultAddress,
      settings.ledgerFile,
    );
    await this.waitForStandIn(faultAddress);
  }

  private async startEngines(): Promise<void> {
    const {replicas, stagesPerReplica, enginesPerProcess} = this.options;
    const count = replicas * stagesPerReplica;
    const processCount = Math.ceil(count / enginesPerProcess);
    const addresses = await freeAddresses(count + processCount);
    const engines = Array.from({length: count}, (_, index) =>
      this.settings.engine(index, addresses[index] ?? ''),
    );
    for (let process = 0; process < processCount; process++) {
      const faultAddress = addresses[count + process] ?? '';
      const first = process * enginesPerProcess;
      const hosted = engines.slice(first, first + enginesPerProcess);
      this.startEngineProcess(`engines-${process}`, faultAddress, hosted);
    }
    await Promise.all(addresses.slice(count).map(a => this.waitForStandIn(a)));
  }

  private startEngineProcess(
    name: string,
    faultAddress: string,
    engines: readonly EngineSettings[],
  ): void {
    const settings: EngineStandInSettings = {
      faultAddress,
      exitOnDeath: this.options.enginesPerProcess === 1,
      engines,
    };
    const program = 'test/standins/engineStandIn.js';
    const started = this.startProgram(name, program, settings);
    for (const engine of engines) {
      const member = this.settings.engineMember(engine);
      this.engineList.push(
        new EngineHandle(engine, member, started, faultAddress),
      );
    }
  }

  private async startService(service: ServiceOptions): Promise<void> {
    for (let replica = 0; replica < service.replicas; replica++) {
      const [address, fault] = await freeAddresses(2);
      const id = `${service.name}-${replica}`;
      const location = this.settings.dataCentreOf(replica);
      const settings: ServiceStandInSettings = {
        id,
        service: service.name,
        address: address ?? '',
        faultAddress: fault ?? '',
        ledgerFile: this.settings.ledgerFile(id),
        ...service.settings,
      };
      const program = 'test/standins/serviceStandIn.js';
      const started = this.startProgram(id, program, settings);
      const member: UpstreamMember = {
        role: 'service',
        id,
        dataCentre: location.name,
        region: location.region,
        address: settings.address,
        group: service.name,
        state: 'live',
      };
      this.serviceList.push(
        new ServiceHandle(
          member,
          started,
          settings.faultAddress,
          settings.ledgerFile,
        ),
      );
      await this.waitForStandIn(settings.faultAddress);
    }
  }

  private startProgram(
    name: string,
    program: string,
    settings: object,
  ): ManagedProcess {
    const file = `${name}.json`;
    this.writeFile(file, JSON.stringify(settings, undefined, 2));
    return this.supervisor.start(name, program, join(this.directory, file));
  }

  /** Waits for the fault port of a stand-in, which responds only once all its ports listen. */
  private waitForStandIn(faultAddress: string): Promise<void> {
    return this.waitUntil(`${faultAddress} responds`, async () => {
      const url = `http://${faultAddress}/ready`;
      return (await getJson(url)) !== undefined;
    });
  }

  private writeFile(name: string, text: string): void {
    writeFileSync(join(this.directory, name), text, {mode: 0o600});
  }

  private logTails(): string {
    return this.supervisor.readLogTails();
  }
}

/** Returns undefined if the connection is refused. */
async function getJson(url: string): Promise<JsonResponse | undefined> {
  return callJson('GET', url).catch(ignoreConnectionRefused);
}

/** Returns undefined if the connection is refused. */
async function postJson(
  url: string,
  body: unknown,
  headers: Readonly<Record<string, string>>,
): Promise<JsonResponse | undefined> {
  return callJson('POST', url, body, headers).catch(ignoreConnectionRefused);
}

function ignoreConnectionRefused(error: unknown): undefined {
  if ((error as NodeJS.ErrnoException).code !== 'ECONNREFUSED') {
    throw error;
  }
}
