import {CancellationToken} from '../../../base/common/cancellation.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {
  createRpcClient,
  RpcClient,
} from '../../../infrastructure/rpc/node/rpc.js';
import {RowWrite} from '../../../infrastructure/table/common/tableService.js';
import {AskAnswer, AskMessage, ClaimPeers} from '../common/claimPeers.js';
import {RowResult} from '../common/rowWriter.js';
import {ClaimRouter} from './claimRouter.js';

/** Clients kept; the longest kept is closed when another is needed. */
const CLIENT_LIMIT = 400;

/**
 * Reaches other instances over tRPC. The casts restore members that JSON leaves out when they are
 * undefined; reading them gives undefined either way.
 */
export class RpcClaimPeers extends ClaimPeers implements Disposable {
  private readonly clients = new Map<string, RpcClient<ClaimRouter>>();

  constructor(private readonly peerKey: string) {
    super();
  }

  override ask(
    address: string,
    message: AskMessage,
    token: CancellationToken,
  ): Promise<AskAnswer> {
    const {call} = this.clientFor(address);
    const answer = call.claims.ask.query(message, {signal: token.signal});
    return answer as Promise<AskAnswer>;
  }

  override gather(
    address: string,
    writes: readonly RowWrite[],
    token: CancellationToken,
  ): Promise<readonly RowResult[]> {
    const {call} = this.clientFor(address);
    const input = {writes: writes.map(withValue)};
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
    const known = this.clients.get(address);
    if (known !== undefined) {
      return known;
    }
    this.makeRoom();
    const client = createRpcClient<ClaimRouter>(address, this.peerKey);
    this.clients.set(address, client);
    return client;
  }

  private makeRoom(): void {
    if (this.clients.size < CLIENT_LIMIT) {
      return;
    }
    const [oldest] = this.clients;
    this.clients.delete(oldest![0]);
    oldest![1].dispose();
  }
}

/** Claim rows are written, never deleted, through gatherers. */
function withValue({key, value, condition}: RowWrite) {
  return {key, value: value ?? '', condition};
}
