import {rankByRendezvous} from '../../../base/common/rendezvous.js';
import {InstanceRecord} from './instance.js';

/** Minimum size of a group of instances given to a caller, so that one remains when another is lost. */
const MINIMUM_INSTANCES = 2;

/** Location of the caller; undefined where the query doesn't state it. */
export interface AddressQuery {
  readonly dataCentre: string | undefined;
  readonly region: string | undefined;
}

/**
 * Chooses the addresses that a caller may connect to: instances of its data centre, else of its region, else all.
 * Above the limit, rendezvous hashing by data centre makes callers of one data centre share instances.
 */
export function chooseAddresses(
  query: AddressQuery,
  serving: readonly InstanceRecord[],
  limit: number,
): readonly string[] {
  const inDataCentre = serving.filter(
    ({dataCentre}) => dataCentre === query.dataCentre,
  );
  const inRegion = serving.filter(({region}) => region === query.region);
  const chosen = [inDataCentre, inRegion, serving].find(
    group => group.length >= Math.min(MINIMUM_INSTANCES, serving.length),
  );
  const ranked = rankByRendezvous(
    query.dataCentre ?? '',
    chosen ?? serving,
    ({name}) => name,
  );
  return ranked.slice(0, limit).map(({callerAddress}) => callerAddress);
}
