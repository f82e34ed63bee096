import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result, success} from '../../../base/common/result.js';
import {ObjectStore} from '../../../infrastructure/objects/common/objectStore.js';
import {StorageError} from '../../../infrastructure/table/common/tableService.js';
import {Configuration, emptyConfiguration} from './configuration.js';
import {padRevision} from './revisionNames.js';

const PREFIX = 'configuration/snapshot/';
const SNAPSHOTS_KEPT = 3;

/** Snapshots of the configuration in the object store; the newest few are kept. */
export class ConfigurationSnapshots {
  constructor(private readonly objects: ObjectStore) {}

  /** Reads the newest; the empty configuration when there is none. */
  async read(
    token: CancellationToken,
  ): Promise<Result<Configuration, StorageError>> {
    const names = await this.objects.list(PREFIX, token);
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

  /** Writes one and deletes the oldest ones; answers the revision of the oldest one kept. */
  async write(
    configuration: Configuration,
    token: CancellationToken,
  ): Promise<Result<number | undefined, StorageError>> {
    const name = PREFIX + padRevision(configuration.revision);
    const body = JSON.stringify(configuration);
    const written = await this.objects.put(name, body, token);
    if (!written.ok) {
      return written;
    }
    const names = await this.objects.list(PREFIX, token);
    if (!names.ok) {
      return names;
    }
    for (const old of names.value.slice(0, -SNAPSHOTS_KEPT)) {
      await this.objects.delete(old, token);
    }
    const [oldest] = names.value.slice(-SNAPSHOTS_KEPT);
    return success(
      oldest === undefined ? undefined : Number(oldest.slice(PREFIX.length)),
    );
  }
}
