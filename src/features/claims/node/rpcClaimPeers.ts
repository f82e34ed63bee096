import {CancellationToken} from '../../../base/common/cancellation.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {
  createRpcClient,
  RpcClient,
} from '../../../infrastructure/rpc/node/rpc.js';
import {RowWrite} from '../../../infrastructure/table/common/tableService.js';
import {AskRequest, AskResponse, ClaimPeers} from '../common/claimPeers.js';
import {RowResult} from '../common/rowWriter.js';
import {ClaimRouter} from './claimRouter.js';

/** Maximum number of open clients; beyond it the oldest client is closed. */
const CLIENT_LIMIT = 400;

/**
 * Calls other instances over tRPC. The casts restore optional members: JSON omits undefined members, and reading an
 * omitted member also returns undefined.
 */
export class RpcClaimPeers extends ClaimPeers implements Disposable {
  private readonly clients = new Map<string, RpcClient<ClaimRouter>>();

  constructor(private readonly peerKey: string) {
    super();
  }

  override ask(
    address: string,
    request: AskRequest,
    token: CancellationToken,
  ): Promise<AskResponse> {
    const {call} = this.clientFor(address);
    const response = call.claims.ask.query(request, {signal: token.signal});
    return response as Promise<AskResponse>;
  }

  override gather(
    address: string,
    writes: readonly RowWrite[],
    token: CancellationToken,
  ): Promise<readonly RowResult[]> {
    const {call} = this.clientFor(address);
    const input = {writes: writes.map(toSerializableWrite)};
    const results = call.claims.gather.mutate(input, {signal: token.signal});
    return results as Promise<readonly RowResult[]>;
  }

  dispose(): void {
    for (const client of this.clients.values()) {
      client.dispose();
    }
    this.clients.clear();
  }

  private clientFor(address: string): RpcClient<ClaimRouter> {
    const existing = this.clients.get(address);
    if (existing !== undefined) {
      return existing;
    }
    this.evictOldestClient();
    const client = createRpcClient<ClaimRouter>(address, this.peerKey);
    this.clients.set(address, client);
    return client;
  }

  private evictOldestClient(): void {
    if (this.clients.size < CLIENT_LIMIT) {
      return;
    }
    const [oldest] = this.clients;
    this.clients.delete(oldest![0]);
    oldest![1].dispose();
  }
}

/** Replaces an undefined value, since rows are never deleted through gatherers. */
function toSerializableWrite({key, value, condition}: RowWrite) {
  return {key, value: value ?? '', condition};
}
