import {
  DisposableOwner,
  toDisposable,
} from '../../src/base/common/lifecycle.js';
import {Member} from '../../src/infrastructure/membership/common/membershipList.js';
import {WeightManifest} from '../../src/infrastructure/weights/common/weightStore.js';
import {RequestCounter} from './requestCounter.js';
import {FaultList} from './faultList.js';
import {Ledger} from './ledger.js';
import {
  Operation,
  PlatformLedgerEntry,
  PlatformOperations,
  PlatformServiceName,
  errorResponse,
} from './platformOperations.js';
import {controlHandler, readLedgerOffset} from './standInControl.js';
import {runAsProgram} from './standInMain.js';
import {
  StandInResponse,
  StandInRequest,
  StandInServer,
} from './standInServer.js';
import {sleep} from '../support/sleep.js';

/** Settings of the platform stand-in; addresses are `IP:port`. */
export interface PlatformStandInSettings {
  readonly tableAddress: string;
  readonly objectsAddress: string;
  readonly weightsAddress: string;
  readonly membershipAddress: string;
  /** Serves faults, members, counts and the ledger; not subject to faults. */
  readonly faultAddress: string;
  readonly members?: readonly Member[];
  readonly manifests?: readonly WeightManifest[];
  readonly ledgerFile?: string;
}

/** A fault of the requests in its scope. */
export type PlatformFault =
  /** Closes the port; limited by instance, access or times, closes the connection without execution. */
  | {readonly kind: 'down'}
  /** Status 503 with the header `redwing-executed: no`. */
  | {readonly kind: 'unavailable'}
  /** Neither executes nor responds. */
  | {readonly kind: 'silent'}
  /** Executes after the delay, even if the caller has disconnected. */
  | {readonly kind: 'slow'; readonly milliseconds: number}
  /** Executes, then closes the connection. */
  | {readonly kind: 'answerLost'}
  /** Closes the connection without execution. */
  | {readonly kind: 'requestLost'}
  | {readonly kind: 'rateLimited'; readonly retryAfterMilliseconds: number};

/** Body of `POST /fault`; `clear` removes the faults whose scope has the given values. */
export interface PlatformFaultCommand {
  readonly fault: PlatformFault | {readonly kind: 'clear'};
  readonly part?: PlatformServiceName;
  readonly instance?: string;
  readonly access?: 'read' | 'write';
  readonly times?: number;
}

/** Body of `POST /members`. */
export interface MembersCommand {
  /** Members to add, or to replace by id. */
  readonly set?: readonly Member[];
  readonly remove?: readonly string[];
  /** Delay from now on until readers see a change. */
  readonly lagMilliseconds?: number;
}

const SERVICE_NAMES: readonly PlatformServiceName[] = [
  'table',
  'objects',
  'weights',
  'membership',
];
const WRITES_PER_SECOND = 400;
const READS_PER_SECOND = 2000;
const RATE_RETRY_MILLISECONDS = 250;

/** The platform's table, object store, weight manifests and membership list in one process. */
export class PlatformStandIn extends DisposableOwner {
  private readonly visibleMembers = new Map<string, Member>();
  private readonly faults = new FaultList<PlatformFault>();
  private readonly servers = new Map<PlatformServiceName, StandInServer>();
  private readonly counters = new Map<string, RequestCounter>();
  private readonly ledger: Ledger<PlatformLedgerEntry>;
  private readonly operations: PlatformOperations;
  private readonly faultServer: StandInServer;
  private lagMilliseconds = 0;

  constructor(settings: PlatformStandInSettings) {
    super();
    this.ledger = this.register(new Ledger(settings.ledgerFile));
    this.operations = new PlatformOperations(
      settings.manifests ?? [],
      this.visibleMembers,
      this.ledger,
    );
    for (const service of SERVICE_NAMES) {
      const address = settings[`${service}Address`];
      const server = new StandInServer(address, request =>
        this.serve(service, request),
      );
      this.servers.set(service, this.register(server));
      this.addCounters(service);
    }
    this.faultServer = this.register(
      new StandInServer(
        settings.faultAddress,
        controlHandler({
          'POST /fault': request => this.setFault(JSON.parse(request.text)),
          'POST /members': request => this.setMembers(JSON.parse(request.text)),
          'GET /counts': () => this.counts(),
          'POST /counts/reset': () => this.resetCounts(),
          'GET /ledger': request => ({
            entries: this.ledger.after(readLedgerOffset(request)),
          }),
        }),
      ),
    );
    for (const member of settings.members ?? []) {
      this.visibleMembers.set(member.id, member);
    }
  }

  async start(): Promise<void> {
    const servers = [...this.servers.values()];
    await Promise.all(servers.map(server => server.start()));
    await this.faultServer.start();
  }

  /** Activates a fault, or clears those in a scope. */
  async setFault(command: PlatformFaultCommand): Promise<void> {
    const {fault, times, ...scope} = command;
    if (fault.kind === 'clear') {
      this.faults.clear(scope);
      await this.openPorts(command.part);
      return;
    }
    const affectsWholePort =
      command.instance === undefined &&
      command.access === undefined &&
      times === undefined;
    if (fault.kind === 'down' && affectsWholePort) {
      this.closePorts(command.part);
      return;
    }
    this.faults.add(fault, scope, times);
  }

  /** Changes the membership list; visible to readers after the lag. */
  setMembers(command: MembersCommand): void {
    this.lagMilliseconds = command.lagMilliseconds ?? this.lagMilliseconds;
    if (this.lagMilliseconds <= 0) {
      this.applyMembers(command);
      return;
    }
    const timer = setTimeout(
      () => this.applyMembers(command),
      this.lagMilliseconds,
    );
    this.register(toDisposable(() => clearTimeout(timer)));
  }

  private applyMembers(command: MembersCommand): void {
    for (const member of command.set ?? []) {
      this.visibleMembers.set(member.id, member);
    }
    for (const id of command.remove ?? []) {
      this.visibleMembers.delete(id);
    }
  }

  private async openPorts(
    service: PlatformServiceName | undefined,
  ): Promise<void> {
    const services = service === undefined ? SERVICE_NAMES : [service];
    await Promise.all(services.map(name => this.servers.get(name)?.start()));
  }

  private closePorts(service: PlatformServiceName | undefined): void {
    const services = service === undefined ? SERVICE_NAMES : [service];
    services.forEach(name => this.servers.get(name)?.stop());
  }

  private addCounters(service: PlatformServiceName): void {
    const isLimited = service === 'table' || service === 'objects';
    const limits = {write: WRITES_PER_SECOND, read: READS_PER_SECOND};
    for (const [access, limit] of Object.entries(limits)) {
      const counter = new RequestCounter(isLimited ? limit : Infinity);
      this.counters.set(`${service} ${access}`, counter);
    }
  }

  private async serve(
    service: PlatformServiceName,
    request: StandInRequest,
  ): Promise<StandInResponse> {
    const operation = this.operations.findOperation(service, request);
    if (operation === undefined) {
      return errorResponse(404, 'notFound', 'no such path');
    }
    const instance = String(request.headers['redwing-instance'] ?? '');
    const {access} = operation;
    const fault = this.faults.takeFault({part: service, instance, access});
    switch (fault?.kind) {
      case 'down':
      case 'requestLost':
        return {kind: 'disconnect'};
      case 'silent':
        return {kind: 'noResponse'};
      case 'unavailable':
        return errorResponse(503, 'unavailable', `${service} is unavailable`);
      case 'rateLimited':
        return rateLimitedResponse(fault.retryAfterMilliseconds);
      case 'answerLost':
        this.execute(service, operation, instance);
        return {kind: 'disconnect'};
      case 'slow':
        await sleep(fault.milliseconds);
        return this.execute(service, operation, instance);
      case undefined:
        return this.execute(service, operation, instance);
    }
  }

  private execute(
    service: PlatformServiceName,
    operation: Operation,
    instance: string,
  ): StandInResponse {
    const counter = this.counters.get(`${service} ${operation.access}`);
    if (counter !== undefined && !counter.admit(Date.now())) {
      return rateLimitedResponse(RATE_RETRY_MILLISECONDS);
    }
    return operation.run(instance);
  }

  private resetCounts(): void {
    this.counters.forEach(counter => counter.reset());
  }

  private counts(): unknown {
    const entries = [...this.counters].map(([name, counter]) => [
      name,
      counter.counts,
    ]);
    return Object.fromEntries(entries);
  }
}

function rateLimitedResponse(milliseconds: number): StandInResponse {
  return {
    kind: 'response',
    status: 429,
    body: {error: {kind: 'rateLimited'}},
    headers: {'retry-after-milliseconds': String(milliseconds)},
  };
}

/** Starts a platform stand-in. */
export async function startPlatform(
  settings: PlatformStandInSettings,
): Promise<PlatformStandIn> {
  const standIn = new PlatformStandIn(settings);
  await standIn.start();
  return standIn;
}

await runAsProgram(import.meta.url, startPlatform);
