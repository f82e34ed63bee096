import {
  CancellationToken,
  neverCancelled,
} from '../../src/base/common/cancellation.js';
import {Clock} from '../../src/base/common/clock.js';
import {failure, Result, success} from '../../src/base/common/result.js';
import {SystemClock} from '../../src/base/node/systemClock.js';
import {
  Member,
  MembershipList,
  MembershipSnapshot,
} from '../../src/infrastructure/membership/common/membershipList.js';
import {ObjectStore} from '../../src/infrastructure/objects/common/objectStore.js';
import {
  RowWrite,
  StorageError,
  TableRow,
  TableService,
  TransactionMode,
  WriteOutcome,
} from '../../src/infrastructure/table/common/tableService.js';
import {validateTransaction} from '../../src/infrastructure/table/common/transactionRules.js';
import {
  WeightManifest,
  WeightStore,
} from '../../src/infrastructure/weights/common/weightStore.js';
import {FaultList} from '../standins/faultList.js';
import {TableRows} from './tableRows.js';

/** In-memory stand-ins of the platform's services, for unit tests; several instances share one. */

/** The services that fail apart. */
export type PlatformPart = 'table' | 'objects' | 'membership' | 'weights';

/** What goes wrong with a call. */
export type PlatformFault =
  /** Refused before sending: `unavailable`. */
  | {readonly kind: 'down'}
  /** Takes effect only after the delay, also when the caller gave up before. */
  | {readonly kind: 'slow'; readonly milliseconds: number}
  /** Takes effect, then `outcomeUnknown`. */
  | {readonly kind: 'answerLost'}
  /** `outcomeUnknown` without effect. */
  | {readonly kind: 'requestLost'}
  | {readonly kind: 'rateLimited'; readonly retryAfterMilliseconds: number};

/** Where a fault applies. */
export interface FaultScope {
  /** All parts when undefined. */
  readonly part?: PlatformPart;
  /** All instances when undefined. */
  readonly instance?: string;
  /** Only writes or only reads; both when undefined. */
  readonly access?: 'read' | 'write';
  /** Calls that it still strikes; without limit when undefined. */
  readonly times?: number;
}

type PlatformSite = {
  readonly part: PlatformPart;
  readonly instance: string;
  readonly access: 'read' | 'write';
};

/** The ports of one instance. */
export interface PlatformPorts {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly membership: MembershipList;
  readonly weights: WeightStore;
}

/** The shared state, its faults and the ports of each instance. */
export class InMemoryPlatform {
  readonly rows = new TableRows();
  readonly objects = new Map<string, string>();
  readonly manifests: WeightManifest[] = [];
  members: readonly Member[] = [];
  /** Calls that took effect. */
  readonly counts = {reads: 0, writes: 0};
  private readonly faults = new FaultList<PlatformFault>();

  constructor(private readonly clock: Clock = new SystemClock()) {}

  /** Ports over the shared state; the name decides which faults strike. */
  portsOf(instance = 'instance'): PlatformPorts {
    return {
      table: new InMemoryTable(this, instance),
      objects: new InMemoryObjects(this, instance),
      membership: new InMemoryMembership(this, instance),
      weights: new InMemoryWeights(this, instance),
    };
  }

  /** Adds a fault; the first that matches a call strikes. */
  addFault(fault: PlatformFault, scope: FaultScope = {}): void {
    const {times, ...site} = scope;
    this.faults.add(fault, site, times);
  }

  /** Ends all faults, or those of one part. */
  clearFaults(part?: PlatformPart): void {
    this.faults.clear(part === undefined ? {} : {part});
  }

  /** Runs a call under the faults that strike it. */
  async run<T>(
    site: PlatformSite,
    token: CancellationToken,
    effect: () => T,
  ): Promise<Result<T, StorageError>> {
    if (token.isCancelled) {
      return failure({kind: 'unavailable', detail: 'cancelled before sending'});
    }
    const fault = this.faults.strike(site);
    const counted = (): T => {
      this.count(site.access);
      return effect();
    };
    switch (fault?.kind) {
      case undefined:
        await Promise.resolve();
        return success(counted());
      case 'down':
        return failure({kind: 'unavailable', detail: `${site.part} is down`});
      case 'rateLimited':
        return failure(fault);
      case 'requestLost':
        return failure({kind: 'outcomeUnknown', detail: 'request lost'});
      case 'answerLost':
        counted();
        return failure({kind: 'outcomeUnknown', detail: 'answer lost'});
      case 'slow':
        return this.runSlowly(fault.milliseconds, token, counted);
    }
  }

  private runSlowly<T>(
    milliseconds: number,
    token: CancellationToken,
    effect: () => T,
  ): Promise<Result<T, StorageError>> {
    return new Promise(resolve => {
      const cancelled = token.onDidCancel(() =>
        resolve(failure({kind: 'outcomeUnknown', detail: 'cancelled'})),
      );
      this.clock.setTimer(milliseconds, () => {
        cancelled.dispose();
        resolve(success(effect()));
      });
    });
  }

  private count(access: 'read' | 'write'): void {
    if (access === 'read') {
      this.counts.reads++;
    } else {
      this.counts.writes++;
    }
  }
}

/** The table port of one instance. */
class InMemoryTable extends TableService {
  constructor(
    private readonly platform: InMemoryPlatform,
    private readonly instance: string,
  ) {
    super();
  }

  override read(
    keys: readonly string[],
    token: CancellationToken = neverCancelled,
  ): Promise<Result<ReadonlyArray<TableRow | undefined>, StorageError>> {
    return this.platform.run(this.site('read'), token, () =>
      this.platform.rows.read(keys),
    );
  }

  override scan(
    prefix: string,
    after: string | undefined,
    limit: number,
    token: CancellationToken = neverCancelled,
  ): Promise<Result<readonly TableRow[], StorageError>> {
    return this.platform.run(this.site('read'), token, () =>
      this.platform.rows.scan(prefix, after, limit),
    );
  }

  override async transact(
    writes: readonly RowWrite[],
    mode: TransactionMode,
    token: CancellationToken = neverCancelled,
  ): Promise<Result<readonly WriteOutcome[], StorageError>> {
    validateTransaction(writes);
    return this.platform.run(this.site('write'), token, () =>
      this.platform.rows.transact(writes, mode),
    );
  }

  private site(access: 'read' | 'write'): PlatformSite {
    return {part: 'table', instance: this.instance, access};
  }
}

/** The object store port of one instance. */
class InMemoryObjects extends ObjectStore {
  constructor(
    private readonly platform: InMemoryPlatform,
    private readonly instance: string,
  ) {
    super();
  }

  override get(
    name: string,
    token: CancellationToken = neverCancelled,
  ): Promise<Result<string | undefined, StorageError>> {
    return this.platform.run(this.site('read'), token, () =>
      this.platform.objects.get(name),
    );
  }

  override put(
    name: string,
    body: string,
    token: CancellationToken = neverCancelled,
  ): Promise<Result<void, StorageError>> {
    return this.platform.run(this.site('write'), token, () => {
      this.platform.objects.set(name, body);
    });
  }

  override list(
    prefix: string,
    token: CancellationToken = neverCancelled,
  ): Promise<Result<readonly string[], StorageError>> {
    return this.platform.run(this.site('read'), token, () =>
      [...this.platform.objects.keys()]
        .filter(name => name.startsWith(prefix))
        .sort(),
    );
  }

  override delete(
    name: string,
    token: CancellationToken = neverCancelled,
  ): Promise<Result<void, StorageError>> {
    return this.platform.run(this.site('write'), token, () => {
      this.platform.objects.delete(name);
    });
  }

  private site(access: 'read' | 'write'): PlatformSite {
    return {part: 'objects', instance: this.instance, access};
  }
}

/** The membership port of one instance. */
class InMemoryMembership extends MembershipList {
  constructor(
    private readonly platform: InMemoryPlatform,
    private readonly instance: string,
  ) {
    super();
  }

  override read(
    token: CancellationToken = neverCancelled,
  ): Promise<Result<MembershipSnapshot, StorageError>> {
    const site: PlatformSite = {
      part: 'membership',
      instance: this.instance,
      access: 'read',
    };
    return this.platform.run(site, token, () => ({
      members: this.platform.members,
    }));
  }
}

/** The weight store port of one instance. */
class InMemoryWeights extends WeightStore {
  constructor(
    private readonly platform: InMemoryPlatform,
    private readonly instance: string,
  ) {
    super();
  }

  override manifest(
    model: string,
    version: string,
    token: CancellationToken = neverCancelled,
  ): Promise<Result<WeightManifest | undefined, StorageError>> {
    const site: PlatformSite = {
      part: 'weights',
      instance: this.instance,
      access: 'read',
    };
    return this.platform.run(site, token, () =>
      this.platform.manifests.find(
        manifest => manifest.model === model && manifest.version === version,
      ),
    );
  }
}
