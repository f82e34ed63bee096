import {CancellationToken} from '../../../base/common/cancellation.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {Result, failure, success} from '../../../base/common/result.js';
import {RpcClientFactory} from '../../../infrastructure/rpc/node/rpc.js';
import {PeerConnection, PeerError} from '../common/peerConnection.js';
import {
  AgedRecord,
  ExchangeResponse,
  ExchangeRequest,
  PeerNotice,
  PeerNoticeResponse,
  PeerSnapshot,
  RosterResponse,
} from '../common/peerMessages.js';
import {PeerRouter} from './peerRouter.js';

/** Maximum number of cached clients; the least recently used is evicted first. */
const CLIENT_LIMIT = 512;

type PeerClient = ReturnType<
  typeof RpcClientFactory.prototype.clientFor<PeerRouter>
>;
type PeerCalls = PeerClient['peer'];

/** Calls peers over tRPC. A bounded cache of clients shares one set of connections. */
export class RpcPeerConnection extends PeerConnection implements Disposable {
  private readonly clients = new Map<string, PeerClient>();
  private readonly connections: RpcClientFactory;

  constructor(peerKey: string) {
    super();
    this.connections = new RpcClientFactory(peerKey);
  }

  override exchange(
    address: string,
    request: ExchangeRequest,
    token: CancellationToken,
  ): Promise<Result<ExchangeResponse, PeerError>> {
    return this.call(address, peer =>
      peer.exchange.mutate(request, {signal: token.signal}),
    );
  }

  override notify(
    address: string,
    notice: PeerNotice,
    token: CancellationToken,
  ): Promise<Result<PeerNoticeResponse, PeerError>> {
    // The router's schema of operations is loose; they were validated when proposed.
    const message = notice as unknown as Parameters<
      PeerCalls['notice']['mutate']
    >[0];
    return this.call(address, peer =>
      peer.notice.mutate(message, {signal: token.signal}),
    );
  }

  override roster(
    address: string,
    token: CancellationToken,
  ): Promise<Result<RosterResponse, PeerError>> {
    return this.call(address, peer =>
      peer.roster.query(undefined, {signal: token.signal}),
    );
  }

  override records(
    address: string,
    token: CancellationToken,
  ): Promise<Result<readonly AgedRecord[], PeerError>> {
    return this.call(address, peer =>
      peer.records.query(undefined, {signal: token.signal}),
    );
  }

  override snapshot(
    address: string,
    token: CancellationToken,
  ): Promise<Result<PeerSnapshot, PeerError>> {
    return this.call(address, peer =>
      peer.snapshot.query(undefined, {signal: token.signal}),
    );
  }

  dispose(): void {
    this.clients.clear();
    this.connections.dispose();
  }

  private async call<T>(
    address: string,
    send: (peer: PeerCalls) => Promise<unknown>,
  ): Promise<Result<T, PeerError>> {
    try {
      const response = await send(this.client(address).peer);
      return success(response as T);
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      return failure({kind: 'unreachable', detail});
    }
  }

  private client(address: string): PeerClient {
    const client =
      this.clients.get(address) ??
      this.connections.clientFor<PeerRouter>(address);
    this.clients.delete(address);
    this.clients.set(address, client);
    const oldest = this.clients.keys().next().value;
    if (this.clients.size > CLIENT_LIMIT && oldest !== undefined) {
      this.clients.delete(oldest);
    }
    return client;
  }
}
