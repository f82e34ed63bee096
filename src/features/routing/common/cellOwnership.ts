import {InstanceMember} from '../../../platform/membership/common/membershipList.js';
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

  private rank(cell: Cell): readonly InstanceMember[] {
    const cellHash = hashText(cell.id);
    const ranked: RankedInstance[] = this.instances.map(({member, hash}) => ({
      member,
      distance: distanceTo(cell, member),
      weight: rendezvousWeight(cellHash, hash),
    }));
    ranked.sort(
      (a, b) =>
        a.distance - b.distance ||
        b.weight - a.weight ||
        (a.member.id < b.member.id ? -1 : 1),
    );
    return ranked.slice(0, RANKED_KEPT).map(({member}) => member);
  }
}

/** Instances kept in the order of a cell; more are never asked. */
const RANKED_KEPT = 4;

/** 0 in the cell's data centre, 1 in its region, 2 elsewhere. */
function distanceTo(cell: Cell, member: InstanceMember): number {
  if (member.dataCentre === cell.dataCentre) {
    return 0;
  }
  return member.region === cell.region ? 1 : 2;
}
