import {failure, Result, success} from '../../../base/common/result.js';
import {
  PeerConnection,
  PeerError,
} from '../../../features/peers/common/peerConnection.js';
import {PeerResponder} from '../../../features/peers/common/peerResponder.js';
import {InstanceMember} from '../../../platform/membership/common/membershipList.js';

/** The network between instances of one test; an instance `a` has the control address `a:3`. */
export abstract class PeerNetwork {
  /** Instances reach each other only inside a group; all start in group 0. */
  readonly groups = new Map<string, number>();

  /** The peer port of an instance. */
  connectionOf(id: string): PeerConnection {
    return new NetworkConnection(this, id);
  }

  joins(from: string, to: string): boolean {
    return this.groupOf(from) === this.groupOf(to);
  }

  /** Passes when a call or its answer has gone one way. */
  abstract travel(): Promise<void>;

  /** Whether a call that could arrive is lost. */
  loses(): boolean {
    return false;
  }

  abstract responderOf(id: string): PeerResponder | undefined;

  private groupOf(id: string): number {
    return this.groups.get(id) ?? 0;
  }
}

/** Carries an instance's calls straight to the responders, by way of JSON. */
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
    await this.network.travel();
    const to = address.split(':')[0] ?? '';
    const isJoined = this.network.joins(this.from, to);
    const responder = isJoined ? this.network.responderOf(to) : undefined;
    if (responder === undefined || this.network.loses()) {
      return failure({kind: 'unreachable', detail: `${address} is cut off`});
    }
    const answer = JSON.parse(JSON.stringify(run(responder))) as T;
    await this.network.travel();
    return success(answer);
  }
}

/** A live instance as the platform's list shows it. */
export function instanceMember(id: string): InstanceMember {
  return {
    role: 'instance',
    id,
    dataCentre: 'west-1',
    region: 'west',
    callerAddress: `${id}:1`,
    entryPeerAddress: `${id}:2`,
    controlAddress: `${id}:3`,
    state: 'live',
  };
}
