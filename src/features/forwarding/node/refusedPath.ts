import {Upstream} from '../../fleet/common/upstream.js';
import {Path} from '../../paths/common/path.js';
import {ResponseMetadata} from '../common/headerCodec.js';
import {ForwardingServices} from './forwardingServices.js';

/** Suspects the upstream of a path that caused a refusal, and returns it; undefined if it is not on the path. */
export function suspectRefusingUpstream(
  services: ForwardingServices,
  request: string,
  path: Path,
  {faultyAddress, isMisdirected}: ResponseMetadata,
): Upstream | undefined {
  const faulty = findFaultyUpstream(path, faultyAddress);
  if (faulty === undefined) {
    return undefined;
  }
  const {suspicions, prober} = services;
  const evidence = {request};
  const reason = isMisdirected ? 'misdirected' : 'refusing';
  const isNewSuspicion = suspicions.suspect(faulty.id, reason, evidence);
  // A refusal names full, leaving and dead upstreams alike; only a probe tells them apart.
  if (
    isNewSuspicion &&
    !isMisdirected &&
    !prober.hasRecentlyResponded(faulty.id)
  ) {
    void prober.probe(faulty, 'silent', evidence);
  }
  return faulty;
}

/**
 * Returns the upstream of the path that caused a refusal. Searches the path instead of the directory, since the
 * address may have been given to another upstream.
 */
function findFaultyUpstream(
  path: Path,
  address: string | undefined,
): Upstream | undefined {
  const part =
    address === undefined
      ? path[0]
      : path.find(({upstream}) => upstream.address === address);
  return part?.upstream;
}
