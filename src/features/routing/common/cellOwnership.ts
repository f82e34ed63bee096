import {InstanceMember} from '../../../infrastructure/membership/common/membershipList.js';
import {InstanceView} from '../../membership/common/systemView.js';
import {Cell} from './cells.js';
import {hashText, rendezvousWeight} from './rendezvous.js';

/** Which instances own a cell, by rendezvous hashing over the ready ones. */

interface HashedInstance {
  readonly member: InstanceMember;
  readonly hash: number;
}

interface RankedInstance {
  readonly member: InstanceMember;
  readonly distance: number;
  readonly weight: number;
}

/** Instances kept in the order of a cell; more are never asked. */
const RANKED_KEPT = 4;

/** Ranks the ready instances of one view for cells; results are kept for the life of the view. */
export class CellOwnership {
  private readonly instances: readonly HashedInstance[];
  private readonly ranked = new Map<string, readonly InstanceMember[]>();

  constructor(instances: readonly InstanceView[]) {
    this.instances = instances
      .filter(one => one.ready)
      .map(({member}) => ({member, hash: hashText(member.id)}));
  }

  /** The instances to ask about a cell, in order; the first is the owner. At most `limit`. */
  ownersOf(cell: Cell, limit: number): readonly InstanceMember[] {
    const known = this.ranked.get(cell.id);
    if (known !== undefined) {
      return known.slice(0, limit);
    }
    const ranked = this.rank(cell);
    this.ranked.set(cell.id, ranked);
    return ranked.slice(0, limit);
  }

  /** The first few by distance and weight, in one pass: cells times instances are many. */
  private rank(cell: Cell): readonly InstanceMember[] {
    const cellHash = hashText(cell.id);
    const first: RankedInstance[] = [];
    for (const {member, hash} of this.instances) {
      const distance = distanceTo(cell, member);
      const weight = rendezvousWeight(cellHash, hash);
      insert(first, {member, distance, weight});
    }
    return first.map(({member}) => member);
  }
}

/** Puts an instance in its place among the first few, if it belongs there. */
function insert(first: RankedInstance[], added: RankedInstance): void {
  const worse = first.findIndex(one => isBefore(added, one));
  const place = worse < 0 ? first.length : worse;
  if (place < RANKED_KEPT) {
    first.splice(place, 0, added);
    first.length = Math.min(first.length, RANKED_KEPT);
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

/** 0 in the cell's data centre, 1 in its region, 2 elsewhere. */
function distanceTo(cell: Cell, member: InstanceMember): number {
  if (member.dataCentre === cell.dataCentre) {
    return 0;
  }
  return member.region === cell.region ? 1 : 2;
}
