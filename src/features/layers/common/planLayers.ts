import {LayerRange, Upstream} from '../../fleet/common/upstream.js';
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
  {layers, sizes}: Pick<LayerSituation, 'layers' | 'sizes'>,
): readonly Upstream[] {
  return [...byDataCentre(upstreams).values()].flatMap(group => {
    const sound = group.filter(({id}) => !isSlow(id));
    return totalSize(sizes, sound) >= layers.layerCount ? sound : group;
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
  const completed = completeDataCentres(situation, coverage, filled);
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
 * Moves one upstream in each data centre that lacks layers and could hold them all, if fewer are lacking
 * afterwards. Paths then need not cross; the link between data centres carries only part of the load.
 */
function completeDataCentres(
  situation: LayerSituation,
  coverage: Coverage,
  filled: readonly LayerAssignment[],
): readonly LayerAssignment[] {
  const busy = new Set(filled.map(({upstream}) => upstream.id));
  const assignments: LayerAssignment[] = [];
  for (const [dataCentre, upstreams] of byDataCentre(situation.upstreams)) {
    const total = totalSize(situation.sizes, upstreams);
    const isLacking = coverage.lackingIn(dataCentre) > 0;
    if (isLacking && total >= situation.layers.layerCount) {
      const movable = upstreams.filter(
        ({id}) => !situation.ordered.has(id) && !busy.has(id),
      );
      const move = bestMove(situation, coverage, movable);
      const isQuiet = movable.length === upstreams.length;
      const shifted = isQuiet ? shiftRanges(situation, upstreams) : [];
      assignments.push(...(move.length > 0 ? move : shifted));
    }
  }
  return assignments;
}

/**
 * Ranges of a data centre's upstreams that cover the model without a gap, each as near to the present one as
 * that allows. One move can't close a gap that is smaller than what the moved upstream leaves behind; many
 * small shifts can, and only layers that are new to an upstream are loaded. They end within the time of the
 * largest shift, while a data centre with a gap serves nobody without crossing.
 */
export function shiftRanges(
  situation: LayerSituation,
  upstreams: readonly Upstream[],
): readonly LayerAssignment[] {
  const {layerCount} = situation.layers;
  const holders = upstreams
    .flatMap(upstream => {
      const {layers: held} = upstream;
      const size = sizeOf(situation, upstream);
      return held === undefined || size === 0 ? [] : [{upstream, held, size}];
    })
    .sort((left, right) => left.held.from - right.held.from);
  let rest = holders.reduce((sum, {size}) => sum + size, 0);
  if (rest < layerCount) {
    return [];
  }
  const assignments: LayerAssignment[] = [];
  let covered = 0;
  for (const {upstream, held, size} of holders) {
    rest -= size;
    // Not beyond what is covered, and not so early that the others can't cover what is left.
    const earliest = Math.max(held.from, layerCount - rest - size);
    const from = Math.min(covered, earliest, layerCount - size);
    const range = {from, to: from + size};
    covered = Math.max(covered, range.to);
    if (held.from !== range.from || held.to !== range.to) {
      assignments.push({upstream, range, reason: 'dataCentreIncomplete'});
    }
  }
  return assignments;
}

/** The move that leaves the fewest layers lacking; none where no move helps. */
function bestMove(
  situation: LayerSituation,
  coverage: Coverage,
  upstreams: readonly Upstream[],
): readonly LayerAssignment[] {
  let best: {assignment: LayerAssignment; lacking: number} | undefined;
  for (const upstream of upstreams) {
    const {dataCentre, layers: held} = upstream;
    const size = sizeOf(situation, upstream);
    if (held === undefined || size === 0) {
      continue;
    }
    const before = coverage.lackingIn(dataCentre);
    coverage.add(dataCentre, held, -1);
    for (let from = 0; from + size <= situation.layers.layerCount; from++) {
      const range = {from, to: from + size};
      const lacking =
        coverage.lackingIn(dataCentre) - coverage.lackingIn(dataCentre, range);
      if (lacking < Math.min(before, best?.lacking ?? Infinity)) {
        const reason = 'dataCentreIncomplete';
        best = {assignment: {upstream, range, reason}, lacking};
      }
    }
    coverage.add(dataCentre, held);
  }
  return best === undefined ? [] : [best.assignment];
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

function totalSize(sizes: LayerSizes, upstreams: readonly Upstream[]): number {
  return upstreams.reduce(
    (sum, upstream) => sum + sizeOf({sizes}, upstream),
    0,
  );
}

function sizeOf(
  {sizes}: Pick<LayerSituation, 'sizes'>,
  upstream: Upstream,
): number {
  return sizes.get(upstream.acceleratorKind ?? '') ?? 0;
}
