import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result, success} from '../../../base/common/result.js';
import {ObjectStore} from '../../../infrastructure/objects/common/objectStore.js';
import {
  RowWrite,
  StorageError,
  TableRow,
  TableService,
} from '../../../infrastructure/table/common/tableService.js';
import {Configuration, ConfigurationRevision} from './configuration.js';
import {ConfigurationSnapshots} from './configurationSnapshots.js';
import {padRevision} from './revisionNames.js';

/** Key of the row with the number of the newest revision. */
const HEAD_KEY = 'configuration/head';
const REVISION_PREFIX = 'configuration/revision/';

/** Snapshots are written at revisions that are multiples of this. */
export const SNAPSHOT_INTERVAL_REVISIONS = 64;
const ROWS_PER_SCAN = 100;
const TRIM_ROW_LIMIT = 90;

/** The head row as read. */
export interface ConfigurationHead {
  readonly revision: number;
  /** Version of the head row; undefined before the first revision. */
  readonly rowVersion: number | undefined;
  /** The oldest revision whose row is still in the table. */
  readonly firstRevision: number;
}

interface HeadValue {
  readonly revision: number;
  readonly firstRevision: number;
}

/** Whether a transaction was committed or lost against a concurrent one. */
export type CommitOutcome =
  {readonly kind: 'committed'} | {readonly kind: 'conflict'};

/** Stores the log of revisions in the table, and its snapshots; deletes rows that the oldest kept snapshot covers. */
export class ConfigurationStore {
  private readonly snapshots: ConfigurationSnapshots;

  constructor(
    private readonly table: TableService,
    objects: ObjectStore,
  ) {
    this.snapshots = new ConfigurationSnapshots(objects);
  }

  async readHead(
    token: CancellationToken,
  ): Promise<Result<ConfigurationHead, StorageError>> {
    const rows = await this.table.read([HEAD_KEY], token);
    return rows.ok ? success(toHead(rows.value[0])) : rows;
  }

  /** Reads one revision; returns undefined if the table has no row for it. */
  async readRevision(
    revision: number,
    token: CancellationToken,
  ): Promise<Result<ConfigurationRevision | undefined, StorageError>> {
    const rows = await this.table.read([revisionKey(revision)], token);
    if (!rows.ok) {
      return rows;
    }
    const row = rows.value[0];
    return success(row && toRevision(row));
  }

  /** Reads up to 100 revisions after the given one, in order. */
  async readAfter(
    revision: number,
    token: CancellationToken,
  ): Promise<Result<readonly ConfigurationRevision[], StorageError>> {
    const after = revisionKey(revision);
    const rows = await this.table.scan(
      REVISION_PREFIX,
      after,
      ROWS_PER_SCAN,
      token,
    );
    return rows.ok ? success(rows.value.map(toRevision)) : rows;
  }

  /** Atomically writes a revision and advances the head. */
  commit(
    head: ConfigurationHead,
    revision: ConfigurationRevision,
    token: CancellationToken,
  ): Promise<Result<CommitOutcome, StorageError>> {
    const value: HeadValue = {
      revision: revision.revision,
      firstRevision: head.firstRevision,
    };
    const row: RowWrite = {
      key: revisionKey(revision.revision),
      value: JSON.stringify(revision),
      condition: {kind: 'absent'},
    };
    return this.writeWithHead(head, value, [row], token);
  }

  /** Gives the head row a new version without advancing it, so that no commit in flight on the old version succeeds. */
  rewriteHead(
    head: ConfigurationHead,
    token: CancellationToken,
  ): Promise<Result<CommitOutcome, StorageError>> {
    const {revision, firstRevision} = head;
    return this.writeWithHead(head, {revision, firstRevision}, [], token);
  }

  /** Reads the newest snapshot; returns the empty configuration if there is none. */
  readSnapshot(
    token: CancellationToken,
  ): Promise<Result<Configuration, StorageError>> {
    return this.snapshots.read(token);
  }

  /** Writes a snapshot, then deletes the snapshots and rows that it makes obsolete. */
  async writeSnapshot(
    configuration: Configuration,
    token: CancellationToken,
  ): Promise<Result<void, StorageError>> {
    const oldest = await this.snapshots.write(configuration, token);
    if (!oldest.ok) {
      return oldest;
    }
    return oldest.value === undefined
      ? success(undefined)
      : this.trimRows(oldest.value, token);
  }

  private async trimRows(
    upTo: number,
    token: CancellationToken,
  ): Promise<Result<void, StorageError>> {
    const head = await this.readHead(token);
    if (!head.ok) {
      return head;
    }
    const {firstRevision, revision} = head.value;
    const end = Math.min(
      upTo,
      firstRevision + TRIM_ROW_LIMIT - 1,
      revision - 1,
    );
    if (end < firstRevision) {
      return success(undefined);
    }
    const deletions: RowWrite[] = [];
    for (let number = firstRevision; number <= end; number++) {
      deletions.push({
        key: revisionKey(number),
        value: undefined,
        condition: {kind: 'any'},
      });
    }
    const value: HeadValue = {revision, firstRevision: end + 1};
    // A conflict means that the head advanced concurrently; the next snapshot trims instead.
    const trimmed = await this.writeWithHead(
      head.value,
      value,
      deletions,
      token,
    );
    return trimmed.ok ? success(undefined) : trimmed;
  }

  /** Atomically writes the head row, if it is unchanged since it was read, and other rows. */
  private async writeWithHead(
    head: ConfigurationHead,
    value: HeadValue,
    rows: readonly RowWrite[],
    token: CancellationToken,
  ): Promise<Result<CommitOutcome, StorageError>> {
    const outcome = await this.table.transact(
      [headWrite(head, value), ...rows],
      'all',
      token,
    );
    if (!outcome.ok) {
      return outcome;
    }
    const conflict = outcome.value.some(row => row.kind === 'conflict');
    return success({kind: conflict ? 'conflict' : 'committed'});
  }
}

function headWrite(head: ConfigurationHead, value: HeadValue): RowWrite {
  return {
    key: HEAD_KEY,
    value: JSON.stringify(value),
    condition:
      head.rowVersion === undefined
        ? {kind: 'absent'}
        : {kind: 'version', version: head.rowVersion},
  };
}

function toHead(row: TableRow | undefined): ConfigurationHead {
  if (row === undefined) {
    return {revision: 0, rowVersion: undefined, firstRevision: 1};
  }
  const value = JSON.parse(row.value) as HeadValue;
  return {...value, rowVersion: row.version};
}

function toRevision(row: TableRow): ConfigurationRevision {
  return JSON.parse(row.value) as ConfigurationRevision;
}

function revisionKey(revision: number): string {
  return REVISION_PREFIX + padRevision(revision);
}
