import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {StorageError} from '../../table/common/tableService.js';

/** The platform's object store, as a port; objects are JSON text. */
export abstract class ObjectStore {
  /** Reads an object; a missing one is undefined. */
  abstract get(
    name: string,
    token: CancellationToken,
  ): Promise<Result<string | undefined, StorageError>>;

  /** Writes or replaces an object. */
  abstract put(
    name: string,
    body: string,
    token: CancellationToken,
  ): Promise<Result<void, StorageError>>;

  /** Names that start with a prefix, sorted. */
  abstract list(
    prefix: string,
    token: CancellationToken,
  ): Promise<Result<readonly string[], StorageError>>;

  /** Deletes an object if present. */
  abstract delete(
    name: string,
    token: CancellationToken,
  ): Promise<Result<void, StorageError>>;
}
