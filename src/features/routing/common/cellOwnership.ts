import {mixedHash, rendezvousWeight} from '../../../base/common/rendezvous.js';
import {InstanceMember} from '../../../infrastructure/membership/common/membershipList.js';
import {InstanceView} from '../../membership/common/systemView.js';
import {Cell} from './cells.js';

/** Assigns cells to the ready instances by distance, then by rendezvous hashing. */

interface HashedInstance {
  readonly member: InstanceMember;
  readonly hash: number;
}

interface RankedInstance {
  readonly member: InstanceMember;
  readonly distance: number;
  readonly weight: number;
}

/** Instances ranked for each cell; callers never ask more. */
const MAXIMUM_RANKED = 4;

/** Ranks the ready instances of one system view for each cell. Rankings are cached, as a view doesn't change. */
export class CellOwnership {
  private readonly instances: readonly HashedInstance[];
  private readonly rankedByCell = new Map<string, readonly InstanceMember[]>();

  constructor(instances: readonly InstanceView[]) {
    this.instances = instances
      .filter(instance => instance.ready)
      .map(({member}) => ({member, hash: mixedHash(member.id)}));
  }

  /** Up to `limit` instances to ask about a cell, in order of preference; the first is the owner. */
  ownersOf(cell: Cell, limit: number): readonly InstanceMember[] {
    const cached = this.rankedByCell.get(cell.id);
    if (cached !== undefined) {
      return cached.slice(0, limit);
    }
    const ranked = this.rank(cell);
    this.rankedByCell.set(cell.id, ranked);
    return ranked.slice(0, limit);
  }

  /** The best instances by distance and weight. A single pass avoids sorting all instances for every cell. */
  private rank(cell: Cell): readonly InstanceMember[] {
    const cellHash = mixedHash(cell.id);
    const best: RankedInstance[] = [];
    for (const {member, hash} of this.instances) {
      const distance = distanceTo(cell, member);
      const weight = rendezvousWeight(cellHash, hash);
      insertRanked(best, {member, distance, weight});
    }
    return best.map(({member}) => member);
  }
}

/** Inserts an instance into the sorted list `best`, which keeps `MAXIMUM_RANKED` entries. */
function insertRanked(best: RankedInstance[], added: RankedInstance): void {
  const worseIndex = best.findIndex(ranked => isBefore(added, ranked));
  const position = worseIndex < 0 ? best.length : worseIndex;
  if (position < MAXIMUM_RANKED) {
    best.splice(position, 0, added);
    best.length = Math.min(best.length, MAXIMUM_RANKED);
  }
}

function isBefore(left: RankedInstance, right: RankedInstance): boolean {
  if (left.distance !== right.distance) {
    return left.distance < right.distance;
  }
  if (left.weight !== right.weight) {
    return left.weight > right.weight;
  }
  return left.member.id < right.member.id;
}

/** 0 in the cell's data centre, 1 elsewhere in its region, 2 outside of the region. */
function distanceTo(cell: Cell, member: InstanceMember): number {
  if (member.dataCentre === cell.dataCentre) {
    return 0;
  }
  return member.region === cell.region ? 1 : 2;
}
