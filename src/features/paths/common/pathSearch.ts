import {LayerRange, Upstream} from '../../fleet/common/upstream.js';
import {LoadFigure} from '../../fleet/common/upstreamLoad.js';
import {EngineSettings} from '../../traffic/common/trafficConfiguration.js';
import {Path, PathPart, WorkSize} from './path.js';
import {
  crossingMilliseconds,
  partMilliseconds,
  pressureWith,
  readingWaitCost,
} from './pathCost.js';

/** Chooses a path: a shortest path over layers, by predicted time, load, room and crossings. */

/** The most parts that engines take in one path. */
const PART_LIMIT = 32;

/** What a search may use and must connect. */
export interface PathQuestion {
  readonly engine: EngineSettings;
  readonly upstreams: readonly Upstream[];
  readonly size: WorkSize;
  /** The layers to cover. */
  readonly span: LayerRange;
  /** Where the tokens come from; undefined at the start of a path. */
  readonly enteringFrom: string | undefined;
  /** Where the tokens go to; undefined at the end of a path. */
  readonly leavingTo: string | undefined;
  readonly loadOf: (upstream: string) => LoadFigure;
  /** Factor by which an upstream is slower than its kind; 1 for a sound one. */
  readonly slownessOf: (upstream: string) => number;
  /** Milliseconds that a prompt waits at an upstream behind others. */
  readonly readingWaitOf: (upstream: string) => number;
  /** Factor on the cost of crossings; Infinity when there may be none. */
  readonly crossingFactor: number;
  /** Whether upstreams without room for the request are left out. */
  readonly isRoomBounded: boolean;
  /** Whether an upstream may be used at all. */
  readonly isUsable: (upstream: Upstream) => boolean;
}

/** The outcome of a search. */
export type PathAnswer =
  | {readonly kind: 'found'; readonly path: Path; readonly predicted: number}
  /** All layers are held, but not with room for the request. */
  | {readonly kind: 'noRoom'}
  /** Some layer is held by no usable upstream. */
  | {readonly kind: 'noLayers'; readonly layer: number};

/** A place in the search: a layer boundary reached in a data centre. */
interface Place {
  readonly layer: number;
  readonly dataCentre: string | undefined;
  readonly cost: number;
  /** The last upstream among the candidates; -1 at the start. */
  readonly lastIndex: number;
  readonly part: PathPart | undefined;
  readonly before: Place | undefined;
}

/** An upstream with what does not change during a search. */
interface Candidate {
  readonly upstream: Upstream;
  readonly range: LayerRange;
  readonly load: LoadFigure;
  readonly slowness: number;
  readonly readingWait: number;
}

/** Finds the path with the least predicted time that has room. */
export function findPath(question: PathQuestion): PathAnswer {
  const usable = candidatesOf(question);
  const found = search(question, usable);
  if (found !== undefined) {
    return found;
  }
  const layer = firstMissingLayer(question.span, usable);
  return layer === undefined ? {kind: 'noRoom'} : {kind: 'noLayers', layer};
}

function candidatesOf(question: PathQuestion): readonly Candidate[] {
  const {engine, span} = question;
  const candidates: Candidate[] = [];
  for (const upstream of question.upstreams) {
    const range = engine.layers === undefined ? span : upstream.layers;
    if (range === undefined || !question.isUsable(upstream)) {
      continue;
    }
    if (range.to <= span.from || range.from >= span.to) {
      continue;
    }
    const load = question.loadOf(upstream.id);
    const slowness = question.slownessOf(upstream.id);
    const readingWait = question.readingWaitOf(upstream.id);
    candidates.push({upstream, range, load, slowness, readingWait});
  }
  return candidates.sort(byStart);
}

function byStart(left: Candidate, right: Candidate): number {
  const starts = left.range.from - right.range.from;
  return starts !== 0 ? starts : left.upstream.id < right.upstream.id ? -1 : 1;
}

function firstMissingLayer(
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

function search(
  question: PathQuestion,
  candidates: readonly Candidate[],
): PathAnswer | undefined {
  const boundaries = boundariesOf(question.span, candidates);
  const end = bestEnd(question, candidates, boundaries);
  if (end !== undefined && isShort(end)) {
    return found(end);
  }
  // With hand-overs only at the end of each range there are fewer parts.
  const plain = bestEnd(question, candidates, new Set([question.span.to]));
  return plain !== undefined && isShort(plain) ? found(plain) : undefined;
}

function boundariesOf(
  span: LayerRange,
  candidates: readonly Candidate[],
): ReadonlySet<number> {
  const starts = candidates.map(({range}) => range.from);
  const inside = starts.filter(layer => layer > span.from && layer < span.to);
  return new Set([...inside, span.to]);
}

/** Works forwards over the layers; every place is settled before the places behind it. */
function bestEnd(
  question: PathQuestion,
  candidates: readonly Candidate[],
  boundaries: ReadonlySet<number>,
): Place | undefined {
  const {span} = question;
  const places = new Map<number, Map<string, Place>>();
  keep(places, {
    layer: span.from,
    dataCentre: question.enteringFrom,
    cost: 0,
    lastIndex: -1,
    part: undefined,
    before: undefined,
  });
  for (let layer = span.from; layer < span.to; layer++) {
    for (const place of places.get(layer)?.values() ?? []) {
      extend(question, candidates, boundaries, place, places);
    }
  }
  return cheapest(question, places.get(span.to));
}

function extend(
  question: PathQuestion,
  candidates: readonly Candidate[],
  boundaries: ReadonlySet<number>,
  place: Place,
  places: Map<number, Map<string, Place>>,
): void {
  // Upstreams follow each other in the order of their first layers, so that none comes twice: engines refuse such
  // paths. No way is lost by it: one that starts earlier and reaches farther could have run the part before, too.
  for (let index = place.lastIndex + 1; index < candidates.length; index++) {
    const {range} = candidates[index]!;
    const last = Math.min(range.to, question.span.to);
    if (range.from > place.layer) {
      return;
    }
    for (let to = place.layer + 1; to <= last; to++) {
      if (to === last || boundaries.has(to)) {
        const next = step(question, candidates, index, place, to);
        if (Number.isFinite(next.cost)) {
          keep(places, next);
        }
      }
    }
  }
}

function step(
  question: PathQuestion,
  candidates: readonly Candidate[],
  index: number,
  place: Place,
  to: number,
): Place {
  const {engine, size} = question;
  const {upstream, load, slowness, readingWait} = candidates[index]!;
  const count = to - place.layer;
  const pressure = pressureWith(engine, upstream, load, size, count);
  const {dataCentre} = upstream;
  const time = partMilliseconds(
    engine,
    upstream,
    count,
    size,
    pressure,
    slowness,
  );
  const wait = readingWaitCost(engine, count, readingWait);
  const from = place.dataCentre ?? dataCentre;
  const crossing = crossingCost(question, from, dataCentre);
  return {
    layer: to,
    dataCentre,
    cost:
      question.isRoomBounded && pressure > 1
        ? Infinity
        : place.cost + time + wait + crossing,
    lastIndex: index,
    part: {upstream, range: {from: place.layer, to}},
    before: place,
  };
}

/** A crossing that may not be made costs infinitely much. */
function crossingCost(
  {crossingFactor, engine, size}: PathQuestion,
  from: string,
  to: string,
): number {
  return from === to
    ? 0
    : crossingMilliseconds(engine, from, to, size) * crossingFactor;
}

function keep(places: Map<number, Map<string, Place>>, place: Place): void {
  const here = places.get(place.layer) ?? new Map<string, Place>();
  const name = place.dataCentre ?? '';
  const known = here.get(name);
  if (known === undefined || place.cost < known.cost) {
    here.set(name, place);
  }
  places.set(place.layer, here);
}

function cheapest(
  question: PathQuestion,
  ends: ReadonlyMap<string, Place> | undefined,
): Place | undefined {
  const {leavingTo} = question;
  let best: Place | undefined;
  for (const place of ends?.values() ?? []) {
    const from = place.dataCentre ?? '';
    const crossing = crossingCost(question, from, leavingTo ?? from);
    const cost = place.cost + crossing;
    if (!Number.isFinite(cost)) {
      continue;
    }
    if (best === undefined || cost < best.cost) {
      best = {...place, cost};
    }
  }
  return best;
}

function isShort(end: Place): boolean {
  return partsOf(end).length <= PART_LIMIT;
}

function found(end: Place): PathAnswer {
  return {kind: 'found', path: partsOf(end), predicted: end.cost};
}

function partsOf(end: Place): Path {
  const parts: PathPart[] = [];
  let place: Place | undefined = end;
  while (place !== undefined) {
    if (place.part !== undefined) {
      parts.push(place.part);
    }
    place = place.before;
  }
  return parts.reverse();
}
