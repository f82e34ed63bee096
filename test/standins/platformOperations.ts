import {Member} from '../../src/infrastructure/membership/common/membershipList.js';
import {
  RowWrite,
  TransactionMode,
} from '../../src/infrastructure/table/common/tableService.js';
import {validateTransaction} from '../../src/infrastructure/table/common/transactionRules.js';
import {WeightManifest} from '../../src/infrastructure/weights/common/weightStore.js';
import {TableRows} from '../support/tableRows.js';
import {Ledger} from './ledger.js';
import {answerOk, StandInAnswer, StandInCall} from './standInServer.js';

/** The services that fail apart. */
export type PlatformPart = 'table' | 'objects' | 'weights' | 'membership';

/** An executed write. */
export interface PlatformLedgerEntry {
  readonly instance: string;
  readonly part: PlatformPart;
  readonly keys: readonly string[];
  readonly outcomes: readonly string[];
}

/** What a call does once no fault keeps it from it. */
export interface Operation {
  readonly access: 'read' | 'write';
  run(instance: string): StandInAnswer;
}

/** The table, objects, manifests and members, and the calls that read and write them. */
export class PlatformOperations {
  private readonly rows = new TableRows();
  private readonly objects = new Map<string, string>();

  constructor(
    private readonly manifests: readonly WeightManifest[],
    /** By id; changed by the owner. */
    private readonly members: ReadonlyMap<string, Member>,
    private readonly ledger: Ledger<PlatformLedgerEntry>,
  ) {}

  /** What a call to a part asks for; undefined when the part has no such path. */
  operationOf(part: PlatformPart, call: StandInCall): Operation | undefined {
    switch (part) {
      case 'table':
        return this.tableOperation(call);
      case 'objects':
        return this.objectOperation(call);
      case 'weights':
        return this.weightOperation(call);
      case 'membership':
        return call.path === '/v1/members'
          ? read(() => ({members: [...this.members.values()]}))
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
      validateTransaction(writes);
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
        const manifest = this.manifests.find(
          candidate =>
            candidate.model === model && candidate.version === version,
        );
        return manifest === undefined
          ? refusal(404, 'notFound', 'no such manifest')
          : answerOk(manifest);
      },
    };
  }
}

function read(run: () => unknown): Operation {
  return {access: 'read', run: () => answerOk(run())};
}

/** A refusal of a call that had no effect. */
export function refusal(
  status: number,
  kind: string,
  detail: string,
): StandInAnswer {
  return {
    kind: 'answer',
    status,
    body: {error: {kind, detail}},
    headers: {'redwing-executed': 'no'},
  };
}
