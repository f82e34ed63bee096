import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {hashText, rendezvousWeight} from './rendezvous.js';

/** Divides the engines of the platform's list into cells; every instance comes to the same result from the same list. */

/** A bounded group of replicas of one data centre. */
export interface Cell {
  readonly id: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly engines: readonly UpstreamMember[];
}

interface Replica {
  readonly group: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly engines: readonly UpstreamMember[];
}

/**
 * Divides replicas into cells of about `cellSize`: each replica goes to the bucket of its data
 * centre that weighs most for it, so that a new replica moves few others.
 */
export function divideIntoCells(
  upstreams: readonly UpstreamMember[],
  cellSize: number,
): ReadonlyMap<string, Cell> {
  const cells = new Map<string, Cell>();
  for (const [dataCentre, replicas] of byDataCentre(upstreams)) {
    const bucketCount = Math.ceil(replicas.length / Math.max(1, cellSize));
    const buckets = bucketHashes(dataCentre, bucketCount);
    for (const replica of replicas) {
      addReplica(cells, replica, heaviest(hashText(replica.group), buckets));
    }
  }
  return cells;
}

function addReplica(
  cells: Map<string, Cell>,
  replica: Replica,
  bucket: number,
): void {
  const {dataCentre, region} = replica;
  const id = `${dataCentre}/${bucket}`;
  const engines = [...(cells.get(id)?.engines ?? []), ...replica.engines];
  cells.set(id, {id, dataCentre, region, engines});
}

function bucketHashes(dataCentre: string, count: number): number[] {
  return Array.from({length: count}, (_, bucket) =>
    hashText(`${dataCentre}/${bucket}`),
  );
}

function heaviest(keyHash: number, memberHashes: readonly number[]): number {
  let found = 0;
  let largest = -1;
  memberHashes.forEach((memberHash, index) => {
    const weight = rendezvousWeight(keyHash, memberHash);
    if (weight > largest) {
      largest = weight;
      found = index;
    }
  });
  return found;
}

function byDataCentre(
  upstreams: readonly UpstreamMember[],
): Map<string, Replica[]> {
  const groups = new Map<string, UpstreamMember[]>();
  for (const upstream of upstreams) {
    if (upstream.role === 'engine') {
      pushTo(groups, upstream.group, upstream);
    }
  }
  const found = new Map<string, Replica[]>();
  for (const [group, engines] of groups) {
    const home = homeOf(engines);
    const {dataCentre, region} = home;
    pushTo(found, dataCentre, {group, dataCentre, region, engines});
  }
  return found;
}

/** An engine in the data centre that holds most of a replica; the first by name among equals. */
function homeOf(engines: readonly UpstreamMember[]): UpstreamMember {
  const counts = new Map<string, number>();
  for (const {dataCentre} of engines) {
    counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1);
  }
  return engines.reduce((best, engine) => {
    const more = counts.get(engine.dataCentre)! - counts.get(best.dataCentre)!;
    const isBefore = engine.dataCentre < best.dataCentre;
    return more > 0 || (more === 0 && isBefore) ? engine : best;
  });
}

function pushTo<T>(lists: Map<string, T[]>, key: string, value: T): void {
  const list = lists.get(key);
  if (list === undefined) {
    lists.set(key, [value]);
  } else {
    list.push(value);
  }
}
