import {
  FakeClock,
  runPendingCallbacks,
} from '../../../../test/support/fakeClock.js';
import {
  InMemoryPlatform,
  PlatformFault,
} from '../../../../test/support/inMemoryPlatform.js';
import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {SilentMetrics} from '../../../infrastructure/metrics/common/metrics.js';
import {
  RowWrite,
  TableService,
} from '../../../infrastructure/table/common/tableService.js';
import {ExecutionStatus} from '../../requests/common/failure.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {AskRequest, AskResponse, ClaimPeers} from '../common/claimPeers.js';
import {ClaimDecision} from '../common/claimService.js';
import {ClaimSettings, defaultClaimSettings} from '../common/claimSettings.js';
import {compareFingerprints} from '../common/fingerprints.js';
import {PeerDirectory, PeerInstance} from '../common/peerDirectory.js';
import {RowResult} from '../common/rowWriter.js';
import {DefaultClaimService} from '../node/defaultClaimService.js';

/** Simulates claim services on one table, with faults. Grants are recorded independently of the services. */

/** Faults injected into the services, to verify that the properties detect them. */
export interface Mutation {
  readonly executedOf?: (decision: ClaimDecision) => ExecutionStatus;
  readonly table?: (table: TableService) => TableService;
  readonly createNonce?: () => string;
  readonly ask?: (
    request: AskRequest,
    slot: ProcessSlot,
  ) => AskResponse | Promise<AskResponse>;
}

export const testSettings: ClaimSettings = {
  ...defaultClaimSettings,
  grantMilliseconds: 3000,
  rememberAfterExpiryMilliseconds: 2000,
  decideWithinMilliseconds: 400,
  insertBackoffMilliseconds: 10,
  recordBackoffMilliseconds: 50,
  recordBackoffLimitMilliseconds: 200,
  askMilliseconds: 100,
  commit: {...defaultClaimSettings.commit, timeoutMilliseconds: 100},
  gather: {
    ...defaultClaimSettings.gather,
    aboveInstances: 2,
    gatherersPerRegion: 1,
    timeoutMilliseconds: 100,
  },
};

export const ACCOUNT = 'desk';
const STEP_MILLISECONDS = 20;

interface Grant {
  readonly incarnation: string;
  readonly fingerprint: string | undefined;
  state: 'open' | 'dispatched' | 'closedNotRun';
}

/** A place where a process runs; each restart starts a new incarnation. */
export interface ProcessSlot {
  readonly index: number;
  readonly clock: FakeClock;
  incarnation: string;
  service: DefaultClaimService;
  /** Resolved unless the process is paused. */
  resumed: Promise<void>;
  /** Resolves `resumed`; defined only while the process is paused. */
  signalResume: (() => void) | undefined;
  pausedMilliseconds: number;
}

export class ClaimSimulation {
  readonly platformClock = new FakeClock();
  readonly platform = new InMemoryPlatform(this.platformClock);
  readonly slots: ProcessSlot[] = [];
  readonly violations: string[] = [];
  readonly reportedStatuses: ExecutionStatus[] = [];
  private readonly grants = new Map<string, Grant[]>();
  private incarnationCount = 0;
  private nonceCount = 0;

  constructor(
    count: number,
    private readonly mutation: Mutation = {},
    private readonly settings: ClaimSettings = testSettings,
  ) {
    for (let index = 0; index < count; index++) {
      this.slots.push(this.start(index, new FakeClock()));
    }
  }

  dispose(): void {
    this.slots.forEach(slot => slot.service.dispose());
  }

  /** Submits a key; records the grant, the dispatch and the status reported to the caller. */
  async submit(
    slot: ProcessSlot,
    key: string,
    dispatchDelayMilliseconds: number,
    deadlineMilliseconds: number,
    finalOutcome: RequestOutcome,
    fingerprint?: string,
  ): Promise<ExecutionStatus> {
    const {incarnation, service, clock} = slot;
    const source = new CancellationSource();
    const deadlineAt = clock.monotonicMilliseconds() + deadlineMilliseconds;
    const timer = clock.setTimer(deadlineMilliseconds, () =>
      source.cancel('deadline'),
    );
    const decision = await service.claim(
      ACCOUNT,
      key,
      source.token,
      fingerprint,
    );
    timer.dispose();
    if (decision.kind !== 'granted') {
      return this.report(key, this.executedOf(decision), fingerprint);
    }
    const grant = this.addGrant(key, incarnation, fingerprint);
    await new Promise<void>(resolve =>
      clock.setTimer(dispatchDelayMilliseconds, resolve),
    );
    if (slot.incarnation !== incarnation) {
      return 'unknown';
    }
    if (clock.monotonicMilliseconds() >= deadlineAt) {
      grant.state = 'closedNotRun';
      service.complete(ACCOUNT, key, notRun);
      return this.report(key, 'no', fingerprint);
    }
    grant.state = 'dispatched';
    this.checkDispatches(key);
    service.complete(ACCOUNT, key, finalOutcome);
    return this.report(key, 'yes', fingerprint);
  }

  async advance(milliseconds: number): Promise<void> {
    for (let left = milliseconds; left > 0; left -= STEP_MILLISECONDS) {
      await this.platformClock.advanceAsync(STEP_MILLISECONDS);
      for (const slot of this.slots) {
        if (slot.signalResume === undefined) {
          await slot.clock.advanceAsync(STEP_MILLISECONDS);
        } else {
          slot.pausedMilliseconds += STEP_MILLISECONDS;
        }
      }
    }
  }

  pause(slot: ProcessSlot): void {
    if (slot.signalResume === undefined) {
      slot.resumed = new Promise(resolve => {
        slot.signalResume = resolve;
      });
    }
  }

  async resume(slot: ProcessSlot): Promise<void> {
    slot.signalResume?.();
    slot.signalResume = undefined;
    slot.clock.pause(slot.pausedMilliseconds);
    slot.pausedMilliseconds = 0;
    await runPendingCallbacks();
  }

  restart(slot: ProcessSlot): void {
    slot.signalResume?.();
    slot.service.dispose();
    this.slots[slot.index] = this.start(slot.index, new FakeClock());
    // Pending submissions of the terminated process must not continue.
    slot.incarnation = 'dead';
  }

  addTableFault(fault: PlatformFault, times: number): void {
    this.platform.addFault(fault, {part: 'table', times});
  }

  private start(index: number, clock: FakeClock): ProcessSlot {
    clock.advance(this.platformClock.monotonicMilliseconds());
    const incarnation = `inc${this.incarnationCount++}`;
    const slot: ProcessSlot = {
      index,
      clock,
      incarnation,
      service: undefined as never,
      resumed: Promise.resolve(),
      signalResume: undefined,
      pausedMilliseconds: 0,
    };
    const platformTable = this.platform.servicesFor(`slot${index}`).table;
    const table = this.mutation.table?.(platformTable) ?? platformTable;
    slot.service = new DefaultClaimService({
      table: new PausableTable(table, slot),
      clock,
      incarnation,
      peerKey: 'peer-key',
      logger: new SilentLogger(),
      metrics: new SilentMetrics(),
      directory: new SimulatedPeerDirectory(this),
      peers: new SimulatedClaimPeers(this, this.mutation),
      settings: this.settings,
      createNonce: this.mutation.createNonce ?? (() => `n${this.nonceCount++}`),
    });
    return slot;
  }

  private executedOf(decision: ClaimDecision): ExecutionStatus {
    return (this.mutation.executedOf ?? executedOf)(decision);
  }

  private addGrant(
    key: string,
    incarnation: string,
    fingerprint: string | undefined,
  ): Grant {
    const earlier = this.grants.get(key) ?? [];
    if (earlier.some(grant => grant.fingerprint !== fingerprint)) {
      this.violations.push(`${key} granted for two requests`);
    }
    if (earlier.some(grant => grant.state !== 'closedNotRun')) {
      this.violations.push(`${key} granted twice`);
    }
    const grant: Grant = {incarnation, fingerprint, state: 'open'};
    this.grants.set(key, [...earlier, grant]);
    return grant;
  }

  private checkDispatches(key: string): void {
    const dispatched = this.grants
      .get(key)!
      .filter(grant => grant.state === 'dispatched');
    if (dispatched.length > 1) {
      this.violations.push(`${key} dispatched ${dispatched.length} times`);
    }
  }

  private report(
    key: string,
    executed: ExecutionStatus,
    fingerprint: string | undefined,
  ): ExecutionStatus {
    this.reportedStatuses.push(executed);
    const mayHaveRun = (this.grants.get(key) ?? []).some(
      grant =>
        grant.state !== 'closedNotRun' &&
        compareFingerprints(grant.fingerprint, fingerprint) !== 'otherWork',
    );
    if (executed === 'no' && mayHaveRun) {
      this.violations.push(`${key} reported as not run while granted`);
    }
    return executed;
  }
}

/** The execution status that callers get for a decision other than `granted`. */
export function executedOf(decision: ClaimDecision): ExecutionStatus {
  switch (decision.kind) {
    case 'duplicate':
      return executedOfOutcome(decision.outcome);
    case 'heldElsewhere':
      return decision.outcome ? executedOfOutcome(decision.outcome) : 'unknown';
    case 'keyReused':
      return decision.sameWork ? 'unknown' : 'no';
    case 'refusedNotRun':
    case 'noRoom':
      return 'no';
    default:
      return 'unknown';
  }
}

function executedOfOutcome(outcome: RequestOutcome): ExecutionStatus {
  switch (outcome.kind) {
    case 'completed':
      return 'yes';
    case 'failed':
      return outcome.failure.executed;
    default:
      return 'unknown';
  }
}

export const notRun: RequestOutcome = {
  kind: 'failed',
  failure: {
    error: {kind: 'deadlineExceeded'},
    executed: 'no',
    retryAfterMilliseconds: undefined,
    addresses: [],
  },
};

export const completed: RequestOutcome = {
  kind: 'completed',
  status: 200,
  contentType: 'text/plain',
  body: 'poured',
};

/** Delays responses to a paused process until it resumes; writes take effect at once. */
class PausableTable extends TableService {
  constructor(
    private readonly table: TableService,
    private readonly slot: ProcessSlot,
  ) {
    super();
  }

  override async read(keys: readonly string[], token: CancellationToken) {
    const result = await this.table.read(keys, token);
    await this.slot.resumed;
    return result;
  }

  override async scan(
    prefix: string,
    after: string | undefined,
    limit: number,
    token: CancellationToken,
  ) {
    const result = await this.table.scan(prefix, after, limit, token);
    await this.slot.resumed;
    return result;
  }

  override async transact(
    writes: readonly RowWrite[],
    mode: 'all' | 'each',
    token: CancellationToken,
  ) {
    const result = await this.table.transact(writes, mode, token);
    await this.slot.resumed;
    return result;
  }
}

/** Stale directory: a terminated incarnation still resolves to its slot. */
export class SimulatedPeerDirectory extends PeerDirectory {
  constructor(private readonly simulation: ClaimSimulation) {
    super();
  }

  private readonly seen = new Map<string, number>();

  override resolve(incarnation: string): PeerInstance | undefined {
    for (const slot of this.simulation.slots) {
      this.seen.set(slot.incarnation, slot.index);
    }
    const index = this.seen.get(incarnation);
    return index === undefined ? undefined : toPeer(incarnation, index);
  }

  override readyInstances(): readonly PeerInstance[] {
    return this.simulation.slots.map(slot =>
      toPeer(slot.incarnation, slot.index),
    );
  }
}

function toPeer(incarnation: string, index: number): PeerInstance {
  return {id: `slot${index}`, incarnation, address: `${index}`, region: 'west'};
}

/** Delivers requests to a paused process only after it resumes; the caller can cancel before. */
export class SimulatedClaimPeers extends ClaimPeers {
  constructor(
    private readonly simulation: ClaimSimulation,
    private readonly mutation: Mutation = {},
  ) {
    super();
  }

  override ask(
    address: string,
    request: AskRequest,
    token: CancellationToken,
  ): Promise<AskResponse> {
    return this.call(address, token, async slot =>
      this.mutation.ask
        ? this.mutation.ask(request, slot)
        : slot.service.answer(request),
    );
  }

  override gather(
    address: string,
    writes: readonly RowWrite[],
    token: CancellationToken,
  ): Promise<readonly RowResult[]> {
    return this.call(address, token, slot => slot.service.gather(writes));
  }

  private call<T>(
    address: string,
    token: CancellationToken,
    run: (slot: ProcessSlot) => Promise<T>,
  ): Promise<T> {
    const slot = this.simulation.slots[Number(address)]!;
    return new Promise((resolve, reject) => {
      token.onDidCancel(() => reject(new Error('request cancelled')));
      void slot.resumed.then(() => run(slot)).then(resolve, reject);
    });
  }
}
