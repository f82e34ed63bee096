import {rankByRendezvous} from '../../../base/common/rendezvous.js';

/** Port: tells other instances which requests have lost upstreams, at once instead of with the next gossip. */
export abstract class LossAnnouncer {
  /**
   * Tells all peers; resolves when each has been told or did not answer in time.
   * @param key identifies the request
   */
  abstract announce(key: string): Promise<void>;

  /**
   * Tells the instance that collects the losses of the request, and learns what it knows of them.
   * @param key identifies the request
   */
  abstract report(key: string): Promise<void>;
}

/** Chooses the instance that collects the losses of a request, so that single losses need one call; undefined if there is none. */
export function chooseLossCollector<T>(
  key: string,
  instances: readonly T[],
  nameOf: (instance: T) => string,
): T | undefined {
  const [first] = rankByRendezvous(key, instances, nameOf);
  return first;
}
