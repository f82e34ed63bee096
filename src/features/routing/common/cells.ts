import {mixedHash, rendezvousWeight} from '../../../base/common/rendezvous.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';

/** Partitions the listed engines into cells. All instances compute the same cells from the same list. */

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
 * Partitions replicas into cells of about `cellSize` replicas. Each replica goes to the bucket of its
 * data centre with the highest rendezvous weight for it, so that adding a replica moves few others.
 */
export function partitionIntoCells(
  upstreams: readonly UpstreamMember[],
  cellSize: number,
): ReadonlyMap<string, Cell> {
  const cells = new Map<string, Cell>();
  for (const [dataCentre, replicas] of groupReplicasByDataCentre(upstreams)) {
    const bucketCount = Math.ceil(replicas.length / Math.max(1, cellSize));
    const buckets = bucketHashes(dataCentre, bucketCount);
    for (const replica of replicas) {
      addReplica(
        cells,
        replica,
        indexOfLargestWeight(mixedHash(replica.group), buckets),
      );
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
    mixedHash(`${dataCentre}/${bucket}`),
  );
}

function indexOfLargestWeight(
  keyHash: number,
  memberHashes: readonly number[],
): number {
  let largestIndex = 0;
  let largest = -1;
  memberHashes.forEach((memberHash, index) => {
    const weight = rendezvousWeight(keyHash, memberHash);
    if (weight > largest) {
      largest = weight;
      largestIndex = index;
    }
  });
  return largestIndex;
}

function groupReplicasByDataCentre(
  upstreams: readonly UpstreamMember[],
): Map<string, Replica[]> {
  const enginesByReplica = new Map<string, UpstreamMember[]>();
  for (const upstream of upstreams) {
    if (upstream.role === 'engine') {
      appendTo(enginesByReplica, upstream.group, upstream);
    }
  }
  const replicasByDataCentre = new Map<string, Replica[]>();
  for (const [group, engines] of enginesByReplica) {
    const majorityEngine = majorityEngineOf(engines);
    const {dataCentre, region} = majorityEngine;
    appendTo(replicasByDataCentre, dataCentre, {
      group,
      dataCentre,
      region,
      engines,
    });
  }
  return replicasByDataCentre;
}

/** An engine in the data centre with most of the replica's engines. On a tie, the data centre that sorts first wins. */
function majorityEngineOf(engines: readonly UpstreamMember[]): UpstreamMember {
  const counts = new Map<string, number>();
  for (const {dataCentre} of engines) {
    counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1);
  }
  return engines.reduce((best, engine) => {
    const difference =
      counts.get(engine.dataCentre)! - counts.get(best.dataCentre)!;
    const isBefore = engine.dataCentre < best.dataCentre;
    return difference > 0 || (difference === 0 && isBefore) ? engine : best;
  });
}

function appendTo<T>(lists: Map<string, T[]>, key: string, value: T): void {
  const list = lists.get(key);
  if (list === undefined) {
    lists.set(key, [value]);
  } else {
    list.push(value);
  }
}
