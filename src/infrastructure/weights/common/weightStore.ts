import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {StorageError} from '../../table/common/tableService.js';

/** What the weight store says of one version of a model. */
export interface WeightManifest {
  readonly model: string;
  readonly version: string;
  readonly layerCount: number;
  /** Bytes of one layer. */
  readonly layerBytes: number;
  /** Bytes a second that the store serves to all readers together. */
  readonly bytesPerSecond: number;
}

/** The platform's rate-limited store of model weights, as a port; engines fetch from it themselves. */
export abstract class WeightStore {
  abstract manifest(
    model: string,
    version: string,
    token: CancellationToken,
  ): Promise<Result<WeightManifest | undefined, StorageError>>;
}
