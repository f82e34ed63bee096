import {Clock} from '../../../base/common/clock.js';
import {Emitter} from '../../../base/common/event.js';
import {Disposable, DisposableOwner} from '../../../base/common/lifecycle.js';
import {
  elapsedSince,
  Moment,
  currentMoment,
} from '../../../base/common/moment.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Upstream} from './upstream.js';
import {describeUpstream, digestUpstreams} from './upstreamDigest.js';

/** Reads of the list with a larger gap between them count as separated by an outage. */
const OUTAGE_GAP_MILLISECONDS = 2_500;

/**
 * Time within which the list becomes complete after an outage, as guaranteed by the platform. It must not be
 * longer: if only this instance could not read the list, upstreams that left meanwhile must not get new work for
 * several seconds.
 */
const RECOVERY_MILLISECONDS = 2_000;

/** Time for which the word of an upstream that it leaves is kept; none takes as long to end. */
const LEAVING_MEMORY_MILLISECONDS = 10 * 60_000;

/** The listed upstreams, found by service, identifier or address. */
export class UpstreamDirectory extends DisposableOwner {
  private readonly changed = this.register(new Emitter<void>());
  private readonly outageEnded = this.register(new Emitter<void>());
  private upstreams = new Map<string, Upstream>();
  private byService = new Map<string, readonly Upstream[]>();
  private byAddress = new Map<string, Upstream>();
  private lastReadAt: Moment | undefined;
  private completeAt = -Infinity;
  private lastList: readonly Upstream[] = [];
  private lastDigest = digestUpstreams([]);
  private removalTimer: Disposable | undefined;
  /** When upstreams said themselves that they leave, in monotonic milliseconds. */
  private readonly saidLeavingAt = new Map<string, number>();

  /** Fires when an upstream was added, removed or changed. */
  readonly onDidChange = this.changed.event;
  /** Fires when the list was read again, by any instance, after an outage. */
  readonly onDidEndOutage = this.outageEnded.event;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
  }

  override dispose(): void {
    this.removalTimer?.dispose();
    super.dispose();
  }

  /** All upstreams of a service, including those that are leaving. */
  ofService(service: string): readonly Upstream[] {
    return this.byService.get(service) ?? [];
  }

  find(id: string): Upstream | undefined {
    return this.upstreams.get(id);
  }

  findByAddress(address: string): Upstream | undefined {
    return this.byAddress.get(address);
  }

  /** Number of listed upstreams. */
  get size(): number {
    return this.upstreams.size;
  }

  /** Milliseconds since the list was last read; Infinity before the first read. */
  get age(): number {
    return this.lastReadAt === undefined
      ? Infinity
      : elapsedSince(this.clock, this.lastReadAt);
  }

  /** The list as last read, without the upstreams retained after an outage. */
  get list(): readonly Upstream[] {
    return this.lastList;
  }

  /** Digest of the list as last read, to detect differences between instances. */
  get digest(): string {
    return this.lastDigest;
  }

  /**
   * Replaces the list with one that was read at a moment, by default now. A list older than the current one is
   * ignored.
   */
  replace(list: readonly Upstream[], readAt = currentMoment(this.clock)): void {
    const lastRead = this.lastReadAt?.monotonic ?? -Infinity;
    if (readAt.monotonic < lastRead) {
      return;
    }
    const now = this.clock.monotonicMilliseconds();
    if (readAt.monotonic - lastRead > OUTAGE_GAP_MILLISECONDS) {
      this.completeAt = now + RECOVERY_MILLISECONDS;
      if (this.lastReadAt !== undefined) {
        this.outageEnded.fire();
      }
    }
    this.lastReadAt = readAt;
    this.lastList = list;
    this.lastDigest = digestUpstreams(list);
    this.apply(now);
  }

  /**
   * Records that an upstream said itself that it leaves. That counts for its run, whatever the list says: the list may be
   * old, or missing during an outage of the platform.
   */
  markLeaving(id: string): void {
    if (this.saidLeavingAt.has(id)) {
      return;
    }
    const now = this.clock.monotonicMilliseconds();
    this.removeForgotten(now);
    this.saidLeavingAt.set(id, now);
    this.logger.decision('upstreamSaidLeaving', {upstream: id});
    this.apply(now);
  }

  private removeForgotten(now: number): void {
    for (const [id, at] of this.saidLeavingAt) {
      if (now - at > LEAVING_MEMORY_MILLISECONDS) {
        this.saidLeavingAt.delete(id);
      }
    }
  }

  private apply(now: number): void {
    const next = new Map(
      this.lastList.map(upstream => [upstream.id, upstream]),
    );
    if (now < this.completeAt) {
      this.retainMissing(next);
      this.scheduleRemoval(this.completeAt - now);
    }
    for (const [id, upstream] of next) {
      if (!upstream.isLeaving && this.saidLeavingAt.has(id)) {
        next.set(id, {...upstream, isLeaving: true});
      }
    }
    if (this.logChanges(next)) {
      this.set(next);
      this.changed.fire();
    }
  }

  /** Retains missing upstreams: entries expire during an outage of the platform and reappear shortly afterwards. */
  private retainMissing(next: Map<string, Upstream>): void {
    const addresses = new Set([...next.values()].map(({address}) => address));
    for (const [id, upstream] of this.upstreams) {
      if (!next.has(id) && !addresses.has(upstream.address)) {
        next.set(id, upstream);
      }
    }
  }

  /** Schedules the removal of retained upstreams, since the next read may be a second away. */
  private scheduleRemoval(milliseconds: number): void {
    this.removalTimer?.dispose();
    this.removalTimer = this.clock.setTimer(milliseconds, () =>
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

  /** Logs each change, and returns whether there was any. */
  private logChanges(next: ReadonlyMap<string, Upstream>): boolean {
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
