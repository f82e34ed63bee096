import {InstanceView} from '../../membership/common/systemView.js';

/** Orders instances by preference for a client account. */

/** Location of the responding instance. */
export interface Locality {
  readonly dataCentre: string;
  readonly region: string;
}

/** An instance and its relative share of the client accounts in its tier. */
export interface EntrypointCandidate {
  readonly view: InstanceView;
  /** Above 0; an instance with twice the weight is first choice for twice as many accounts. */
  readonly weight: number;
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const TWO_TO_THE_32 = 4294967296;

/**
 * Returns caller addresses, best first: the local data centre, then the region, then the rest; within
 * each tier by weighted rendezvous hashing of the client account (score -weight / ln hash). Instances
 * that aren't ready or are leaving are left out.
 */
export function orderEntrypoints(
  candidates: readonly EntrypointCandidate[],
  clientAccount: string,
  near: Locality,
): readonly string[] {
  return candidates
    .filter(({view}) => view.ready && view.member.state === 'live')
    .map(({view, weight}) => ({
      address: view.member.callerAddress,
      tier: tierOf(view, near),
      score: rendezvousScore(clientAccount, view.member.id, weight),
    }))
    .sort((left, right) => left.tier - right.tier || right.score - left.score)
    .map(({address}) => address);
}

/** Returns the caller address of the instance that runs an incarnation; undefined when none is known. */
export function addressOfIncarnation(
  instances: readonly InstanceView[],
  incarnation: string,
): string | undefined {
  const holder = instances.find(view => view.incarnation === incarnation);
  return holder?.member.callerAddress;
}

/** Score of an instance for an account; the instance with the highest score is preferred. */
export function rendezvousScore(
  clientAccount: string,
  instanceId: string,
  weight: number,
): number {
  return -weight / Math.log(unitHash(`${clientAccount}\n${instanceId}`));
}

function tierOf(view: InstanceView, near: Locality): number {
  if (view.member.dataCentre === near.dataCentre) {
    return 0;
  }
  return view.member.region === near.region ? 1 : 2;
}

/** Hashes to a number in (0, 1): FNV-1a with the murmur3 finalizer, so that similar names spread evenly. */
function unitHash(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  hash = (hash ^ (hash >>> 16)) >>> 0;
  return (hash + 0.5) / TWO_TO_THE_32;
}
