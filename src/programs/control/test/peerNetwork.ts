import {failure, Result, success} from '../../../base/common/result.js';
import {
  PeerConnection,
  PeerError,
} from '../../../features/peers/common/peerConnection.js';
import {PeerResponder} from '../../../features/peers/common/peerResponder.js';

/** Simulated network between instances. The control address of an instance `a` is `a:3`. */
export abstract class PeerNetwork {
  /** Network partitions by instance: only instances of the same group reach each other. The default is group 0. */
  readonly groups = new Map<string, number>();

  /** Creates the peer connection of an instance. */
  connectionOf(id: string): PeerConnection {
    return new NetworkConnection(this, id);
  }

  canReach(from: string, to: string): boolean {
    return this.groupOf(from) === this.groupOf(to);
  }

  /** Resolves after the network delay of one direction. */
  abstract delay(): Promise<void>;

  /** Whether the next call is lost although its target is reachable. */
  losesCall(): boolean {
    return false;
  }

  abstract responderOf(id: string): PeerResponder | undefined;

  private groupOf(id: string): number {
    return this.groups.get(id) ?? 0;
  }
}

/** Passes the calls of an instance directly to the responders, serialized as JSON. */
class NetworkConnection extends PeerConnection {
  constructor(
    private readonly network: PeerNetwork,
    private readonly from: string,
  ) {
    super();
  }

  override exchange(
    address: string,
    request: Parameters<PeerResponder['exchange']>[0],
  ) {
    return this.call(address, peer => peer.exchange(request));
  }

  override notify(
    address: string,
    notice: Parameters<PeerResponder['notice']>[0],
  ) {
    return this.call(address, peer => peer.notice(notice));
  }

  override roster(address: string) {
    return this.call(address, peer => peer.roster());
  }

  override records(address: string) {
    return this.call(address, peer => peer.records());
  }

  override snapshot(address: string) {
    return this.call(address, peer => peer.snapshot());
  }

  private async call<T>(
    address: string,
    run: (peer: PeerResponder) => T,
  ): Promise<Result<T, PeerError>> {
    await this.network.delay();
    const to = address.split(':')[0] ?? '';
    const isReachable = this.network.canReach(this.from, to);
    const responder = isReachable ? this.network.responderOf(to) : undefined;
    if (responder === undefined || this.network.losesCall()) {
      return failure({kind: 'unreachable', detail: `${address} is cut off`});
    }
    const response = JSON.parse(JSON.stringify(run(responder))) as T;
    await this.network.delay();
    return success(response);
  }
}
