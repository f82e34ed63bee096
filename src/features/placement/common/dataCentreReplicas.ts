import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {divideIntoCells} from '../../routing/common/cells.js';

/**
 * The replicas whose home is a data centre, by group. A replica over several data centres belongs
 * to the one that routing takes as its home, so that one lease alone covers it.
 */
export function replicasOf(
  upstreams: readonly UpstreamMember[],
  dataCentre: string,
): ReadonlyMap<string, readonly UpstreamMember[]> {
  const groups = new Map<string, UpstreamMember[]>();
  for (const cell of divideIntoCells(upstreams, upstreams.length).values()) {
    if (cell.dataCentre === dataCentre) {
      for (const engine of cell.engines) {
        const others = groups.get(engine.group) ?? [];
        groups.set(engine.group, [...others, engine]);
      }
    }
  }
  return groups;
}
