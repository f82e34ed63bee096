import {
  isWithinModel,
  LayerRange,
  Upstream,
} from '../../fleet/common/upstream.js';
import {RequestLoad} from '../../fleet/common/upstreamLoadTracker.js';
import {EngineSettings} from '../../traffic/common/trafficConfiguration.js';
import {Path, PathPart, RequestSize} from './path.js';
import {
  weightedCrossingMilliseconds,
  predictPartMilliseconds,
  memoryPressureWith,
  prefillWaitCost,
} from './pathCost.js';

/** Finds the path with the least cost over all layers: predicted time, load, KV-cache capacity and crossings. */

/** Maximum number of parts in a path that engines accept. */
const MAX_PATH_PARTS = 32;

/** Input of a path search. */
export interface PathQuery {
  readonly engine: EngineSettings;
  readonly upstreams: readonly Upstream[];
  readonly size: RequestSize;
  /** The layers to cover. */
  readonly span: LayerRange;
  /** Data centre that the tokens come from; undefined at the start of a path. */
  readonly sourceDataCentre: string | undefined;
  /** Data centre that the tokens go to; undefined at the end of a path. */
  readonly targetDataCentre: string | undefined;
  readonly loadOf: (upstream: string) => RequestLoad;
  /** Factor by which an upstream is slower than its kind; 1 for a healthy one. */
  readonly slownessOf: (upstream: string) => number;
  /** Milliseconds that a prompt waits at an upstream for the prefill of others. */
  readonly prefillWaitOf: (upstream: string) => number;
  /** Factor on the cost of crossings between data centres; Infinity if none is permitted. */
  readonly crossingCostFactor: number;
  /** Whether upstreams without KV-cache capacity for the request are excluded. */
  readonly isCapacityLimited: boolean;
  /** Whether an upstream may be used at all. */
  readonly isUsable: (upstream: Upstream) => boolean;
  /** Whether a path may start at an upstream; it receives the request, the others only a part of its work. */
  readonly canStartAt: (upstream: Upstream) => boolean;
}

/** The outcome of a search. */
export type PathSearchResult =
  | {
      readonly kind: 'found';
      readonly path: Path;
      readonly predictedCost: number;
    }
  /** Each layer has a usable holder, but KV-cache or link capacity for the request is missing. */
  | {readonly kind: 'noRoom'}
  /** No usable upstream holds this layer. */
  | {readonly kind: 'noLayers'; readonly layer: number};

/** A node of the search graph: a layer boundary reached in a data centre. */
interface SearchNode {
  readonly layer: number;
  readonly dataCentre: string | undefined;
  readonly cost: number;
  /** Index of the last used candidate; -1 at the start. */
  readonly lastIndex: number;
  readonly part: PathPart | undefined;
  readonly before: SearchNode | undefined;
}

/** A usable upstream with its state, read once per search. */
interface Candidate {
  readonly upstream: Upstream;
  readonly range: LayerRange;
  readonly load: RequestLoad;
  readonly slowness: number;
  readonly prefillWaitMilliseconds: number;
}

/**
 * Finds the path with the least cost among those that have capacity for the request. If it can start at no upstream that
 * has a slot left, it starts where it has to wait for one.
 */
export function findPath(query: PathQuery): PathSearchResult {
  const usable = candidatesOf(query);
  const found =
    searchPath(limitToFreeSlots(query, usable), usable) ??
    searchPath(query, usable);
  if (found !== undefined) {
    return found;
  }
  const layer = findUnheldLayer(query.span, usable);
  return layer === undefined ? {kind: 'noRoom'} : {kind: 'noLayers', layer};
}

function limitToFreeSlots(
  query: PathQuery,
  candidates: readonly Candidate[],
): PathQuery {
  // A path that continues another one is received by none of its upstreams.
  const isContinued = query.sourceDataCentre !== undefined;
  if (isContinued || !query.isCapacityLimited) {
    return query;
  }
  const full = new Set(
    candidates
      .filter(({upstream, load}) => load.starts >= upstream.slots)
      .map(({upstream}) => upstream.id),
  );
  return {
    ...query,
    canStartAt: upstream =>
      !full.has(upstream.id) && query.canStartAt(upstream),
  };
}

function candidatesOf(query: PathQuery): readonly Candidate[] {
  const {engine, span} = query;
  const candidates: Candidate[] = [];
  for (const upstream of query.upstreams) {
    const range = engine.layers === undefined ? span : upstream.layers;
    if (range === undefined || !query.isUsable(upstream)) {
      continue;
    }
    const layerCount = engine.layers?.layerCount ?? Infinity;
    if (!isWithinModel(upstream, layerCount)) {
      continue;
    }
    if (range.to <= span.from || range.from >= span.to) {
      continue;
    }
    const load = query.loadOf(upstream.id);
    const slowness = query.slownessOf(upstream.id);
    const prefillWaitMilliseconds = query.prefillWaitOf(upstream.id);
    candidates.push({upstream, range, load, slowness, prefillWaitMilliseconds});
  }
  return candidates.sort(compareByFirstLayer);
}

function compareByFirstLayer(left: Candidate, right: Candidate): number {
  const starts = left.range.from - right.range.from;
  return starts !== 0 ? starts : left.upstream.id < right.upstream.id ? -1 : 1;
}

function findUnheldLayer(
  span: LayerRange,
  candidates: readonly Candidate[],
): number | undefined {
  for (let layer = span.from; layer < span.to; layer++) {
    const isHeld = candidates.some(
      ({range}) => range.from <= layer && layer < range.to,
    );
    if (!isHeld) {
      return layer;
    }
  }
  return undefined;
}

function searchPath(
  query: PathQuery,
  candidates: readonly Candidate[],
): PathSearchResult | undefined {
  const handOverLayers = handOverLayersOf(query.span, candidates);
  const end = findBestEnd(query, candidates, handOverLayers);
  if (end !== undefined && isWithinPartLimit(end)) {
    return toFoundPath(end);
  }
  // Paths have fewer parts if each upstream runs up to the end of its range.
  const plain = findBestEnd(query, candidates, new Set([query.span.to]));
  return plain !== undefined && isWithinPartLimit(plain)
    ? toFoundPath(plain)
    : undefined;
}

function handOverLayersOf(
  span: LayerRange,
  candidates: readonly Candidate[],
): ReadonlySet<number> {
  const starts = candidates.map(({range}) => range.from);
  const inside = starts.filter(layer => layer > span.from && layer < span.to);
  return new Set([...inside, span.to]);
}

/** Expands nodes in the order of their layers, so that the cost of each is final before it is expanded. */
function findBestEnd(
  query: PathQuery,
  candidates: readonly Candidate[],
  handOverLayers: ReadonlySet<number>,
): SearchNode | undefined {
  const {span} = query;
  const nodes = new Map<number, Map<string, SearchNode>>();
  keepIfCheaper(nodes, {
    layer: span.from,
    dataCentre: query.sourceDataCentre,
    cost: 0,
    lastIndex: -1,
    part: undefined,
    before: undefined,
  });
  for (let layer = span.from; layer < span.to; layer++) {
    for (const node of nodes.get(layer)?.values() ?? []) {
      expandNode(query, candidates, handOverLayers, node, nodes);
    }
  }
  return cheapestEnd(query, nodes.get(span.to));
}

function expandNode(
  query: PathQuery,
  candidates: readonly Candidate[],
  handOverLayers: ReadonlySet<number>,
  node: SearchNode,
  nodes: Map<number, Map<string, SearchNode>>,
): void {
  // Upstreams are used in the order of their first layers, so that none occurs twice, since engines refuse such
  // paths. No layer becomes unreachable: an upstream that starts earlier and ends later can run the previous part, too.
  for (let index = node.lastIndex + 1; index < candidates.length; index++) {
    const {range, upstream} = candidates[index]!;
    const last = Math.min(range.to, query.span.to);
    if (range.from > node.layer) {
      return;
    }
    if (node.lastIndex < 0 && !query.canStartAt(upstream)) {
      continue;
    }
    for (let to = node.layer + 1; to <= last; to++) {
      if (to === last || handOverLayers.has(to)) {
        const next = nextNode(query, candidates, index, node, to);
        if (Number.isFinite(next.cost)) {
          keepIfCheaper(nodes, next);
        }
      }
    }
  }
}

function nextNode(
  query: PathQuery,
  candidates: readonly Candidate[],
  index: number,
  node: SearchNode,
  to: number,
): SearchNode {
  const {engine, size} = query;
  const {upstream, load, slowness, prefillWaitMilliseconds} =
    candidates[index]!;
  const count = to - node.layer;
  const pressure = memoryPressureWith(engine, upstream, load, size, count);
  const {dataCentre} = upstream;
  const time = predictPartMilliseconds(
    engine,
    upstream,
    count,
    size,
    pressure,
    slowness,
  );
  const wait = prefillWaitCost(engine, count, prefillWaitMilliseconds);
  const from = node.dataCentre ?? dataCentre;
  const crossing = crossingCost(query, from, dataCentre);
  return {
    layer: to,
    dataCentre,
    cost:
      query.isCapacityLimited && pressure > 1
        ? Infinity
        : node.cost + time + wait + crossing,
    lastIndex: index,
    part: {upstream, range: {from: node.layer, to}},
    before: node,
  };
}

/** Cost of a crossing; Infinity if crossings are not permitted. */
function crossingCost(
  {crossingCostFactor, engine, size}: PathQuery,
  from: string,
  to: string,
): number {
  return from === to
    ? 0
    : weightedCrossingMilliseconds(engine, from, to, size) * crossingCostFactor;
}

function keepIfCheaper(
  nodes: Map<number, Map<string, SearchNode>>,
  node: SearchNode,
): void {
  const nodesAtLayer = nodes.get(node.layer) ?? new Map<string, SearchNode>();
  const dataCentre = node.dataCentre ?? '';
  const known = nodesAtLayer.get(dataCentre);
  if (known === undefined || node.cost < known.cost) {
    nodesAtLayer.set(dataCentre, node);
  }
  nodes.set(node.layer, nodesAtLayer);
}

function cheapestEnd(
  query: PathQuery,
  ends: ReadonlyMap<string, SearchNode> | undefined,
): SearchNode | undefined {
  const {targetDataCentre} = query;
  let best: SearchNode | undefined;
  for (const node of ends?.values() ?? []) {
    const from = node.dataCentre ?? '';
    const crossing = crossingCost(query, from, targetDataCentre ?? from);
    const cost = node.cost + crossing;
    if (!Number.isFinite(cost)) {
      continue;
    }
    if (best === undefined || cost < best.cost) {
      best = {...node, cost};
    }
  }
  return best;
}

function isWithinPartLimit(end: SearchNode): boolean {
  return pathTo(end).length <= MAX_PATH_PARTS;
}

function toFoundPath(end: SearchNode): PathSearchResult {
  return {kind: 'found', path: pathTo(end), predictedCost: end.cost};
}

function pathTo(end: SearchNode): Path {
  const parts: PathPart[] = [];
  let node: SearchNode | undefined = end;
  while (node !== undefined) {
    if (node.part !== undefined) {
      parts.push(node.part);
    }
    node = node.before;
  }
  return parts.reverse();
}
