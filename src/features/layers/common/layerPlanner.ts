import {Clock} from '../../../base/common/clock.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {SlownessTracker} from '../../fleet/common/slownessTracker.js';
import {SuspicionTracker} from '../../fleet/common/suspicionTracker.js';
import {
  isWithinModel,
  LayerRange,
  Upstream,
} from '../../fleet/common/upstream.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {Mechanisms} from '../../mechanisms/common/mechanisms.js';
import {ArrivalTracker} from './arrivalTracker.js';
import {
  capacityShareOf,
  LayeredService,
  takeOverLayerLimit,
} from './layeredService.js';
import {excludeSlow, LayerAssignment, planLayers} from './planLayers.js';
import {
  AcceleratorCounts,
  chooseRangeSizes,
  maxRangeSizes,
  RangeSizes,
} from './rangeSizes.js';

/**
 * Time after which a suspected upstream is replaced. Within it, a late response to the probe that raised the suspicion
 * (up to 250 ms) can still clear it. A needless replacement costs the load of some layers; each 100 ms of delay costs
 * the requests that the data centre could have served.
 */
const REPLACEMENT_DELAY_MILLISECONDS = 300;

/**
 * An upstream that is added while no layer is missing often replaces one that announces its shutdown a moment
 * later. It gets no layers for this long, so that it can take over exactly those of the leaving upstream.
 */
const NEW_UPSTREAM_DELAY_MILLISECONDS = 4_000;

/** Plans which layers the upstreams of services load; keeps what the next plans depend on. */
export class LayerPlanner {
  private readonly arrivals = new ArrivalTracker();
  /** Range sizes of the first plan, by service. */
  private readonly firstSizes = new Map<string, RangeSizes>();
  /** Monotonic milliseconds at which each upstream was first listed. */
  private readonly firstSeenAt = new Map<string, number>();
  /** Listed upstreams that were logged as not part of their model. */
  private readonly beyondModel = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly directory: UpstreamDirectory,
    private readonly suspicions: SuspicionTracker,
    private readonly slowness: SlownessTracker,
    private readonly mechanisms: Mechanisms,
  ) {}

  /** The services whose upstreams have all been added, so that they can be planned. */
  findSettled(services: readonly LayeredService[]): readonly LayeredService[] {
    const now = this.clock.monotonicMilliseconds();
    return services.filter(({name}) =>
      this.arrivals.haveSettled(name, this.directory.ofService(name), now),
    );
  }

  /**
   * Assigns layers to the upstreams of a service.
   * @param orderedRanges ranges that were ordered but not yet reported, by upstream
   */
  plan(
    service: LayeredService,
    orderedRanges: ReadonlyMap<string, LayerRange>,
  ): readonly LayerAssignment[] {
    const upstreams = this.findUsable(service);
    const sizes = this.sizesOf(service, upstreams);
    const recentlyAdded = this.findRecentlyAdded(upstreams);
    const {layers} = service;
    const limitOf = (upstream: Upstream): number =>
      takeOverLayerLimit(service, upstream);
    const {completedRanges, replacedWhenSlow} = this.mechanisms;
    const healthy = excludeSlow(
      upstreams,
      id => replacedWhenSlow && this.slowness.isSlow(id),
      {layers, limitOf},
    );
    return planLayers({
      layers,
      sizes,
      limitOf,
      capacityShareOf: (upstream, count) =>
        capacityShareOf(service, upstream, count),
      canCloseGaps: completedRanges,
      upstreams: healthy,
      orderedRanges,
      recentlyAdded,
    });
  }

  /** Forgets upstreams that are no longer listed. */
  removeUnlisted(): void {
    for (const id of this.firstSeenAt.keys()) {
      if (this.directory.find(id) === undefined) {
        this.firstSeenAt.delete(id);
      }
    }
    for (const id of this.beyondModel) {
      if (this.directory.find(id) === undefined) {
        this.beyondModel.delete(id);
      }
    }
  }

  /** Upstreams of a service that are neither leaving nor considered lost, and hold no layers of another model. */
  private findUsable({
    name,
    layers: {layerCount},
  }: LayeredService): readonly Upstream[] {
    return this.directory
      .ofService(name)
      .filter(
        upstream =>
          !upstream.isLeaving &&
          !this.suspicions.isSilentFor(
            upstream.id,
            REPLACEMENT_DELAY_MILLISECONDS,
          ) &&
          this.isWithinModel(upstream, layerCount),
      );
  }

  private isWithinModel(upstream: Upstream, layerCount: number): boolean {
    const {id, layers} = upstream;
    const isWithin = isWithinModel(upstream, layerCount);
    if (!isWithin && !this.beyondModel.has(id)) {
      this.beyondModel.add(id);
      this.logger.decision('layersBeyondModel', {
        upstream: id,
        layers,
        layerCount,
      });
    }
    return isWithin;
  }

  /**
   * Range sizes do not shrink. During a replacement there are temporarily more upstreams, and with smaller
   * ranges a new upstream could not take over all layers of the old one.
   */
  private sizesOf(
    service: LayeredService,
    upstreams: readonly Upstream[],
  ): RangeSizes {
    const {engine, layers, name} = service;
    const chosen = chooseRangeSizes(
      engine,
      layers,
      countKinds(upstreams),
      this.mechanisms.secondHolders,
    );
    const first = this.firstSizes.get(name) ?? chosen;
    this.firstSizes.set(name, first);
    return maxRangeSizes(first, chosen);
  }

  /** Upstreams that were first listed less than `NEW_UPSTREAM_DELAY_MILLISECONDS` ago. */
  private findRecentlyAdded(
    upstreams: readonly Upstream[],
  ): ReadonlySet<string> {
    const now = this.clock.monotonicMilliseconds();
    const recentlyAdded = new Set<string>();
    for (const {id} of upstreams) {
      const firstSeenAt = this.firstSeenAt.get(id) ?? now;
      this.firstSeenAt.set(id, firstSeenAt);
      if (now - firstSeenAt < NEW_UPSTREAM_DELAY_MILLISECONDS) {
        recentlyAdded.add(id);
      }
    }
    return recentlyAdded;
  }
}

function countKinds(upstreams: readonly Upstream[]): AcceleratorCounts {
  const counts = new Map<string, Map<string, number>>();
  for (const {acceleratorKind = '', dataCentre} of upstreams) {
    const kinds = counts.get(dataCentre) ?? new Map<string, number>();
    kinds.set(acceleratorKind, (kinds.get(acceleratorKind) ?? 0) + 1);
    counts.set(dataCentre, kinds);
  }
  return counts;
}
