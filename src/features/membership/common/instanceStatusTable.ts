/** The last known table access of each instance, and its compact encoding for peers. */

const AGE_BITS = 6;
/** Ages of this many seconds or more are encoded as unknown. */
export const UNKNOWN_AGE_SECONDS = (1 << AGE_BITS) - 1;
const VOTER_BIT = 1 << AGE_BITS;
const FAILED_BIT = 1 << (AGE_BITS + 1);
const MILLISECONDS_PER_SECOND = 1000;

/** The table access of one instance at one moment. */
export interface InstanceStatus {
  /** Monotonic milliseconds of this instance's clock; never later than the moment described. */
  readonly observedAt: number;
  /** Whether its configuration was ever confirmed; only failures of such instances count towards an outage majority. */
  readonly isVoter: boolean;
  /** Whether its last read of the table failed. */
  readonly hasFailedRead: boolean;
}

/** The statuses of the listed instances; bounded by the list. */
export class InstanceStatusTable {
  private readonly statuses = new Map<string, InstanceStatus>();

  get(id: string): InstanceStatus | undefined {
    return this.statuses.get(id);
  }

  /** Stores a status if it is newer than the known one. */
  update(id: string, status: InstanceStatus): void {
    const known = this.statuses.get(id);
    if (known === undefined || status.observedAt > known.observedAt) {
      this.statuses.set(id, status);
    }
  }

  /** Removes the statuses of all other instances. */
  keepOnly(ids: readonly string[]): void {
    const listed = new Set(ids);
    for (const id of this.statuses.keys()) {
      if (!listed.has(id)) {
        this.statuses.delete(id);
      }
    }
  }

  /** Counts the voters among `ids` whose last table read failed, by statuses no older than the limit. */
  countTableFailures(
    ids: readonly string[],
    now: number,
    limitMilliseconds: number,
  ): number {
    return ids.filter(id => {
      const status = this.recentStatus(id, now, limitMilliseconds);
      return status?.isVoter === true && status.hasFailedRead;
    }).length;
  }

  /** Those of `ids` that have a status no older than the limit. */
  recentIds(
    ids: readonly string[],
    now: number,
    limitMilliseconds: number,
  ): readonly string[] {
    return ids.filter(
      id => this.recentStatus(id, now, limitMilliseconds) !== undefined,
    );
  }

  private recentStatus(
    id: string,
    now: number,
    limitMilliseconds: number,
  ): InstanceStatus | undefined {
    const status = this.statuses.get(id);
    const isRecent =
      status !== undefined && now - status.observedAt <= limitMilliseconds;
    return isRecent ? status : undefined;
  }

  /** Encodes one byte per id, in order, as base64. Ages are rounded up, so that no status looks newer than it is. */
  encode(ids: readonly string[], now: number): string {
    const bytes = ids.map(id => encodeStatus(this.statuses.get(id), now));
    return btoa(String.fromCharCode(...bytes));
  }

  /**
   * Merges the encoded statuses of a peer. Ages are subtracted from the time at which this instance sent its request,
   * so that no status looks newer than it is.
   */
  merge(encoded: string, ids: readonly string[], requestedAt: number): void {
    const bytes = atob(encoded);
    if (bytes.length !== ids.length) {
      return;
    }
    ids.forEach((id, index) => {
      const status = decodeStatus(bytes.charCodeAt(index), requestedAt);
      if (status !== undefined) {
        this.update(id, status);
      }
    });
  }
}

function encodeStatus(status: InstanceStatus | undefined, now: number): number {
  if (status === undefined) {
    return UNKNOWN_AGE_SECONDS;
  }
  const seconds = Math.ceil(
    (now - status.observedAt) / MILLISECONDS_PER_SECOND,
  );
  const age = Math.min(Math.max(seconds, 0), UNKNOWN_AGE_SECONDS);
  return (
    age |
    (status.isVoter ? VOTER_BIT : 0) |
    (status.hasFailedRead ? FAILED_BIT : 0)
  );
}

function decodeStatus(
  byte: number,
  requestedAt: number,
): InstanceStatus | undefined {
  const age = byte & UNKNOWN_AGE_SECONDS;
  if (age === UNKNOWN_AGE_SECONDS) {
    return undefined;
  }
  return {
    observedAt: requestedAt - age * MILLISECONDS_PER_SECOND,
    isVoter: (byte & VOTER_BIT) !== 0,
    hasFailedRead: (byte & FAILED_BIT) !== 0,
  };
}
