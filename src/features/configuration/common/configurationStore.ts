import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result, failure, success} from '../../../base/common/result.js';
import {ObjectStore} from '../../../platform/objects/common/objectStore.js';
import {
  StorageError,
  TableRow,
  TableService,
} from '../../../platform/table/common/tableService.js';
import {
  Configuration,
  ConfigurationRevision,
  emptyConfiguration,
} from './configuration.js';

/** Reads and writes the log of revisions in the table and its snapshots in the object store. */

/** Row that holds the number of the newest revision. */
export const HEAD_KEY = 'configuration/head';
const REVISION_PREFIX = 'configuration/revision/';
const SNAPSHOT_PREFIX = 'configuration/snapshot/';
const NUMBER_WIDTH = 12;

/** A snapshot is written each time the revision is a multiple of this. */
export const SNAPSHOT_EVERY = 64;
/** Snapshots kept; rows older than the oldest one kept are deleted. */
const SNAPSHOTS_KEPT = 3;
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

/** The log of revisions. */
export class ConfigurationStore {
  constructor(
    private readonly table: TableService,
    private readonly objects: ObjectStore,
  ) {}

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
  async commit(
    head: ConfigurationHead,
    revision: ConfigurationRevision,
    token: CancellationToken,
  ): Promise<Result<CommitOutcome, StorageError>> {
    const value: HeadValue = {
      revision: revision.revision,
      firstRevision: head.firstRevision,
    };
    const outcome = await this.table.transact(
      [
        headWrite(head, value),
        {
          key: revisionKey(revision.revision),
          value: JSON.stringify(revision),
          condition: {kind: 'absent'},
        },
      ],
      'all',
      token,
    );
    if (!outcome.ok) {
      return outcome;
    }
    const conflict = outcome.value.some(row => row.kind === 'conflict');
    return success({kind: conflict ? 'conflict' : 'committed'});
  }

  /** Gives the head row a new version without moving it, so that no commit under way on the old one can succeed. */
  async rewriteHead(
    head: ConfigurationHead,
    token: CancellationToken,
  ): Promise<Result<CommitOutcome, StorageError>> {
    const {revision, firstRevision} = head;
    const outcome = await this.table.transact(
      [headWrite(head, {revision, firstRevision})],
      'all',
      token,
    );
    if (!outcome.ok) {
      return outcome;
    }
    const kind =
      outcome.value[0]?.kind === 'written' ? 'committed' : 'conflict';
    return success({kind});
  }

  /** Reads the newest snapshot that can be read; the empty configuration when there is none. */
  async readSnapshot(
    token: CancellationToken,
  ): Promise<Result<Configuration, StorageError>> {
    const names = await this.objects.list(SNAPSHOT_PREFIX, token);
    if (!names.ok) {
      return names;
    }
    const newest = names.value.at(-1);
    if (newest === undefined) {
      return success(emptyConfiguration);
    }
    const body = await this.objects.get(newest, token);
    if (!body.ok) {
      return body;
    }
    return success(
      body.value === undefined
        ? emptyConfiguration
        : (JSON.parse(body.value) as Configuration),
    );
  }

  /** Writes a snapshot, then deletes rows and snapshots that no starting instance needs. */
  async writeSnapshot(
    configuration: Configuration,
    token: CancellationToken,
  ): Promise<Result<void, StorageError>> {
    const name = snapshotName(configuration.revision);
    const body = JSON.stringify(configuration);
    const written = await this.objects.put(name, body, token);
    if (!written.ok) {
      return written;
    }
    const names = await this.objects.list(SNAPSHOT_PREFIX, token);
    if (!names.ok) {
      return names;
    }
    const kept = names.value.slice(-SNAPSHOTS_KEPT);
    for (const old of names.value.slice(0, -SNAPSHOTS_KEPT)) {
      await this.objects.delete(old, token);
    }
    const oldest = kept[0];
    return oldest === undefined
      ? success(undefined)
      : this.trimRows(snapshotRevision(oldest), token);
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
    const deletions = [];
    for (let number = firstRevision; number <= end; number++) {
      deletions.push({
        key: revisionKey(number),
        value: undefined,
        condition: {kind: 'any' as const},
      });
    }
    const value: HeadValue = {revision, firstRevision: end + 1};
    const trimmed = await this.table.transact(
      [headWrite(head.value, value), ...deletions],
      'all',
      token,
    );
    return trimmed.ok ? success(undefined) : failure(trimmed.error);
  }
}

function headWrite(head: ConfigurationHead, value: HeadValue) {
  return {
    key: HEAD_KEY,
    value: JSON.stringify(value),
    condition:
      head.rowVersion === undefined
        ? {kind: 'absent' as const}
        : {kind: 'version' as const, version: head.rowVersion},
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

function padded(revision: number): string {
  return String(revision).padStart(NUMBER_WIDTH, '0');
}

function revisionKey(revision: number): string {
  return REVISION_PREFIX + padded(revision);
}

function snapshotName(revision: number): string {
  return SNAPSHOT_PREFIX + padded(revision);
}

function snapshotRevision(name: string): number {
  return Number(name.slice(SNAPSHOT_PREFIX.length));
}
