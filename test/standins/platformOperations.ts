import {Member} from '../../src/infrastructure/membership/common/membershipList.js';
import {
  RowWrite,
  TransactionMode,
} from '../../src/infrastructure/table/common/tableService.js';
import {validateTransaction} from '../../src/infrastructure/table/common/transactionRules.js';
import {WeightManifest} from '../../src/infrastructure/weights/common/weightStore.js';
import {TableRows} from '../support/tableRows.js';
import {Ledger} from './ledger.js';
import {okResponse, StandInResponse, StandInRequest} from './standInServer.js';

/** Services of the platform, each with a port of its own; they can fail independently. */
export type PlatformServiceName =
  'table' | 'objects' | 'weights' | 'membership';

/** A ledger entry: one executed write. */
export interface PlatformLedgerEntry {
  readonly instance: string;
  readonly part: PlatformServiceName;
  readonly keys: readonly string[];
  readonly outcomes: readonly string[];
}

/** The effect of a request when no fault prevents it. */
export interface Operation {
  readonly access: 'read' | 'write';
  run(instance: string): StandInResponse;
}

/** Holds the table, objects, manifests and members, and maps requests to reads and writes of them. */
export class PlatformOperations {
  private readonly rows = new TableRows();
  private readonly objects = new Map<string, string>();

  constructor(
    private readonly manifests: readonly WeightManifest[],
    /** By id; mutated by the owner. */
    private readonly members: ReadonlyMap<string, Member>,
    private readonly ledger: Ledger<PlatformLedgerEntry>,
  ) {}

  /** The operation that a request to a service asks for; undefined when the service has no such path. */
  findOperation(
    service: PlatformServiceName,
    request: StandInRequest,
  ): Operation | undefined {
    switch (service) {
      case 'table':
        return this.findTableOperation(request);
      case 'objects':
        return this.findObjectOperation(request);
      case 'weights':
        return this.createWeightOperation(request);
      case 'membership':
        return request.path === '/v1/members'
          ? createReadOperation(() => ({members: [...this.members.values()]}))
          : undefined;
    }
  }

  private findTableOperation(request: StandInRequest): Operation | undefined {
    const body = JSON.parse(request.text === '' ? '{}' : request.text);
    switch (request.path) {
      case '/v1/table/read':
        return createReadOperation(() => ({
          rows: this.rows.read(body.keys).map(row => row ?? null),
        }));
      case '/v1/table/scan':
        return createReadOperation(() => ({
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
    wireWrites: ReadonlyArray<Omit<RowWrite, 'value'> & {value: string | null}>,
    mode: TransactionMode,
  ): StandInResponse {
    const writes = wireWrites.map(write => ({
      ...write,
      value: write.value ?? undefined,
    }));
    try {
      validateTransaction(writes);
    } catch (error) {
      return errorResponse(400, 'invalid', String(error));
    }
    const outcomes = this.rows.transact(writes, mode);
    this.ledger.add({
      instance,
      part: 'table',
      keys: writes.map(write => write.key),
      outcomes: outcomes.map(outcome => outcome.kind),
    });
    return okResponse({
      outcomes: outcomes.map(outcome =>
        outcome.kind === 'conflict'
          ? {...outcome, current: outcome.current ?? null}
          : outcome,
      ),
    });
  }

  private findObjectOperation(request: StandInRequest): Operation | undefined {
    if (request.path === '/v1/objects') {
      const prefix = request.query.get('prefix') ?? '';
      return createReadOperation(() => ({
        names: [...this.objects.keys()]
          .filter(name => name.startsWith(prefix))
          .sort(),
      }));
    }
    const name = decodeURIComponent(request.path.slice('/v1/objects/'.length));
    switch (request.method) {
      case 'GET':
        return {access: 'read', run: () => this.getObject(name)};
      case 'PUT':
        return this.createObjectWrite(
          name,
          JSON.parse(request.text).body as string,
        );
      case 'DELETE':
        return this.createObjectWrite(name, undefined);
      default:
        return undefined;
    }
  }

  private getObject(name: string): StandInResponse {
    const body = this.objects.get(name);
    return body === undefined
      ? errorResponse(404, 'notFound', 'no such object')
      : okResponse({body});
  }

  private createObjectWrite(name: string, body: string | undefined): Operation {
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
        return okResponse({});
      },
    };
  }

  private createWeightOperation(request: StandInRequest): Operation {
    const [, , , model, version] = request.path
      .split('/')
      .map(decodeURIComponent);
    return {
      access: 'read',
      run: () => {
        const manifest = this.manifests.find(
          candidate =>
            candidate.model === model && candidate.version === version,
        );
        return manifest === undefined
          ? errorResponse(404, 'notFound', 'no such manifest')
          : okResponse(manifest);
      },
    };
  }
}

function createReadOperation(run: () => unknown): Operation {
  return {access: 'read', run: () => okResponse(run())};
}

/** An error response that says that the request was not executed. */
export function errorResponse(
  status: number,
  kind: string,
  detail: string,
): StandInResponse {
  return {
    kind: 'response',
    status,
    body: {error: {kind, detail}},
    headers: {'redwing-executed': 'no'},
  };
}
