/** What an instance finds when it connects to an upstream. */
export type Reachability =
  | 'reached'
  /** The host refused before and after another host accepted a connection. */
  | 'refused'
  /** Anything else, which shows neither that the upstream runs nor that it has ended. */
  | 'unknown';

/**
 * Whether an upstream has ended, by what all instances found. One instance alone can't tell, since its own link may be
 * lost: connections over a lost link may be refused, too.
 * @param peers findings of all other instances
 */
export function isRefusedEverywhere(
  own: Reachability,
  peers: readonly Reachability[],
): boolean {
  return (
    own === 'refused' &&
    peers.length > 0 &&
    peers.every(finding => finding === 'refused')
  );
}

/** Port: asks the peers whether they reach an upstream. */
export abstract class PeerReachability {
  /**
   * Asks all peers; one that does not answer counts as `unknown`.
   * @param address `IP:port` of the upstream
   * @returns undefined if not all peers may be asked now
   */
  abstract askAll(
    address: string,
  ): Promise<readonly Reachability[] | undefined>;
}
