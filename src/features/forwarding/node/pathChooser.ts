import {LayerRange, Upstream} from '../../fleet/common/upstream.js';
import {Path, RequestSize} from '../../paths/common/path.js';
import {
  findPath,
  PathSearchResult,
  PathQuery,
} from '../../paths/common/pathSearch.js';
import {EngineSettings} from '../../traffic/common/trafficConfiguration.js';
import {ForwardingServices} from './forwardingServices.js';

/** Layer range of an engine that holds the whole model. */
const WHOLE_MODEL: LayerRange = {from: 0, to: 1};

/** Finds paths over the listed upstreams under their current load. */
export class PathChooser {
  constructor(
    private readonly services: ForwardingServices,
    private readonly service: string,
    private readonly engine: EngineSettings,
    private readonly size: RequestSize,
  ) {}

  /** Finds a path over all layers that starts at an upstream that the predicate accepts. */
  whole(canStartAt: (upstream: Upstream) => boolean): PathSearchResult {
    const {layers} = this.engine;
    const span =
      layers === undefined ? WHOLE_MODEL : {from: 0, to: layers.layerCount};
    return findPath({...this.buildQuery(span, () => true), canStartAt});
  }

  /**
   * Finds a path in which the parts on the given upstreams are replaced; the first part must not be among
   * them.
   */
  findDetour(path: Path, lost: ReadonlySet<string>): PathSearchResult {
    const firstIndex = path.findIndex(part => lost.has(part.upstream.id));
    const lastIndex = path.findLastIndex(part => lost.has(part.upstream.id));
    const previousPart = path[firstIndex - 1];
    const nextPart = path[lastIndex + 1];
    if (previousPart === undefined) {
      return {kind: 'noLayers', layer: 0};
    }
    const keptParts = [
      ...path.slice(0, firstIndex),
      ...path.slice(lastIndex + 1),
    ];
    const keptIds = new Set(keptParts.map(part => part.upstream.id));
    const span = {
      from: path[firstIndex]!.range.from,
      to: path[lastIndex]!.range.to,
    };
    const detour = findPath({
      ...this.buildQuery(
        span,
        upstream => !keptIds.has(upstream.id) && !lost.has(upstream.id),
      ),
      sourceDataCentre: previousPart.upstream.dataCentre,
      targetDataCentre: nextPart?.upstream.dataCentre,
    });
    if (detour.kind !== 'found') {
      return detour;
    }
    const joined = [
      ...path.slice(0, firstIndex),
      ...detour.path,
      ...path.slice(lastIndex + 1),
    ];
    return {...detour, path: joined};
  }

  private buildQuery(
    span: LayerRange,
    isAllowed: (upstream: Upstream) => boolean,
  ): PathQuery {
    const {directory, linkLoad, load, mechanisms, suspicions} = this.services;
    const {readingBacklog, slowness} = this.services;
    const linkMegabits = this.engine.layers?.pipeMegabits ?? 0;
    return {
      engine: this.engine,
      upstreams: directory.ofService(this.service),
      size: this.size,
      span,
      sourceDataCentre: undefined,
      targetDataCentre: undefined,
      loadOf: id => load.totalOf(id),
      slownessOf: id =>
        mechanisms.slownessInPaths ? slowness.factorOf(id) : 1,
      prefillWaitOf: id =>
        mechanisms.readingBacklog ? readingBacklog.waitOf(id) : 0,
      crossingCostFactor: mechanisms.boundedCrossings
        ? linkLoad.costFactor(linkMegabits)
        : 1,
      isCapacityLimited: mechanisms.boundedRooms,
      isUsable: upstream =>
        !upstream.isLeaving &&
        !suspicions.isSuspect(upstream.id) &&
        isAllowed(upstream),
      canStartAt: () => true,
    };
  }
}
