import {rankByRendezvous} from '../../../base/common/rendezvous.js';
import {InstanceRecord} from './instance.js';

/** Chooses the addresses that a caller may use. */

/** Fewer instances than this in a caller's own data centre are not enough: the loss of one must leave another. */
const LEAST_NEAR = 2;

/** Who asks. */
export interface AddressQuestion {
  readonly dataCentre: string | undefined;
  readonly region: string | undefined;
}

/**
 * The instances of the caller's data centre, else of its region, else all; within the limit those
 * that rank first for the data centre, so that callers from one place share instances.
 */
export function chooseAddresses(
  question: AddressQuestion,
  serving: readonly InstanceRecord[],
  limit: number,
): readonly string[] {
  const near = serving.filter(
    ({dataCentre}) => dataCentre === question.dataCentre,
  );
  const regional = serving.filter(({region}) => region === question.region);
  const chosen = [near, regional, serving].find(
    group => group.length >= Math.min(LEAST_NEAR, serving.length),
  );
  const ranked = rankByRendezvous(
    question.dataCentre ?? '',
    chosen ?? serving,
    ({name}) => name,
  );
  return ranked.slice(0, limit).map(({callerAddress}) => callerAddress);
}
