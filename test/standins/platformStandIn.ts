import {
  DisposableOwner,
  toDisposable,
} from '../../src/base/common/lifecycle.js';
import {Member} from '../../src/platform/membership/common/membershipList.js';
import {
  RowWrite,
  TransactionMode,
} from '../../src/platform/table/common/tableService.js';
import {checkTransaction} from '../../src/platform/table/common/transactionRules.js';
import {WeightManifest} from '../../src/platform/weights/common/weightStore.js';
import {TableRows} from '../support/tableRows.js';
import {CallCounter} from './callCounter.js';
import {FaultList} from './faultList.js';
import {Ledger} from './ledger.js';
import {controlHandler, seenBy} from './standInControl.js';
import {runAsProgram} from './standInMain.js';
import {
  answerOk,
  StandInAnswer,
  StandInCall,
  StandInServer,
} from './standInServer.js';
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

/** The services that fail apart. */
export type PlatformPart = 'table' | 'objects' | 'weights' | 'membership';

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

/** An executed write. */
export interface PlatformLedgerEntry {
  readonly instance: string;
  readonly part: PlatformPart;
  readonly keys: readonly string[];
  readonly outcomes: readonly string[];
}

interface Operation {
  readonly access: 'read' | 'write';
  run(instance: string): StandInAnswer;
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
  private readonly rows = new TableRows();
  private readonly objects = new Map<string, string>();
  private readonly visible = new Map<string, Member>();
  private readonly faults = new FaultList<PlatformFault>();
  private readonly servers = new Map<PlatformPart, StandInServer>();
  private readonly counters = new Map<string, CallCounter>();
  private readonly ledger: Ledger<PlatformLedgerEntry>;
  private readonly faultServer: StandInServer;
  private lagMilliseconds = 0;

  constructor(private readonly settings: PlatformStandInSettings) {
    super();
    this.ledger = this.register(new Ledger(settings.ledgerFile));
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
    const operation = this.operationOf(part, call);
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

  private operationOf(
    part: PlatformPart,
    call: StandInCall,
  ): Operation | undefined {
    switch (part) {
      case 'table':
        return this.tableOperation(call);
      case 'objects':
        return this.objectOperation(call);
      case 'weights':
        return this.weightOperation(call);
      case 'membership':
        return call.path === '/v1/members'
          ? read(() => ({members: [...this.visible.values()]}))
          : undefined;
    }
  }

  private tableOperation(call: StandInCall): Operation | undefined {
    const body = JSON.parse(call.text === '' ? '{}' : call.text);
    switch (call.path) {
      case '/v1/table/read':
        return read(() => ({
          rows: this.rows.read(body.keys).map(row => row ?? null),
        }));
      case '/v1/table/scan':
        return read(() => ({
          rows: this.rows.scan(body.prefix, body.after, body.limit),
        }));
      case '/v1/table/transact':
        return {
          access: 'write',
          run: instance => this.transact(instance, body.writes, body.mode),
        };
      default:
        return undefined;
    }
  }

  private transact(
    instance: string,
    wire: ReadonlyArray<Omit<RowWrite, 'value'> & {value: string | null}>,
    mode: TransactionMode,
  ): StandInAnswer {
    const writes = wire.map(write => ({
      ...write,
      value: write.value ?? undefined,
    }));
    try {
      checkTransaction(writes);
    } catch (error) {
      return refusal(400, 'invalid', String(error));
    }
    const outcomes = this.rows.transact(writes, mode);
    this.ledger.add({
      instance,
      part: 'table',
      keys: writes.map(write => write.key),
      outcomes: outcomes.map(outcome => outcome.kind),
    });
    return answerOk({
      outcomes: outcomes.map(outcome =>
        outcome.kind === 'conflict'
          ? {...outcome, current: outcome.current ?? null}
          : outcome,
      ),
    });
  }

  private objectOperation(call: StandInCall): Operation | undefined {
    if (call.path === '/v1/objects') {
      const prefix = call.query.get('prefix') ?? '';
      return read(() => ({
        names: [...this.objects.keys()]
          .filter(name => name.startsWith(prefix))
          .sort(),
      }));
    }
    const name = decodeURIComponent(call.path.slice('/v1/objects/'.length));
    switch (call.method) {
      case 'GET':
        return {access: 'read', run: () => this.getObject(name)};
      case 'PUT':
        return this.objectWrite(name, JSON.parse(call.text).body as string);
      case 'DELETE':
        return this.objectWrite(name, undefined);
      default:
        return undefined;
    }
  }

  private getObject(name: string): StandInAnswer {
    const body = this.objects.get(name);
    return body === undefined
      ? refusal(404, 'notFound', 'no such object')
      : answerOk({body});
  }

  private objectWrite(name: string, body: string | undefined): Operation {
    return {
      access: 'write',
      run: instance => {
        if (body === undefined) {
          this.objects.delete(name);
        } else {
          this.objects.set(name, body);
        }
        const outcomes = [body === undefined ? 'deleted' : 'written'];
        this.ledger.add({instance, part: 'objects', keys: [name], outcomes});
        return answerOk({});
      },
    };
  }

  private weightOperation(call: StandInCall): Operation {
    const [, , , model, version] = call.path.split('/').map(decodeURIComponent);
    return {
      access: 'read',
      run: () => {
        const manifest = this.settings.manifests?.find(
          candidate =>
            candidate.model === model && candidate.version === version,
        );
        return manifest === undefined
          ? refusal(404, 'notFound', 'no such manifest')
          : answerOk(manifest);
      },
    };
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

function read(run: () => unknown): Operation {
  return {access: 'read', run: () => answerOk(run())};
}

function refusal(status: number, kind: string, detail: string): StandInAnswer {
  return {
    kind: 'answer',
    status,
    body: {error: {kind, detail}},
    headers: {'redwing-executed': 'no'},
  };
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
