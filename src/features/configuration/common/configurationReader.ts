import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Result, success} from '../../../base/common/result.js';
import {StorageError} from '../../../infrastructure/table/common/tableService.js';
import {ConfigurationReplica} from './configurationReplica.js';
import {ConfigurationHead, ConfigurationStore} from './configurationStore.js';

/** Pages of 100 rows read in one go at most; the next read goes on from there. */
const PAGE_LIMIT = 20;

/** A read of the head row that ended well. */
export interface HeadReading {
  readonly head: ConfigurationHead;
  /** Monotonic milliseconds before the read was sent: the head was at most this revision then. */
  readonly startedAt: number;
}

/** Brings the replica up to the table's head. */
export class ConfigurationReader {
  constructor(
    private readonly store: ConfigurationStore,
    private readonly replica: ConfigurationReplica,
    private readonly clock: Clock,
  ) {}

  /**
   * Reads the head row and, where it is newer, what is missing. Succeeds once the head was read:
   * what can't be fetched now stays missing, and the replica says so.
   */
  async readHead(
    token: CancellationToken,
  ): Promise<Result<HeadReading, StorageError>> {
    const startedAt = this.clock.monotonicMilliseconds();
    const head = await this.store.readHead(token);
    if (!head.ok) {
      return head;
    }
    this.replica.noteRevision(head.value.revision);
    await this.catchUp(head.value, token);
    return success({head: head.value, startedAt});
  }

  private async catchUp(
    head: ConfigurationHead,
    token: CancellationToken,
  ): Promise<void> {
    const behind = head.revision - this.replica.current.revision;
    const trimmed = this.replica.current.revision + 1 < head.firstRevision;
    if (behind > 0 && (trimmed || this.replica.current.revision === 0)) {
      const snapshot = await this.store.readSnapshot(token);
      if (snapshot.ok) {
        this.replica.applySnapshot(snapshot.value);
      } else if (trimmed) {
        return;
      }
    }
    await this.readRows(head.revision, token);
  }

  private async readRows(
    upTo: number,
    token: CancellationToken,
  ): Promise<void> {
    for (let page = 0; page < PAGE_LIMIT; page++) {
      if (this.replica.current.revision >= upTo) {
        return;
      }
      const rows = await this.store.readAfter(
        this.replica.current.revision,
        token,
      );
      if (!rows.ok || !this.replica.applyRevisions(rows.value)) {
        return;
      }
    }
  }
}
