/** What this instance knows of each instance's access to the table, and its compact form for peers. */

const AGE_BITS = 6;
/** Ages of this many seconds or more are sent as unknown. */
export const UNKNOWN_AGE_SECONDS = (1 << AGE_BITS) - 1;
const VOTER_BIT = 1 << AGE_BITS;
const FAILED_BIT = 1 << (AGE_BITS + 1);
const SECOND = 1000;

/** The state of one instance at one moment. */
export interface InstanceStatus {
  /** Monotonic milliseconds of this instance's clock; not later than the moment described. */
  readonly heardAt: number;
  /** Whether its configuration was ever confirmed; only such instances count in a majority. */
  readonly isVoter: boolean;
  /** Whether its last read of the table failed. */
  readonly tableFailed: boolean;
}

/** The statuses of the listed instances; bounded by the list. */
export class StatusTable {
  private readonly statuses = new Map<string, InstanceStatus>();

  get(id: string): InstanceStatus | undefined {
    return this.statuses.get(id);
  }

  /** Takes a status if it is newer than what is known. */
  note(id: string, status: InstanceStatus): void {
    const known = this.statuses.get(id);
    if (known === undefined || status.heardAt > known.heardAt) {
      this.statuses.set(id, status);
    }
  }

  /** Forgets instances that left the list. */
  keepOnly(ids: readonly string[]): void {
    const listed = new Set(ids);
    for (const id of this.statuses.keys()) {
      if (!listed.has(id)) {
        this.statuses.delete(id);
      }
    }
  }

  /** Confirmed instances among those named whose access to the table failed, by statuses not older than a limit. */
  countFailed(
    ids: readonly string[],
    now: number,
    limitMilliseconds: number,
  ): number {
    return this.recent(ids, now, limitMilliseconds).filter(
      status => status.isVoter && status.tableFailed,
    ).length;
  }

  /** Instances among those named that were heard of within a limit. */
  countHeard(
    ids: readonly string[],
    now: number,
    limitMilliseconds: number,
  ): number {
    return this.recent(ids, now, limitMilliseconds).length;
  }

  private recent(
    ids: readonly string[],
    now: number,
    limitMilliseconds: number,
  ): readonly InstanceStatus[] {
    return ids.flatMap(id => {
      const status = this.statuses.get(id);
      const isRecent =
        status !== undefined && now - status.heardAt <= limitMilliseconds;
      return isRecent ? [status] : [];
    });
  }

  /** One byte for each id, in order, as base64. Ages are rounded up, so that nothing looks younger than it is. */
  encode(ids: readonly string[], now: number): string {
    const bytes = ids.map(id => encodeStatus(this.statuses.get(id), now));
    return btoa(String.fromCharCode(...bytes));
  }

  /** Merges a peer's bytes; `askedAt` is when this instance sent its question, which dates them safely. */
  merge(encoded: string, ids: readonly string[], askedAt: number): void {
    const bytes = atob(encoded);
    if (bytes.length !== ids.length) {
      return;
    }
    ids.forEach((id, index) => {
      const status = decodeStatus(bytes.charCodeAt(index), askedAt);
      if (status !== undefined) {
        this.note(id, status);
      }
    });
  }
}

function encodeStatus(status: InstanceStatus | undefined, now: number): number {
  if (status === undefined) {
    return UNKNOWN_AGE_SECONDS;
  }
  const seconds = Math.ceil((now - status.heardAt) / SECOND);
  const age = Math.min(Math.max(seconds, 0), UNKNOWN_AGE_SECONDS);
  return (
    age |
    (status.isVoter ? VOTER_BIT : 0) |
    (status.tableFailed ? FAILED_BIT : 0)
  );
}

function decodeStatus(
  byte: number,
  askedAt: number,
): InstanceStatus | undefined {
  const age = byte & UNKNOWN_AGE_SECONDS;
  if (age === UNKNOWN_AGE_SECONDS) {
    return undefined;
  }
  return {
    heardAt: askedAt - age * SECOND,
    isVoter: (byte & VOTER_BIT) !== 0,
    tableFailed: (byte & FAILED_BIT) !== 0,
  };
}
