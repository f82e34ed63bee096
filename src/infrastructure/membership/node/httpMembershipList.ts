import {z} from 'zod';

import {CancellationToken} from '../../../base/common/cancellation.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {Result} from '../../../base/common/result.js';
import {HttpClientOptions} from '../../http/node/httpClient.js';
import {StorageClient} from '../../http/node/storageClient.js';
import {StorageError} from '../../table/common/tableService.js';
import {MembershipList, MembershipSnapshot} from '../common/membershipList.js';

const commonFields = {
  id: z.string(),
  dataCentre: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']),
};

const upstreamFields = {
  ...commonFields,
  address: z.string(),
  group: z.string(),
};

const memberSchema = z.discriminatedUnion('role', [
  z.object({
    ...commonFields,
    role: z.literal('instance'),
    callerAddress: z.string(),
    entryPeerAddress: z.string(),
    controlAddress: z.string(),
  }),
  z.object({...upstreamFields, role: z.literal('engine')}),
  z.object({...upstreamFields, role: z.literal('service')}),
]);

const listSchema = z.object({members: z.array(memberSchema)});

/** HTTP client of the platform's membership list; docs/PROTOCOLS.md specifies the protocol. */
export class HttpMembershipList extends MembershipList implements Disposable {
  private readonly client: StorageClient;

  constructor(
    address: string,
    instance: string,
    options: Partial<HttpClientOptions> = {},
  ) {
    super();
    this.client = new StorageClient(address, instance, options);
  }

  override read(
    token: CancellationToken,
  ): Promise<Result<MembershipSnapshot, StorageError>> {
    const request = {method: 'GET', path: '/v1/members'};
    return this.client.call(request, listSchema, token);
  }

  dispose(): void {
    this.client.dispose();
  }
}
