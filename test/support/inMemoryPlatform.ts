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
  ClockedRow,
  ClockedTableService,
} from '../../src/infrastructure/table/common/clockedTableService.js';
import {
  RowWrite,
  StorageError,
  TableRow,
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

/** In-memory fakes of the platform services for unit tests; several instances can share one platform. */

/** The platform services, which can fail independently. */
export type PlatformPart = 'table' | 'objects' | 'membership' | 'weights';

/** A fault to inject into a call. */
export type PlatformFault =
  /** The call fails before it is sent, with `unavailable`. */
  | {readonly kind: 'down'}
  /** The call takes effect after the delay, even if the caller has cancelled it by then. */
  | {readonly kind: 'slow'; readonly milliseconds: number}
  /** The call takes effect but fails with `outcomeUnknown`. */
  | {readonly kind: 'answerLost'}
  /** The call fails with `outcomeUnknown` and has no effect. */
  | {readonly kind: 'requestLost'}
  | {readonly kind: 'rateLimited'; readonly retryAfterMilliseconds: number};

/** The calls to which a fault applies. */
export interface FaultScope {
  /** All services when undefined. */
  readonly part?: PlatformPart;
  /** All instances when undefined. */
  readonly instance?: string;
  /** Only writes or only reads; both when undefined. */
  readonly access?: 'read' | 'write';
  /** Number of matching calls that the fault affects; unlimited when undefined. */
  readonly times?: number;
}

type PlatformCall = {
  readonly part: PlatformPart;
  readonly instance: string;
  readonly access: 'read' | 'write';
};

/** The platform services as one instance sees them. */
export interface PlatformServices {
  readonly table: ClockedTableService;
  readonly objects: ObjectStore;
  readonly membership: MembershipList;
  readonly weights: WeightStore;
}

/** The state that instances share, the faults injected into it and the services of each instance. */
export class InMemoryPlatform {
  readonly rows = new TableRows();
  readonly objects = new Map<string, string>();
  readonly manifests: WeightManifest[] = [];
  members: readonly Member[] = [];
  /** Number of calls that took effect. */
  readonly counts = {reads: 0, writes: 0};
  private readonly faults = new FaultList<PlatformFault>();

  constructor(private readonly clock: Clock = new SystemClock()) {}

  /** The platform's own steady clock. */
  get clockMilliseconds(): number {
    return this.clock.monotonicMilliseconds();
  }

  /** Services over the shared state for one instance; its name selects the faults that apply. */
  servicesFor(instance = 'instance'): PlatformServices {
    return {
      table: new InMemoryTable(this, instance),
      objects: new InMemoryObjects(this, instance),
      membership: new InMemoryMembership(this, instance),
      weights: new InMemoryWeights(this, instance),
    };
  }

  /** Adds a fault. If several faults match a call, the one added first applies. */
  addFault(fault: PlatformFault, scope: FaultScope = {}): void {
    const {times, ...matchedCalls} = scope;
    this.faults.add(fault, matchedCalls, times);
  }

  /** Removes all faults, or those of one service only. */
  clearFaults(part?: PlatformPart): void {
    this.faults.clear(part === undefined ? {} : {part});
  }

  /** Runs a call, subject to the first fault that matches it. */
  async run<T>(
    call: PlatformCall,
    token: CancellationToken,
    effect: () => T,
  ): Promise<Result<T, StorageError>> {
    if (token.isCancelled) {
      return failure({kind: 'unavailable', detail: 'cancelled before sending'});
    }
    const fault = this.faults.takeFault(call);
    const countAndApply = (): T => {
      this.count(call.access);
      return effect();
    };
    switch (fault?.kind) {
      case undefined:
        await Promise.resolve();
        return success(countAndApply());
      case 'down':
        return failure({kind: 'unavailable', detail: `${call.part} is down`});
      case 'rateLimited':
        return failure(fault);
      case 'requestLost':
        return failure({kind: 'outcomeUnknown', detail: 'request lost'});
      case 'answerLost':
        countAndApply();
        return failure({kind: 'outcomeUnknown', detail: 'response lost'});
      case 'slow':
        return this.runDelayed(fault.milliseconds, token, countAndApply);
    }
  }

  private runDelayed<T>(
    milliseconds: number,
    token: CancellationToken,
    effect: () => T,
  ): Promise<Result<T, StorageError>> {
    return new Promise(resolve => {
      const cancelListener = token.onDidCancel(() =>
        resolve(failure({kind: 'outcomeUnknown', detail: 'cancelled'})),
      );
      this.clock.setTimer(milliseconds, () => {
        cancelListener.dispose();
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

/** The transactional table as one instance sees it. */
class InMemoryTable extends ClockedTableService {
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
    return this.platform.run(this.describeCall('read'), token, () =>
      this.platform.rows.read(keys),
    );
  }

  override readWithClock(
    key: string,
    token: CancellationToken = neverCancelled,
  ): Promise<Result<ClockedRow, StorageError>> {
    return this.platform.run(this.describeCall('read'), token, () => ({
      row: this.platform.rows.read([key])[0],
      clockMilliseconds: this.platform.clockMilliseconds,
    }));
  }

  override scan(
    prefix: string,
    after: string | undefined,
    limit: number,
    token: CancellationToken = neverCancelled,
  ): Promise<Result<readonly TableRow[], StorageError>> {
    return this.platform.run(this.describeCall('read'), token, () =>
      this.platform.rows.scan(prefix, after, limit),
    );
  }

  override async transact(
    writes: readonly RowWrite[],
    mode: TransactionMode,
    token: CancellationToken = neverCancelled,
  ): Promise<Result<readonly WriteOutcome[], StorageError>> {
    validateTransaction(writes);
    return this.platform.run(this.describeCall('write'), token, () =>
      this.platform.rows.transact(writes, mode),
    );
  }

  private describeCall(access: 'read' | 'write'): PlatformCall {
    return {part: 'table', instance: this.instance, access};
  }
}

/** The object store as one instance sees it. */
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
    return this.platform.run(this.describeCall('read'), token, () =>
      this.platform.objects.get(name),
    );
  }

  override put(
    name: string,
    body: string,
    token: CancellationToken = neverCancelled,
  ): Promise<Result<void, StorageError>> {
    return this.platform.run(this.describeCall('write'), token, () => {
      this.platform.objects.set(name, body);
    });
  }

  override list(
    prefix: string,
    token: CancellationToken = neverCancelled,
  ): Promise<Result<readonly string[], StorageError>> {
    return this.platform.run(this.describeCall('read'), token, () =>
      [...this.platform.objects.keys()]
        .filter(name => name.startsWith(prefix))
        .sort(),
    );
  }

  override delete(
    name: string,
    token: CancellationToken = neverCancelled,
  ): Promise<Result<void, StorageError>> {
    return this.platform.run(this.describeCall('write'), token, () => {
      this.platform.objects.delete(name);
    });
  }

  private describeCall(access: 'read' | 'write'): PlatformCall {
    return {part: 'objects', instance: this.instance, access};
  }
}

/** The membership list as one instance sees it. */
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
    const call: PlatformCall = {
      part: 'membership',
      instance: this.instance,
      access: 'read',
    };
    return this.platform.run(call, token, () => ({
      members: this.platform.members,
    }));
  }
}

/** The weight store as one instance sees it. */
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
    const call: PlatformCall = {
      part: 'weights',
      instance: this.instance,
      access: 'read',
    };
    return this.platform.run(call, token, () =>
      this.platform.manifests.find(
        manifest => manifest.model === model && manifest.version === version,
      ),
    );
  }
}
