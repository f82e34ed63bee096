import {FakeClock, settle} from '../../../../test/support/fakeClock.js';
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
import {Executed} from '../../requests/common/failure.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {AskAnswer, AskMessage, ClaimPeers} from '../common/claimPeers.js';
import {ClaimDecision} from '../common/claims.js';
import {ClaimSettings, defaultClaimSettings} from '../common/claimSettings.js';
import {matchFingerprints} from '../common/fingerprints.js';
import {PeerDirectory, PeerInstance} from '../common/peerDirectory.js';
import {RowResult} from '../common/rowWriter.js';
import {DefaultClaimService} from '../node/defaultClaimService.js';

/** Several claim services over one table, with faults and a ledger that only the tests write. */

/** Ways to wire the parts wrongly, to see that a property notices. */
export interface Mutation {
  readonly executedOf?: (decision: ClaimDecision) => Executed;
  readonly table?: (table: TableService) => TableService;
  readonly createNonce?: () => string;
  readonly ask?: (message: AskMessage, slot: Slot) => AskAnswer;
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

/** One place where a process runs; a restart gives it a new incarnation. */
export interface Slot {
  readonly index: number;
  readonly clock: FakeClock;
  incarnation: string;
  service: DefaultClaimService;
  /** Resolved while the process is awake. */
  awake: Promise<void>;
  wake: (() => void) | undefined;
  asleepMilliseconds: number;
}

export class ClaimWorld {
  readonly worldClock = new FakeClock();
  readonly platform = new InMemoryPlatform(this.worldClock);
  readonly slots: Slot[] = [];
  readonly violations: string[] = [];
  readonly answers: Executed[] = [];
  private readonly grants = new Map<string, Grant[]>();
  private incarnations = 0;
  private nonces = 0;

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

  /** Submits a key; the answer and what was dispatched go to the ledger. */
  async submit(
    slot: Slot,
    key: string,
    thinkMilliseconds: number,
    deadlineMilliseconds: number,
    ending: RequestOutcome,
    fingerprint?: string,
  ): Promise<Executed> {
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
      return this.answer(key, this.executedOf(decision), fingerprint);
    }
    const grant = this.addGrant(key, incarnation, fingerprint);
    await new Promise<void>(resolve =>
      clock.setTimer(thinkMilliseconds, resolve),
    );
    if (slot.incarnation !== incarnation) {
      return 'unknown';
    }
    if (clock.monotonicMilliseconds() >= deadlineAt) {
      grant.state = 'closedNotRun';
      service.complete(ACCOUNT, key, notRun);
      return this.answer(key, 'no', fingerprint);
    }
    grant.state = 'dispatched';
    this.checkDispatches(key);
    service.complete(ACCOUNT, key, ending);
    return this.answer(key, 'yes', fingerprint);
  }

  async advance(milliseconds: number): Promise<void> {
    for (let left = milliseconds; left > 0; left -= STEP_MILLISECONDS) {
      await this.worldClock.advanceAsync(STEP_MILLISECONDS);
      for (const slot of this.slots) {
        if (slot.wake === undefined) {
          await slot.clock.advanceAsync(STEP_MILLISECONDS);
        } else {
          slot.asleepMilliseconds += STEP_MILLISECONDS;
        }
      }
    }
  }

  pause(slot: Slot): void {
    if (slot.wake === undefined) {
      slot.awake = new Promise(resolve => {
        slot.wake = resolve;
      });
    }
  }

  async resume(slot: Slot): Promise<void> {
    slot.wake?.();
    slot.wake = undefined;
    slot.clock.pause(slot.asleepMilliseconds);
    slot.asleepMilliseconds = 0;
    await settle();
  }

  restart(slot: Slot): void {
    slot.wake?.();
    slot.service.dispose();
    this.slots[slot.index] = this.start(slot.index, new FakeClock());
    // Work of the dead process must not go on.
    slot.incarnation = 'dead';
  }

  fault(fault: PlatformFault, times: number): void {
    this.platform.addFault(fault, {part: 'table', times});
  }

  private start(index: number, clock: FakeClock): Slot {
    clock.advance(this.worldClock.monotonicMilliseconds());
    const incarnation = `inc${this.incarnations++}`;
    const slot: Slot = {
      index,
      clock,
      incarnation,
      service: undefined as never,
      awake: Promise.resolve(),
      wake: undefined,
      asleepMilliseconds: 0,
    };
    const own = this.platform.portsOf(`slot${index}`).table;
    const table = this.mutation.table?.(own) ?? own;
    slot.service = new DefaultClaimService({
      table: new PausableTable(table, slot),
      clock,
      incarnation,
      peerKey: 'peer-key',
      logger: new SilentLogger(),
      metrics: new SilentMetrics(),
      directory: new WorldDirectory(this),
      peers: new WorldPeers(this, this.mutation),
      settings: this.settings,
      createNonce: this.mutation.createNonce ?? (() => `n${this.nonces++}`),
    });
    return slot;
  }

  private executedOf(decision: ClaimDecision): Executed {
    return (this.mutation.executedOf ?? executedOf)(decision);
  }

  private addGrant(
    key: string,
    incarnation: string,
    fingerprint: string | undefined,
  ): Grant {
    const known = this.grants.get(key) ?? [];
    if (known.some(grant => grant.fingerprint !== fingerprint)) {
      this.violations.push(`${key} granted for two requests`);
    }
    if (known.some(grant => grant.state !== 'closedNotRun')) {
      this.violations.push(`${key} granted twice`);
    }
    const grant: Grant = {incarnation, fingerprint, state: 'open'};
    this.grants.set(key, [...known, grant]);
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

  private answer(
    key: string,
    executed: Executed,
    fingerprint: string | undefined,
  ): Executed {
    this.answers.push(executed);
    const open = (this.grants.get(key) ?? []).some(
      grant =>
        grant.state !== 'closedNotRun' &&
        matchFingerprints(grant.fingerprint, fingerprint) !== 'otherWork',
    );
    if (executed === 'no' && open) {
      this.violations.push(`${key} said not run while granted`);
    }
    return executed;
  }
}

/** What a caller is told for a decision that isn't `granted`. */
export function executedOf(decision: ClaimDecision): Executed {
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

function executedOfOutcome(outcome: RequestOutcome): Executed {
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

/** Answers reach a paused process only when it wakes; effects don't wait. */
class PausableTable extends TableService {
  constructor(
    private readonly table: TableService,
    private readonly slot: Slot,
  ) {
    super();
  }

  override async read(keys: readonly string[], token: CancellationToken) {
    const result = await this.table.read(keys, token);
    await this.slot.awake;
    return result;
  }

  override async scan(
    prefix: string,
    after: string | undefined,
    limit: number,
    token: CancellationToken,
  ) {
    const result = await this.table.scan(prefix, after, limit, token);
    await this.slot.awake;
    return result;
  }

  override async transact(
    writes: readonly RowWrite[],
    mode: 'all' | 'each',
    token: CancellationToken,
  ) {
    const result = await this.table.transact(writes, mode, token);
    await this.slot.awake;
    return result;
  }
}

/** A list that lags: a dead incarnation still points at its slot. */
export class WorldDirectory extends PeerDirectory {
  constructor(private readonly world: ClaimWorld) {
    super();
  }

  private readonly seen = new Map<string, number>();

  override resolve(incarnation: string): PeerInstance | undefined {
    for (const slot of this.world.slots) {
      this.seen.set(slot.incarnation, slot.index);
    }
    const index = this.seen.get(incarnation);
    return index === undefined ? undefined : toPeer(incarnation, index);
  }

  override readyInstances(): readonly PeerInstance[] {
    return this.world.slots.map(slot => toPeer(slot.incarnation, slot.index));
  }
}

function toPeer(incarnation: string, index: number): PeerInstance {
  return {id: `slot${index}`, incarnation, address: `${index}`, region: 'west'};
}

/** Calls that a paused process answers only after it wakes; the caller may give up before. */
export class WorldPeers extends ClaimPeers {
  constructor(
    private readonly world: ClaimWorld,
    private readonly mutation: Mutation = {},
  ) {
    super();
  }

  override ask(
    address: string,
    message: AskMessage,
    token: CancellationToken,
  ): Promise<AskAnswer> {
    return this.call(address, token, async slot =>
      this.mutation.ask
        ? this.mutation.ask(message, slot)
        : slot.service.answer(message),
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
    run: (slot: Slot) => Promise<T>,
  ): Promise<T> {
    const slot = this.world.slots[Number(address)]!;
    return new Promise((resolve, reject) => {
      token.onDidCancel(() => reject(new Error('given up')));
      void slot.awake.then(() => run(slot)).then(resolve, reject);
    });
  }
}
