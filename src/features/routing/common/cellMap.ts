import {InstanceMember} from '../../../infrastructure/membership/common/membershipList.js';
import {SystemView} from '../../membership/common/systemView.js';
import {CellOwnership} from './cellOwnership.js';
import {Cell, partitionIntoCells} from './cells.js';

/** The cells of one system view and their owners. */
export class CellMap {
  /** A map without cells, used until the first view arrives. */
  static readonly empty = new CellMap(new Map(), new CellOwnership([]));

  private constructor(
    private readonly cells: ReadonlyMap<string, Cell>,
    private readonly ownership: CellOwnership,
  ) {}

  /** Partitions a view's engines into cells. Owners are ranked when a cell is first looked up. */
  static of(view: SystemView, cellSize: number): CellMap {
    const cells = partitionIntoCells(view.upstreams, cellSize);
    return new CellMap(cells, new CellOwnership(view.instances));
  }

  get(id: string): Cell | undefined {
    return this.cells.get(id);
  }

  get all(): readonly Cell[] {
    return [...this.cells.values()];
  }

  /** Up to `limit` instances to ask about a cell, in order of preference; the first is the owner. */
  ownersOf(id: string, limit: number): readonly InstanceMember[] {
    const cell = this.cells.get(id);
    return cell === undefined ? [] : this.ownership.ownersOf(cell, limit);
  }

  /** Ids of the cells that an instance owns. */
  ownedBy(instanceId: string): readonly string[] {
    return [...this.cells.keys()].filter(
      id => this.ownersOf(id, 1)[0]?.id === instanceId,
    );
  }
}
