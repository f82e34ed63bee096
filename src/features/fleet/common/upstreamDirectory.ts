import {Clock} from '../../../base/common/clock.js';
import {Emitter} from '../../../base/common/event.js';
import {Disposable, DisposableOwner} from '../../../base/common/lifecycle.js';
import {elapsedSince, Moment, momentOf} from '../../../base/common/moment.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Upstream} from './upstream.js';
import {describeUpstream, digestOf} from './upstreamList.js';

/** Reads that are further apart than this had an outage of the list between them. */
const OUTAGE_MILLISECONDS = 2_500;

/**
 * The list is complete again this long after an outage, by the platform's word. No longer: an upstream
 * that left while only this instance could not read must get nothing new some seconds later.
 */
const RETURN_MILLISECONDS = 2_000;

/** The upstreams that are listed, by service. */
export class UpstreamDirectory extends DisposableOwner {
  private readonly changed = this.register(new Emitter<void>());
  private upstreams = new Map<string, Upstream>();
  private byService = new Map<string, readonly Upstream[]>();
  private byAddress = new Map<string, Upstream>();
  private lastRead: Moment | undefined;
  private completeFrom = -Infinity;
  private lastList: readonly Upstream[] = [];
  private lastDigest = digestOf([]);
  private dropTimer: Disposable | undefined;

  /** Fires when an upstream came, left or changed. */
  readonly onDidChange = this.changed.event;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
  }

  override dispose(): void {
    this.dropTimer?.dispose();
    super.dispose();
  }

  /** All upstreams of a service, leaving ones included. */
  ofService(service: string): readonly Upstream[] {
    return this.byService.get(service) ?? [];
  }

  /** The listed upstream with an identifier. */
  find(id: string): Upstream | undefined {
    return this.upstreams.get(id);
  }

  /** The listed upstream at an address. */
  findByAddress(address: string): Upstream | undefined {
    return this.byAddress.get(address);
  }

  /** How many upstreams are listed. */
  get size(): number {
    return this.upstreams.size;
  }

  /** Milliseconds since the list was read. */
  get age(): number {
    return this.lastRead === undefined
      ? Infinity
      : elapsedSince(this.clock, this.lastRead);
  }

  /** The list as it was read last, what an outage hides left out. */
  get list(): readonly Upstream[] {
    return this.lastList;
  }

  /** Tells lists apart. */
  get digest(): string {
    return this.lastDigest;
  }

  /**
   * Takes a whole list that showed the upstreams at a moment, by default now; one that is older than the last
   * changes nothing.
   */
  replace(list: readonly Upstream[], asOf = momentOf(this.clock)): void {
    const lastRead = this.lastRead?.monotonic ?? -Infinity;
    if (asOf.monotonic < lastRead) {
      return;
    }
    const now = this.clock.monotonicMilliseconds();
    if (asOf.monotonic - lastRead > OUTAGE_MILLISECONDS) {
      this.completeFrom = now + RETURN_MILLISECONDS;
    }
    this.lastRead = asOf;
    this.lastList = list;
    this.lastDigest = digestOf(list);
    this.apply(now);
  }

  private apply(now: number): void {
    const next = new Map(
      this.lastList.map(upstream => [upstream.id, upstream]),
    );
    if (now < this.completeFrom) {
      this.keepMissing(next);
      this.dropLater(this.completeFrom - now);
    }
    if (this.report(next)) {
      this.set(next);
      this.changed.fire();
    }
  }

  /** Entries lapse while the platform is away and come back a little later: until then, missing is not gone. */
  private keepMissing(next: Map<string, Upstream>): void {
    const addresses = new Set([...next.values()].map(({address}) => address));
    for (const [id, upstream] of this.upstreams) {
      if (!next.has(id) && !addresses.has(upstream.address)) {
        next.set(id, upstream);
      }
    }
  }

  /** Not left to the next reading, which may be a second away. */
  private dropLater(milliseconds: number): void {
    this.dropTimer?.dispose();
    this.dropTimer = this.clock.setTimer(milliseconds, () =>
      this.apply(this.clock.monotonicMilliseconds()),
    );
  }

  private set(next: Map<string, Upstream>): void {
    this.upstreams = next;
    this.byAddress = new Map();
    const byService = new Map<string, Upstream[]>();
    for (const upstream of next.values()) {
      const group = byService.get(upstream.service) ?? [];
      group.push(upstream);
      byService.set(upstream.service, group);
      this.byAddress.set(upstream.address, upstream);
    }
    this.byService = byService;
  }

  /** Writes a line for each change; answers whether there was any. */
  private report(next: ReadonlyMap<string, Upstream>): boolean {
    let isChanged = false;
    for (const upstream of next.values()) {
      const before = this.upstreams.get(upstream.id);
      if (
        before === undefined ||
        describeUpstream(before) !== describeUpstream(upstream)
      ) {
        isChanged = true;
        this.logger.decision('upstreamChanged', {
          upstream: upstream.id,
          address: upstream.address,
          before: before && describeUpstream(before),
          now: describeUpstream(upstream),
        });
      }
    }
    for (const id of this.upstreams.keys()) {
      if (!next.has(id)) {
        isChanged = true;
        this.logger.decision('upstreamGone', {upstream: id});
      }
    }
    return isChanged;
  }
}
