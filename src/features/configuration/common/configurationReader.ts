import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Result, success} from '../../../base/common/result.js';
import {StorageError} from '../../../infrastructure/table/common/tableService.js';
import {ConfigurationReplica} from './configurationReplica.js';
import {ConfigurationHead, ConfigurationStore} from './configurationStore.js';

/** Maximum number of pages of 100 rows per read; the next read continues from there. */
const PAGE_LIMIT = 20;

/** A successful read of the head row. */
export interface HeadReadResult {
  readonly head: ConfigurationHead;
  /** Monotonic milliseconds before the read was sent, when the head was at most this revision. */
  readonly startedAt: number;
}

/** Catches the replica up with the head in the table. */
export class ConfigurationReader {
  constructor(
    private readonly store: ConfigurationStore,
    private readonly replica: ConfigurationReplica,
    private readonly clock: Clock,
  ) {}

  /**
   * Reads the head row and then the revisions that the replica lacks. Succeeds if the head row was read, even if
   * revisions could not be fetched; the replica then knows of a newer revision than its current one.
   */
  async readHead(
    token: CancellationToken,
  ): Promise<Result<HeadReadResult, StorageError>> {
    const startedAt = this.clock.monotonicMilliseconds();
    const head = await this.store.readHead(token);
    if (!head.ok) {
      return head;
    }
    this.replica.observeRevision(head.value.revision);
    await this.catchUp(head.value, token);
    return success({head: head.value, startedAt});
  }

  private async catchUp(
    head: ConfigurationHead,
    token: CancellationToken,
  ): Promise<void> {
    const missingCount = head.revision - this.replica.current.revision;
    const isTrimmed = this.replica.current.revision + 1 < head.firstRevision;
    if (
      missingCount > 0 &&
      (isTrimmed || this.replica.current.revision === 0)
    ) {
      const snapshot = await this.store.readSnapshot(token);
      if (snapshot.ok) {
        this.replica.applySnapshot(snapshot.value);
      } else if (isTrimmed) {
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
