import {InstanceView, SystemView} from '../../membership/common/systemView.js';

/** Lookup of the instances of this system. */

/** A running entry process. */
export interface PeerInstance {
  readonly id: string;
  readonly incarnation: string;
  /** IP address and port for requests between instances. */
  readonly address: string;
  readonly region: string;
}

/** Finds instances by incarnation and lists the ready ones. */
export abstract class PeerDirectory {
  /** The instance of an incarnation, whether or not it is ready; undefined when unknown. */
  abstract resolve(incarnation: string): PeerInstance | undefined;
  /** Ready instances, this one included. */
  abstract readyInstances(): readonly PeerInstance[];
}

/** Takes its entries from the system view. */
export class SystemViewPeerDirectory extends PeerDirectory {
  private byIncarnation: ReadonlyMap<string, PeerInstance> = new Map();
  private ready: readonly PeerInstance[] = [];

  /** Replaces all entries by those of a newer view. */
  update(view: SystemView): void {
    const known = view.instances.flatMap(toPeers);
    this.byIncarnation = new Map(
      known.map(({peer}) => [peer.incarnation, peer]),
    );
    this.ready = known.filter(({ready}) => ready).map(({peer}) => peer);
  }

  override resolve(incarnation: string): PeerInstance | undefined {
    return this.byIncarnation.get(incarnation);
  }

  override readyInstances(): readonly PeerInstance[] {
    return this.ready;
  }
}

interface KnownPeer {
  readonly peer: PeerInstance;
  readonly ready: boolean;
}

function toPeers(view: InstanceView): readonly KnownPeer[] {
  if (view.incarnation === undefined) {
    return [];
  }
  const {id, region, entryPeerAddress} = view.member;
  const peer: PeerInstance = {
    id,
    region,
    incarnation: view.incarnation,
    address: entryPeerAddress,
  };
  return [{peer, ready: view.ready}];
}
