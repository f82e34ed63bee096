import {LayerRange, Upstream} from '../../fleet/common/upstream.js';
import {Completion, completeRanges, RangeHolder} from './completeRanges.js';
import {LayerModel} from '../../traffic/common/trafficConfiguration.js';
import {LayerSizes} from './layerSize.js';

/** Decides which layers upstreams get that hold none, and which move when a layer is held by nobody. */

/** What one upstream is to hold. */
export interface LayerAssignment {
  readonly upstream: Upstream;
  readonly range: LayerRange;
  readonly reason: 'empty' | 'layerUnheld' | 'dataCentreIncomplete';
}

/** What the plan starts from. */
export interface LayerSituation {
  readonly layers: LayerModel;
  readonly sizes: LayerSizes;
  /** Upstreams that are neither leaving nor held to be lost. */
  readonly upstreams: readonly Upstream[];
  /** Most layers that an upstream may come to hold where its data centre lacks some. */
  readonly limitOf: (upstream: Upstream) => number;
  /** Part of the wanted room for requests that a number of layers leaves an upstream, up to 1. */
  readonly roomShareOf: (upstream: Upstream, layerCount: number) => number;
  /** Whether ranges may grow and shift to close the gaps of a data centre. */
  readonly canComplete: boolean;
  /** Ranges that were ordered and are not yet reported, by upstream. */
  readonly ordered: ReadonlyMap<string, LayerRange>;
  /** Upstreams that have come just now: where no layer is lacking yet they wait for the one that they replace to leave. */
  readonly fresh: ReadonlySet<string>;
}

/**
 * Weight of the holders in all data centres beside those of the upstream's own. Paths inside one data
 * centre are preferred, so a layer that is missing there costs most.
 */
const GLOBAL_WEIGHT = 0.2;

/** Holders that a layer must keep, beside the one that moves, for its holder to be moved elsewhere. */
const HOLDERS_KEPT = 2;

/** How often each layer is held, in one data centre and in all. */
class Coverage {
  private readonly inAll: number[];
  private readonly byDataCentre = new Map<string, number[]>();

  constructor(private readonly layerCount: number) {
    this.inAll = new Array<number>(layerCount).fill(0);
  }

  add(dataCentre: string, range: LayerRange, amount = 1): void {
    const local = this.inDataCentre(dataCentre);
    for (let layer = range.from; layer < range.to; layer++) {
      local[layer]! += amount;
      this.inAll[layer]! += amount;
    }
  }

  /** What holding a range in a data centre is worth: layers with few holders count most. */
  worth(dataCentre: string, range: LayerRange): number {
    const local = this.inDataCentre(dataCentre);
    let worth = 0;
    for (let layer = range.from; layer < range.to; layer++) {
      worth += scarcity(local[layer]!);
      worth += GLOBAL_WEIGHT * scarcity(this.inAll[layer]!);
    }
    return worth;
  }

  /** Layers of a range, or of all, that nobody in a data centre holds. */
  lackingIn(
    dataCentre: string,
    range: LayerRange = {from: 0, to: this.layerCount},
  ): number {
    const local = this.inDataCentre(dataCentre);
    let lacking = 0;
    for (let layer = range.from; layer < range.to; layer++) {
      lacking += local[layer] === 0 ? 1 : 0;
    }
    return lacking;
  }

  /** The fewest holders of any layer in a range, over all data centres. */
  leastIn(range: LayerRange): number {
    return Math.min(...this.inAll.slice(range.from, range.to));
  }

  /** The layers that nobody holds. */
  get firstUnheld(): number | undefined {
    const layer = this.inAll.indexOf(0);
    return layer === -1 ? undefined : layer;
  }

  private inDataCentre(dataCentre: string): number[] {
    let local = this.byDataCentre.get(dataCentre);
    if (local === undefined) {
      local = new Array<number>(this.layerCount).fill(0);
      this.byDataCentre.set(dataCentre, local);
    }
    return local;
  }
}

/** The first holder of a layer is worth far more than the second. */
function scarcity(holders: number): number {
  return 1 / ((holders + 0.1) * (holders + 0.1));
}

/**
 * Leaves out slow upstreams, so that what they hold counts as lacking: loading it elsewhere takes a second
 * or two, slowness lasts longer. Not where the others could not hold the whole model: a slow path is better
 * than crossing for each token.
 */
export function withoutSlow(
  upstreams: readonly Upstream[],
  isSlow: (upstream: string) => boolean,
  situation: Pick<LayerSituation, 'layers' | 'limitOf'>,
): readonly Upstream[] {
  return [...byDataCentre(upstreams).values()].flatMap(group => {
    const sound = group.filter(({id}) => !isSlow(id));
    return canHoldAll(situation, sound) ? sound : group;
  });
}

/** The assignments that are missing; none when all is as it should be. */
export function planLayers(
  situation: LayerSituation,
): readonly LayerAssignment[] {
  const coverage = new Coverage(situation.layers.layerCount);
  const empty: Upstream[] = [];
  for (const upstream of situation.upstreams) {
    const range = situation.ordered.get(upstream.id) ?? upstream.layers;
    if (range === undefined) {
      empty.push(upstream);
    } else {
      coverage.add(upstream.dataCentre, range);
    }
  }
  const filled = fillEmpty(situation, coverage, empty);
  const completed = situation.canComplete
    ? completeDataCentres(situation, coverage, filled)
    : [];
  const isSettled = empty.length === 0 && completed.length === 0;
  const moved = isSettled ? coverUnheld(situation, coverage) : [];
  return [...filled, ...completed, ...moved];
}

function fillEmpty(
  situation: LayerSituation,
  coverage: Coverage,
  empty: readonly Upstream[],
): readonly LayerAssignment[] {
  const size = (upstream: Upstream) => sizeOf(situation, upstream);
  // Large ones first: the small ones then fit into what is left.
  const ordered = [...empty].sort(
    (left, right) => size(right) - size(left) || (left.id < right.id ? -1 : 1),
  );
  const assignments: LayerAssignment[] = [];
  for (const upstream of ordered) {
    const {dataCentre, id} = upstream;
    if (situation.fresh.has(id) && coverage.lackingIn(dataCentre) === 0) {
      continue;
    }
    const range = bestRange(situation, coverage, upstream);
    if (range !== undefined) {
      coverage.add(upstream.dataCentre, range);
      assignments.push({upstream, range, reason: 'empty'});
    }
  }
  return assignments;
}

/**
 * Closes the gaps of each data centre whose upstreams can hold the whole model. Paths then need not cross. Layers
 * are given up in one data centre at a time: what is cut off there needs the room of the others.
 */
function completeDataCentres(
  situation: LayerSituation,
  coverage: Coverage,
  filled: readonly LayerAssignment[],
): readonly LayerAssignment[] {
  const completions: Completion[] = [];
  for (const [dataCentre, upstreams] of byDataCentre(situation.upstreams)) {
    if (coverage.lackingIn(dataCentre) > 0) {
      const holders = holdersOf(situation, upstreams, filled);
      const found = completeRanges(situation.layers.layerCount, holders);
      completions.push(...(found === undefined ? [] : [found]));
    }
  }
  const growing = completions.filter(({givenUp}) => givenUp === 0);
  const [shifting] = completions
    .filter(({givenUp}) => givenUp > 0)
    .sort((left, right) => left.cost - right.cost);
  const isQuiet = growing.length === 0 && situation.ordered.size === 0;
  const chosen =
    shifting !== undefined && isQuiet ? [...growing, shifting] : growing;
  const reason = 'dataCentreIncomplete';
  return chosen
    .flatMap(({changes}) => changes)
    .map(change => ({...change, reason}));
}

function holdersOf(
  {limitOf, ordered, roomShareOf}: LayerSituation,
  upstreams: readonly Upstream[],
  filled: readonly LayerAssignment[],
): readonly RangeHolder[] {
  const given = new Map(
    filled.map(({upstream, range}) => [upstream.id, range]),
  );
  return upstreams.flatMap(upstream => {
    const underWay = ordered.get(upstream.id) ?? given.get(upstream.id);
    const held = underWay ?? upstream.layers;
    const isFixed = underWay !== undefined;
    return held === undefined
      ? []
      : [
          {
            upstream,
            held,
            limit: limitOf(upstream),
            roomShareOf: count => roomShareOf(upstream, count),
            isFixed,
          },
        ];
  });
}

/** Whether upstreams of a data centre hold the whole model, or can come to hold it. */
function canHoldAll(
  situation: Pick<LayerSituation, 'layers' | 'limitOf'>,
  upstreams: readonly Upstream[],
): boolean {
  const total = upstreams.reduce(
    (sum, upstream) => sum + situation.limitOf(upstream),
    0,
  );
  return total >= situation.layers.layerCount;
}

function byDataCentre(
  upstreams: readonly Upstream[],
): ReadonlyMap<string, readonly Upstream[]> {
  const groups = new Map<string, Upstream[]>();
  for (const upstream of upstreams) {
    const group = groups.get(upstream.dataCentre) ?? [];
    groups.set(upstream.dataCentre, [...group, upstream]);
  }
  return groups;
}

/** Moves the upstream whose layers are held best to the layers that nobody holds. */
function coverUnheld(
  situation: LayerSituation,
  coverage: Coverage,
): readonly LayerAssignment[] {
  const layer = coverage.firstUnheld;
  if (layer === undefined) {
    return [];
  }
  let best: {upstream: Upstream; spare: number} | undefined;
  for (const upstream of situation.upstreams) {
    if (upstream.layers === undefined || situation.ordered.has(upstream.id)) {
      continue;
    }
    const spare = coverage.leastIn(upstream.layers);
    if (spare > HOLDERS_KEPT && spare > (best?.spare ?? 0)) {
      best = {upstream, spare};
    }
  }
  if (best === undefined) {
    return [];
  }
  const {upstream} = best;
  const size = sizeOf(situation, upstream);
  const from = Math.min(layer, situation.layers.layerCount - size);
  const range = {from, to: from + size};
  return [{upstream, range, reason: 'layerUnheld'}];
}

function bestRange(
  situation: LayerSituation,
  coverage: Coverage,
  upstream: Upstream,
): LayerRange | undefined {
  const size = sizeOf(situation, upstream);
  let best: {range: LayerRange; worth: number} | undefined;
  for (let from = 0; from + size <= situation.layers.layerCount; from++) {
    const range = {from, to: from + size};
    const worth = coverage.worth(upstream.dataCentre, range);
    if (size > 0 && worth > (best?.worth ?? 0)) {
      best = {range, worth};
    }
  }
  return best?.range;
}

function sizeOf(
  {sizes}: Pick<LayerSituation, 'sizes'>,
  upstream: Upstream,
): number {
  return sizes.get(upstream.acceleratorKind ?? '') ?? 0;
}
