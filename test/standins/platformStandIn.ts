import {
  DisposableOwner,
  toDisposable,
} from '../../src/base/common/lifecycle.js';
import {Member} from '../../src/infrastructure/membership/common/membershipList.js';
import {WeightManifest} from '../../src/infrastructure/weights/common/weightStore.js';
import {CallCounter} from './callCounter.js';
import {FaultList} from './faultList.js';
import {Ledger} from './ledger.js';
import {
  Operation,
  PlatformLedgerEntry,
  PlatformOperations,
  PlatformPart,
  refusal,
} from './platformOperations.js';
import {controlHandler, seenBy} from './standInControl.js';
import {runAsProgram} from './standInMain.js';
import {StandInAnswer, StandInCall, StandInServer} from './standInServer.js';
import {sleep} from '../support/sleep.js';

/** Settings of the platform stand-in; addresses are `IP:port`. */
export interface PlatformStandInSettings {
  readonly tableAddress: string;
  readonly objectsAddress: string;
  readonly weightsAddress: string;
  readonly membershipAddress: string;
  /** Faults, members, counts and the ledger; never struck by faults. */
  readonly faultAddress: string;
  readonly members?: readonly Member[];
  readonly manifests?: readonly WeightManifest[];
  readonly ledgerFile?: string;
}

/** What goes wrong with calls. */
export type PlatformFault =
  /** The port is closed; for one instance or access only, the connection is cut without effect. */
  | {readonly kind: 'down'}
  /** Status 503 that says `executed: no`. */
  | {readonly kind: 'unavailable'}
  /** No effect and no answer. */
  | {readonly kind: 'silent'}
  /** The effect comes after the delay, also when the caller has gone. */
  | {readonly kind: 'slow'; readonly milliseconds: number}
  /** The effect, then the connection is cut. */
  | {readonly kind: 'answerLost'}
  /** The connection is cut without effect. */
  | {readonly kind: 'requestLost'}
  | {readonly kind: 'rateLimited'; readonly retryAfterMilliseconds: number};

/** Body of `POST /fault`; `clear` ends faults whose scope has the given values. */
export interface PlatformFaultCommand {
  readonly fault: PlatformFault | {readonly kind: 'clear'};
  readonly part?: PlatformPart;
  readonly instance?: string;
  readonly access?: 'read' | 'write';
  readonly times?: number;
}

/** Body of `POST /members`. */
export interface MembersCommand {
  /** Added, or replacing those of the same id. */
  readonly set?: readonly Member[];
  readonly remove?: readonly string[];
  /** How far the list lags behind changes, from now on. */
  readonly lagMilliseconds?: number;
}

const PARTS: readonly PlatformPart[] = [
  'table',
  'objects',
  'weights',
  'membership',
];
const WRITES_PER_SECOND = 400;
const READS_PER_SECOND = 2000;
const RATE_RETRY_MILLISECONDS = 250;

/** The platform's table, object store, weight manifests and list of members in one process. */
export class PlatformStandIn extends DisposableOwner {
  private readonly visible = new Map<string, Member>();
  private readonly faults = new FaultList<PlatformFault>();
  private readonly servers = new Map<PlatformPart, StandInServer>();
  private readonly counters = new Map<string, CallCounter>();
  private readonly ledger: Ledger<PlatformLedgerEntry>;
  private readonly operations: PlatformOperations;
  private readonly faultServer: StandInServer;
  private lagMilliseconds = 0;

  constructor(settings: PlatformStandInSettings) {
    super();
    this.ledger = this.register(new Ledger(settings.ledgerFile));
    this.operations = new PlatformOperations(
      settings.manifests ?? [],
      this.visible,
      this.ledger,
    );
    for (const part of PARTS) {
      const address = settings[`${part}Address`];
      const server = new StandInServer(address, call => this.serve(part, call));
      this.servers.set(part, this.register(server));
      this.addCounters(part);
    }
    this.faultServer = this.register(
      new StandInServer(
        settings.faultAddress,
        controlHandler({
          'POST /fault': call => this.setFault(JSON.parse(call.text)),
          'POST /members': call => this.setMembers(JSON.parse(call.text)),
          'GET /counts': () => this.counts(),
          'POST /counts/reset': () => this.resetCounts(),
          'GET /ledger': call => ({entries: this.ledger.after(seenBy(call))}),
        }),
      ),
    );
    for (const member of settings.members ?? []) {
      this.visible.set(member.id, member);
    }
  }

  async start(): Promise<void> {
    const servers = [...this.servers.values()];
    await Promise.all(servers.map(server => server.start()));
    await this.faultServer.start();
  }

  /** Puts a fault in force, or ends some. */
  async setFault(command: PlatformFaultCommand): Promise<void> {
    const {fault, times, ...scope} = command;
    if (fault.kind === 'clear') {
      this.faults.clear(scope);
      await this.openPorts(command.part);
      return;
    }
    const isWhole =
      command.instance === undefined &&
      command.access === undefined &&
      times === undefined;
    if (fault.kind === 'down' && isWhole) {
      this.closePorts(command.part);
      return;
    }
    this.faults.add(fault, scope, times);
  }

  /** Changes the list; seen by readers after the lag. */
  setMembers(command: MembersCommand): void {
    this.lagMilliseconds = command.lagMilliseconds ?? this.lagMilliseconds;
    if (this.lagMilliseconds <= 0) {
      this.showMembers(command);
      return;
    }
    const timer = setTimeout(
      () => this.showMembers(command),
      this.lagMilliseconds,
    );
    this.register(toDisposable(() => clearTimeout(timer)));
  }

  private showMembers(command: MembersCommand): void {
    for (const member of command.set ?? []) {
      this.visible.set(member.id, member);
    }
    for (const id of command.remove ?? []) {
      this.visible.delete(id);
    }
  }

  private async openPorts(part: PlatformPart | undefined): Promise<void> {
    const parts = part === undefined ? PARTS : [part];
    await Promise.all(parts.map(name => this.servers.get(name)?.start()));
  }

  private closePorts(part: PlatformPart | undefined): void {
    const parts = part === undefined ? PARTS : [part];
    parts.forEach(name => this.servers.get(name)?.stop());
  }

  private addCounters(part: PlatformPart): void {
    const isLimited = part === 'table' || part === 'objects';
    const limits = {write: WRITES_PER_SECOND, read: READS_PER_SECOND};
    for (const [access, limit] of Object.entries(limits)) {
      const counter = new CallCounter(isLimited ? limit : Infinity);
      this.counters.set(`${part} ${access}`, counter);
    }
  }

  private async serve(
    part: PlatformPart,
    call: StandInCall,
  ): Promise<StandInAnswer> {
    const operation = this.operations.operationOf(part, call);
    if (operation === undefined) {
      return refusal(404, 'notFound', 'no such path');
    }
    const instance = String(call.headers['redwing-instance'] ?? '');
    const {access} = operation;
    const fault = this.faults.strike({part, instance, access});
    switch (fault?.kind) {
      case 'down':
      case 'requestLost':
        return {kind: 'cut'};
      case 'silent':
        return {kind: 'silence'};
      case 'unavailable':
        return refusal(503, 'unavailable', `${part} is unavailable`);
      case 'rateLimited':
        return rateLimited(fault.retryAfterMilliseconds);
      case 'answerLost':
        this.execute(part, operation, instance);
        return {kind: 'cut'};
      case 'slow':
        await sleep(fault.milliseconds);
        return this.execute(part, operation, instance);
      case undefined:
        return this.execute(part, operation, instance);
    }
  }

  private execute(
    part: PlatformPart,
    operation: Operation,
    instance: string,
  ): StandInAnswer {
    const counter = this.counters.get(`${part} ${operation.access}`);
    if (counter !== undefined && !counter.admit(Date.now())) {
      return rateLimited(RATE_RETRY_MILLISECONDS);
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

function rateLimited(milliseconds: number): StandInAnswer {
  return {
    kind: 'answer',
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
