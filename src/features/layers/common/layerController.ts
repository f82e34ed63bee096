import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Slowness} from '../../fleet/common/slowness.js';
import {Suspicions} from '../../fleet/common/suspicions.js';
import {
  LayerRange,
  layerCountOf,
  Upstream,
} from '../../fleet/common/upstream.js';
import {
  UpstreamCallError,
  UpstreamControl,
} from '../../fleet/common/upstreamControl.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {roomTokens} from '../../paths/common/pathCost.js';
import {Mechanisms} from '../../mechanisms/common/mechanisms.js';
import {RepeatingTask} from '../../membership/common/repeatingTask.js';
import {TableLease} from '../../placement/common/tableLease.js';
import {ConfigurationKeeper} from '../../traffic/common/configurationKeeper.js';
import {
  EngineSettings,
  LayerModel,
  Service,
} from '../../traffic/common/trafficConfiguration.js';
import {
  chooseLayerSizes,
  KindCounts,
  layersWithRoom,
  largerSizes,
  LayerSizes,
  SPARE_ROOM_SHARE,
} from './layerSize.js';
import {LayerAssignment, planLayers, withoutSlow} from './planLayers.js';

/** Time between two looks at what is held. */
const PERIOD_MILLISECONDS = 200;

/**
 * An upstream whose loss has lasted for so long is replaced: the trial call that began it, of up to 250 ms, was not
 * answered then. A wrong one costs the load of some layers, each 100 ms of waiting what its data centre serves.
 */
const LOST_MILLISECONDS = 300;

/**
 * How much each upstream gets depends on all of them, so the first plan waits until no further one
 * has come for a little more than a heartbeat, and begins after this time in any case.
 */
const SETTLE_MILLISECONDS = 1_500;
const SETTLE_LIMIT_MILLISECONDS = 4_000;

/**
 * An upstream that comes while no layer is lacking often replaces one that says a moment later that it
 * leaves: for this long it gets no layers, so that it can then take over just those.
 */
const FRESH_MILLISECONDS = 4_000;

/** Time of one order; sound upstreams answer in a few milliseconds. */
const ORDER_MILLISECONDS = 300;

/** Steps of the lease are this far apart; it lasts four of them. */
export const LEASE_STEP_MILLISECONDS = 600;

/**
 * An order whose layers are not reported counts as lost after the time of loading times this and
 * the time in which reports come round. Many loads at once take longer, and an order may be carried
 * out late.
 */
const LOAD_TIME_FACTOR = 3;
const REPORT_MILLISECONDS = 4_000;

/** What was ordered of one upstream. */
interface Ordered {
  readonly range: LayerRange;
  readonly giveUpAt: number;
}

/** A service whose engines hold layers. */
interface LayeredService {
  readonly name: string;
  readonly engine: EngineSettings;
  readonly layers: LayerModel;
}

/** Notices when the upstreams of a service that holds no layers yet have all come. */
class Arrivals {
  private readonly seen = new Map<
    string,
    {readonly count: number; readonly firstAt: number; readonly lastAt: number}
  >();

  areSettled(
    service: string,
    upstreams: readonly Upstream[],
    now: number,
  ): boolean {
    if (upstreams.some(({layers}) => layers !== undefined)) {
      return true;
    }
    const count = upstreams.length;
    const before = this.seen.get(service);
    const isNew = before === undefined || count > before.count;
    const firstAt = before?.firstAt ?? now;
    const lastAt = isNew ? now : before.lastAt;
    this.seen.set(service, {count, firstAt, lastAt});
    return (
      now - lastAt >= SETTLE_MILLISECONDS ||
      now - firstAt >= SETTLE_LIMIT_MILLISECONDS
    );
  }
}

/** While it holds the lease, gives upstreams their layers and replaces those that were lost. */
export class LayerController extends DisposableOwner {
  private readonly task: RepeatingTask;
  private readonly leaseTask: RepeatingTask;
  private readonly ordered = new Map<string, Ordered>();
  private readonly orderCounts = new Map<string, number>();
  private readonly arrivals = new Arrivals();
  /** Sizes of the first plan, by service. */
  private readonly firstSizes = new Map<string, LayerSizes>();
  /** When each upstream was first seen. */
  private readonly seenAt = new Map<string, number>();
  private isLeaving = false;
  private leaseStep: Promise<void> = Promise.resolve();

  constructor(
    private readonly clock: Clock,
    random: RandomSource,
    private readonly logger: Logger,
    private readonly lease: TableLease,
    private readonly control: UpstreamControl,
    private readonly configuration: ConfigurationKeeper,
    private readonly directory: UpstreamDirectory,
    private readonly suspicions: Suspicions,
    private readonly slowness: Slowness,
    private readonly mechanisms: Mechanisms,
    /** Whether a peer says that it holds the lease: then the row need not be read. */
    private readonly isHolderHeard: () => boolean,
  ) {
    super();
    this.register(lease);
    this.leaseTask = this.register(
      new RepeatingTask(
        clock,
        random,
        () => LEASE_STEP_MILLISECONDS,
        token => this.stepLease(token),
      ),
    );
    this.task = this.register(
      new RepeatingTask(
        clock,
        random,
        () => PERIOD_MILLISECONDS,
        token => this.look(token),
      ),
    );
    this.register(lease.onDidChange(state => this.onLease(state)));
  }

  /** Begins to compete for the lease. */
  start(): void {
    this.leaseTask.runNow();
    this.task.runNow();
  }

  /** Gives the lease up for good: an instance that stops would soon leave it to nobody again. */
  async leave(token: CancellationToken): Promise<void> {
    this.isLeaving = true;
    await this.leaseStep;
    await this.lease.release(token);
  }

  private async stepLease(token: CancellationToken): Promise<void> {
    const isElsewhere = this.lease.state === 'idle' && this.isHolderHeard();
    if (!this.isLeaving && !isElsewhere) {
      this.leaseStep = this.lease.advance(token);
      await this.leaseStep;
    }
  }

  private onLease(state: string): void {
    this.logger.decision('layerLease', {state, fencing: this.lease.fencing});
    this.ordered.clear();
    this.orderCounts.clear();
    this.task.runNow();
  }

  private async look(token: CancellationToken): Promise<void> {
    const {table} = this.configuration;
    if (this.lease.fencing === undefined || table === undefined) {
      return;
    }
    this.forgetDone();
    const now = this.clock.monotonicMilliseconds();
    const assignments = table.configuration.services
      .flatMap(toLayered)
      .filter(({name}) =>
        this.arrivals.areSettled(name, this.directory.ofService(name), now),
      )
      .flatMap(service => this.plan(service));
    await Promise.all(
      assignments.map(({assignment, service}) =>
        this.order(assignment, service, token),
      ),
    );
  }

  private plan(service: LayeredService) {
    const upstreams = this.directory
      .ofService(service.name)
      .filter(
        ({id, isLeaving}) =>
          !isLeaving && !this.suspicions.isSilentFor(id, LOST_MILLISECONDS),
      );
    const sizes = this.sizesOf(service, upstreams);
    const ordered = new Map(
      [...this.ordered].map(([id, {range}]) => [id, range]),
    );
    const fresh = this.freshAmong(upstreams);
    const {layers} = service;
    const limitOf = (upstream: Upstream): number =>
      takeOverLimit(service, upstream);
    const {completedRanges, replacedWhenSlow} = this.mechanisms;
    const sound = withoutSlow(
      upstreams,
      id => replacedWhenSlow && this.slowness.isSlow(id),
      {layers, limitOf},
    );
    return planLayers({
      layers,
      sizes,
      limitOf,
      roomShareOf: (upstream, count) => roomShareOf(service, upstream, count),
      canComplete: completedRanges,
      upstreams: sound,
      ordered,
      fresh,
    }).map(assignment => ({assignment, service}));
  }

  /**
   * Sizes do not shrink: while upstreams are replaced there are more of them for a time, and with smaller
   * ranges a new one could not take over what an old one held.
   */
  private sizesOf(
    service: LayeredService,
    upstreams: readonly Upstream[],
  ): LayerSizes {
    const {engine, layers, name} = service;
    const chosen = chooseLayerSizes(
      engine,
      layers,
      countKinds(upstreams),
      this.mechanisms.secondHolders,
    );
    const first = this.firstSizes.get(name) ?? chosen;
    this.firstSizes.set(name, first);
    return largerSizes(first, chosen);
  }

  /** Those that were first seen just now. */
  private freshAmong(upstreams: readonly Upstream[]): ReadonlySet<string> {
    const now = this.clock.monotonicMilliseconds();
    const fresh = new Set<string>();
    for (const {id} of upstreams) {
      const seenAt = this.seenAt.get(id) ?? now;
      this.seenAt.set(id, seenAt);
      if (now - seenAt < FRESH_MILLISECONDS) {
        fresh.add(id);
      }
    }
    return fresh;
  }

  private async order(
    {upstream, range, reason}: LayerAssignment,
    service: LayeredService,
    token: CancellationToken,
  ): Promise<void> {
    const {fencing} = this.lease;
    const expectedOrders = await this.orderCountOf(upstream);
    if (
      fencing === undefined ||
      expectedOrders === undefined ||
      !this.lease.permits(ORDER_MILLISECONDS)
    ) {
      return;
    }
    this.ordered.set(upstream.id, {
      range,
      giveUpAt: this.clock.monotonicMilliseconds() + loadTime(service, range),
    });
    // A move waits for nothing: streams end within seconds, and until then its data centre lacks the layers.
    // What is cut off goes on elsewhere, as after a loss.
    const result = await this.control.place(
      upstream,
      {range, fencing, expectedOrders, cutsOff: reason !== 'empty'},
      ORDER_MILLISECONDS,
    );
    this.logger.decision('layersOrdered', {
      upstream: upstream.id,
      kind: upstream.acceleratorKind,
      from: range.from,
      to: range.to,
      reason,
      fencing,
      expectedOrders,
      listAge: Math.round(this.directory.age),
      outcome: result.ok ? 'accepted' : result.error.kind,
    });
    if (result.ok) {
      const begun = result.value.hasBegun ? 1 : 0;
      this.orderCounts.set(upstream.id, expectedOrders + begun);
    } else {
      await this.onRefused(upstream.id, result.error, fencing, token);
    }
  }

  private async onRefused(
    id: string,
    error: UpstreamCallError,
    fencing: number,
    token: CancellationToken,
  ): Promise<void> {
    this.orderCounts.delete(id);
    if (error.kind === 'superseded') {
      await this.lease.supersededBy(fencing, token);
    }
    // An order without an answer may be carried out yet; it is read back before the next one.
    if (error.kind !== 'noAnswer') {
      this.ordered.delete(id);
    }
  }

  /** Orders that an upstream has accepted: a new one has accepted none; else it is asked. */
  private async orderCountOf(upstream: Upstream): Promise<number | undefined> {
    const known = this.orderCounts.get(upstream.id);
    if (known !== undefined) {
      return known;
    }
    const report = await this.control.report(upstream, ORDER_MILLISECONDS);
    if (!report.ok || report.value.isBusy) {
      return undefined;
    }
    this.orderCounts.set(upstream.id, report.value.orderCount);
    return report.value.orderCount;
  }

  /** Takes off what is reported, gone or overdue. */
  private forgetDone(): void {
    const now = this.clock.monotonicMilliseconds();
    for (const id of this.seenAt.keys()) {
      if (this.directory.find(id) === undefined) {
        this.seenAt.delete(id);
      }
    }
    for (const [id, {range, giveUpAt}] of this.ordered) {
      const upstream = this.directory.find(id);
      const {layers} = upstream ?? {};
      const isHeld = layers?.from === range.from && layers.to === range.to;
      if (upstream === undefined || isHeld || now > giveUpAt) {
        this.ordered.delete(id);
        if (!isHeld) {
          this.orderCounts.delete(id);
        }
      }
    }
  }
}

function toLayered({name, engine}: Service): readonly LayeredService[] {
  return engine?.layers === undefined
    ? []
    : [{name, engine, layers: engine.layers}];
}

/**
 * The most layers with which an upstream takes over from a lost one. What runs through it does not count: while a
 * data centre is out the others are full, and without growing it would stay out.
 */
function takeOverLimit(
  {engine, layers}: LayeredService,
  {acceleratorKind}: Upstream,
): number {
  const kind = layers.kinds.find(({name}) => name === acceleratorKind);
  const usual = engine.usualPromptTokens + engine.usualAnswerTokens;
  const room = SPARE_ROOM_SHARE * engine.slots * usual;
  return kind === undefined ? 0 : layersWithRoom(engine, layers, kind, room);
}

/** Part of the room for all slots at the usual size that a number of layers leaves, up to 1. */
function roomShareOf(
  {engine, layers}: LayeredService,
  {acceleratorKind}: Upstream,
  layerCount: number,
): number {
  const kind = layers.kinds.find(({name}) => name === acceleratorKind);
  const memory = kind?.memoryMegabytes ?? 0;
  const usual = engine.usualPromptTokens + engine.usualAnswerTokens;
  const wanted = engine.slots * usual;
  const room = roomTokens(engine, layers, memory, layerCount);
  return Math.min(1, Math.max(room / wanted, Number.EPSILON));
}

function countKinds(upstreams: readonly Upstream[]): KindCounts {
  const counts = new Map<string, Map<string, number>>();
  for (const {acceleratorKind = '', dataCentre} of upstreams) {
    const kinds = counts.get(dataCentre) ?? new Map<string, number>();
    kinds.set(acceleratorKind, (kinds.get(acceleratorKind) ?? 0) + 1);
    counts.set(dataCentre, kinds);
  }
  return counts;
}

function loadTime(service: LayeredService, range: LayerRange): number {
  const [model] = service.engine.models;
  const share = layerCountOf(range) / service.layers.layerCount;
  const load = (model?.loadSeconds ?? 0) * 1000 * share;
  return load * LOAD_TIME_FACTOR + REPORT_MILLISECONDS;
}
