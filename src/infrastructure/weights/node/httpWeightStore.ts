import {z} from 'zod';

import {CancellationToken} from '../../../base/common/cancellation.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {Result} from '../../../base/common/result.js';
import {HttpClientOptions} from '../../http/node/httpClient.js';
import {StorageClient} from '../../http/node/storageClient.js';
import {StorageError} from '../../table/common/tableService.js';
import {WeightManifest, WeightStore} from '../common/weightStore.js';

const manifestSchema = z.object({
  model: z.string(),
  version: z.string(),
  layerCount: z.number().int().positive(),
  layerBytes: z.number().positive(),
  bytesPerSecond: z.number().positive(),
});

/** HTTP client of the platform's weight store; docs/PROTOCOLS.md specifies the protocol. */
export class HttpWeightStore extends WeightStore implements Disposable {
  private readonly client: StorageClient;

  constructor(
    address: string,
    instance: string,
    options: Partial<HttpClientOptions> = {},
  ) {
    super();
    this.client = new StorageClient(address, instance, options);
  }

  override manifest(
    model: string,
    version: string,
    token: CancellationToken,
  ): Promise<Result<WeightManifest | undefined, StorageError>> {
    const path = `/v1/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`;
    return this.client.find({method: 'GET', path}, manifestSchema, token);
  }

  dispose(): void {
    this.client.dispose();
  }
}
