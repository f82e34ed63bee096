import {rankByRendezvous} from '../../../base/common/rendezvous.js';

/** Divides the limit of an upstream among the instances, without calls between them. */

/**
 * Rate of a holder in requests a second. A smaller one would leave much of a limit unused, since few of the requests of one
 * instance fit a slot that opens once in seconds.
 */
const MIN_HOLDER_RATE = 2;

/** An instance that may use limited upstreams. */
export interface LimitSharer {
  readonly name: string;
  readonly dataCentre: string;
}

/** The instances that share limits, as this instance sees them. */
export interface LimitSharers {
  readonly ownName: string;
  /** Those that serve callers, including this instance while it does. */
  readonly live: readonly LimitSharer[];
  /** Those that served when they were last heard of and are silent now. They may be cut off and still send. */
  readonly silentCount: number;
}

/** The part of a limit that this instance may use. */
export interface LimitShare {
  /** Position of this instance in the order in which instances use the upstream; undefined while it doesn't serve. */
  readonly rank: number | undefined;
  /** The first so many instances use the upstream. */
  readonly holderCount: number;
  /** Requests a second of each holder. */
  readonly requestsPerSecond: number;
}

/**
 * Divides a limit among as many instances as can use it well, those in the upstream's data centre first. Silent instances
 * count as if they used their part: both sides of a partition together then keep to the limit.
 */
export function shareLimit(
  requestsPerSecond: number,
  upstream: {readonly id: string; readonly dataCentre: string},
  {ownName, live, silentCount}: LimitSharers,
): LimitShare {
  const usable =
    (requestsPerSecond * live.length) / Math.max(1, live.length + silentCount);
  const position = rankSharers(upstream, live).findIndex(
    ({name}) => name === ownName,
  );
  const rank = position < 0 ? undefined : position;
  if (usable === 0) {
    return {rank, holderCount: 0, requestsPerSecond: 0};
  }
  const holderCount = Math.min(
    live.length,
    Math.max(1, Math.floor(usable / MIN_HOLDER_RATE)),
  );
  return {rank, holderCount, requestsPerSecond: usable / holderCount};
}

function rankSharers(
  {id, dataCentre}: {readonly id: string; readonly dataCentre: string},
  live: readonly LimitSharer[],
): readonly LimitSharer[] {
  const ranked = rankByRendezvous(id, live, ({name}) => name);
  const near = ranked.filter(sharer => sharer.dataCentre === dataCentre);
  const far = ranked.filter(sharer => sharer.dataCentre !== dataCentre);
  return [...near, ...far];
}
