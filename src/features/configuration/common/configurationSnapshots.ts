import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result, success} from '../../../base/common/result.js';
import {ObjectStore} from '../../../infrastructure/objects/common/objectStore.js';
import {StorageError} from '../../../infrastructure/table/common/tableService.js';
import {Configuration, emptyConfiguration} from './configuration.js';
import {padRevision} from './revisionNames.js';

const SNAPSHOT_PREFIX = 'configuration/snapshot/';
const RETAINED_SNAPSHOTS = 3;

/** Stores snapshots of the configuration in the object store and keeps only the newest ones. */
export class ConfigurationSnapshots {
  constructor(private readonly objects: ObjectStore) {}

  /** Reads the newest snapshot; returns the empty configuration if there is none. */
  async read(
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

  /** Writes a snapshot and deletes the oldest ones; returns the revision of the oldest one that remains. */
  async write(
    configuration: Configuration,
    token: CancellationToken,
  ): Promise<Result<number | undefined, StorageError>> {
    const name = SNAPSHOT_PREFIX + padRevision(configuration.revision);
    const body = JSON.stringify(configuration);
    const written = await this.objects.put(name, body, token);
    if (!written.ok) {
      return written;
    }
    const names = await this.objects.list(SNAPSHOT_PREFIX, token);
    if (!names.ok) {
      return names;
    }
    for (const old of names.value.slice(0, -RETAINED_SNAPSHOTS)) {
      await this.objects.delete(old, token);
    }
    const [oldest] = names.value.slice(-RETAINED_SNAPSHOTS);
    return success(
      oldest === undefined
        ? undefined
        : Number(oldest.slice(SNAPSHOT_PREFIX.length)),
    );
  }
}
