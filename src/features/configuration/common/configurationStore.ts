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

/** Row that holds the number of the newest revision. */
const HEAD_KEY = 'configuration/head';
const REVISION_PREFIX = 'configuration/revision/';

/** A snapshot is written each time the revision is a multiple of this. */
export const SNAPSHOT_EVERY = 64;
const ROWS_PER_SCAN = 100;
const TRIM_LIMIT = 90;

/** The head row as read. */
export interface ConfigurationHead {
  readonly revision: number;
  /** Version of the row; undefined before the first revision. */
  readonly rowVersion: number | undefined;
  /** Revisions from this one on are still in the table. */
  readonly firstRevision: number;
}

interface HeadValue {
  readonly revision: number;
  readonly firstRevision: number;
}

/** How a commit ended. */
export type CommitOutcome =
  {readonly kind: 'committed'} | {readonly kind: 'conflict'};

/** The log of revisions in the table, and its snapshots; rows older than the oldest snapshot kept are deleted. */
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

  /** Reads one revision; undefined when it isn't in the table. */
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

  /** Reads the revisions after one, in order, at most 100. */
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

  /** Writes a revision and moves the head, both or neither. */
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

  /** Gives the head row a new version without moving it, so that no commit under way on the old one can succeed. */
  rewriteHead(
    head: ConfigurationHead,
    token: CancellationToken,
  ): Promise<Result<CommitOutcome, StorageError>> {
    const {revision, firstRevision} = head;
    return this.writeWithHead(head, {revision, firstRevision}, [], token);
  }

  /** Reads the newest snapshot; the empty configuration when there is none. */
  readSnapshot(
    token: CancellationToken,
  ): Promise<Result<Configuration, StorageError>> {
    return this.snapshots.read(token);
  }

  /** Writes a snapshot, then deletes rows and snapshots that no starting instance needs. */
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
    const end = Math.min(upTo, firstRevision + TRIM_LIMIT - 1, revision - 1);
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
    // A conflict means that the head moved on: the next snapshot trims instead.
    const trimmed = await this.writeWithHead(
      head.value,
      value,
      deletions,
      token,
    );
    return trimmed.ok ? success(undefined) : trimmed;
  }

  /** Writes the head, as it was read, together with other rows: all or nothing. */
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
