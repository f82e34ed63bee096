import {z} from 'zod';

import {CancellationToken} from '../../../base/common/cancellation.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {Result, success} from '../../../base/common/result.js';
import {HttpClientOptions} from '../../http/node/httpClient.js';
import {StorageClient} from '../../http/node/storageClient.js';
import {StorageError} from '../../table/common/tableService.js';
import {ObjectStore} from '../common/objectStore.js';

const objectSchema = z.object({body: z.string()});

const listSchema = z.object({names: z.array(z.string())});

const emptySchema = z.object({});

/** HTTP client of the platform's object store; docs/PROTOCOLS.md specifies the protocol. */
export class HttpObjectStore extends ObjectStore implements Disposable {
  private readonly client: StorageClient;

  constructor(
    address: string,
    instance: string,
    options: Partial<HttpClientOptions> = {},
  ) {
    super();
    this.client = new StorageClient(address, instance, options);
  }

  override async get(
    name: string,
    token: CancellationToken,
  ): Promise<Result<string | undefined, StorageError>> {
    const response = await this.client.find(
      {method: 'GET', path: objectPath(name)},
      objectSchema,
      token,
    );
    return response.ok ? success(response.value?.body) : response;
  }

  override async put(
    name: string,
    body: string,
    token: CancellationToken,
  ): Promise<Result<void, StorageError>> {
    const response = await this.client.call(
      {
        method: 'PUT',
        path: objectPath(name),
        body: JSON.stringify({body}),
      },
      emptySchema,
      token,
    );
    return response.ok ? success(undefined) : response;
  }

  override async list(
    prefix: string,
    token: CancellationToken,
  ): Promise<Result<readonly string[], StorageError>> {
    const response = await this.client.call(
      {
        method: 'GET',
        path: `/v1/objects?prefix=${encodeURIComponent(prefix)}`,
      },
      listSchema,
      token,
    );
    return response.ok ? success(response.value.names) : response;
  }

  override async delete(
    name: string,
    token: CancellationToken,
  ): Promise<Result<void, StorageError>> {
    const response = await this.client.call(
      {method: 'DELETE', path: objectPath(name)},
      emptySchema,
      token,
    );
    return response.ok ? success(undefined) : response;
  }

  dispose(): void {
    this.client.dispose();
  }
}

function objectPath(name: string): string {
  return `/v1/objects/${encodeURIComponent(name)}`;
}
