import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {StorageError} from '../../table/common/tableService.js';

/** Describes the weights of one version of a model. */
export interface WeightManifest {
  readonly model: string;
  readonly version: string;
  readonly layerCount: number;
  /** Size of one layer. */
  readonly layerBytes: number;
  /** Total read bandwidth of the store, shared by all readers. */
  readonly bytesPerSecond: number;
}

/** Interface of the platform's rate-limited store of model weights. Engines fetch the weights themselves. */
export abstract class WeightStore {
  abstract manifest(
    model: string,
    version: string,
    token: CancellationToken,
  ): Promise<Result<WeightManifest | undefined, StorageError>>;
}
