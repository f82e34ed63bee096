import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {StorageError} from '../../table/common/tableService.js';

/** Interface of the platform's object store. Objects are JSON text. */
export abstract class ObjectStore {
  /** Reads an object; returns undefined if it does not exist. */
  abstract get(
    name: string,
    token: CancellationToken,
  ): Promise<Result<string | undefined, StorageError>>;

  /** Creates or replaces an object. */
  abstract put(
    name: string,
    body: string,
    token: CancellationToken,
  ): Promise<Result<void, StorageError>>;

  /** Lists the names that start with a prefix, in sorted order. */
  abstract list(
    prefix: string,
    token: CancellationToken,
  ): Promise<Result<readonly string[], StorageError>>;

  /** Deletes an object if it exists. */
  abstract delete(
    name: string,
    token: CancellationToken,
  ): Promise<Result<void, StorageError>>;
}
