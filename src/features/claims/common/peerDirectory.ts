import {InstanceView, SystemView} from '../../membership/common/systemView.js';

/** Where other instances of this system are. */

/** A running entry program. */
export interface PeerInstance {
  readonly id: string;
  readonly incarnation: string;
  /** IP address and port for peers. */
  readonly address: string;
  readonly region: string;
}

/** Finds other instances by incarnation, and lists those that are ready. */
export abstract class PeerDirectory {
  /** The instance that runs an incarnation, ready or leaving; undefined when none is known. */
  abstract resolve(incarnation: string): PeerInstance | undefined;
  /** Ready instances, this one included. */
  abstract readyInstances(): readonly PeerInstance[];
}

/** A directory fed from the system view. */
export class ViewPeerDirectory extends PeerDirectory {
  private byIncarnation: ReadonlyMap<string, PeerInstance> = new Map();
  private ready: readonly PeerInstance[] = [];

  /** Replaces what is known by a newer view. */
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
