import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {partitionIntoCells} from '../../routing/common/cells.js';

/**
 * Returns the engines of a data centre's replicas by group. A replica that spans data centres belongs to the one that
 * routing assigns it to, so that only one lease covers it.
 */
export function replicasOf(
  upstreams: readonly UpstreamMember[],
  dataCentre: string,
): ReadonlyMap<string, readonly UpstreamMember[]> {
  const groups = new Map<string, UpstreamMember[]>();
  for (const cell of partitionIntoCells(upstreams, upstreams.length).values()) {
    if (cell.dataCentre === dataCentre) {
      for (const engine of cell.engines) {
        const others = groups.get(engine.group) ?? [];
        groups.set(engine.group, [...others, engine]);
      }
    }
  }
  return groups;
}
