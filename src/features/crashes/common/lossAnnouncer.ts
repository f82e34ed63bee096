/** Port: tells the other instances which requests have lost upstreams, at once instead of with the next gossip. */
export abstract class LossAnnouncer {
  /**
   * Resolves when each peer has been told or did not answer in time.
   * @param key identifies the request
   */
  abstract announce(key: string): Promise<void>;
}
