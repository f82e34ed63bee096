import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {
  InstanceMember,
  UpstreamMember,
} from '../../../infrastructure/membership/common/membershipList.js';
import {
  Configuration,
  emptyConfiguration,
} from '../../configuration/common/configuration.js';
import {InstanceView, Standing, SystemView} from './systemView.js';

/** What a view is made of. */
export type ViewParts = Omit<SystemView, 'sequence'>;

/** Keeps the newest view and counts its changes; a part that says the same keeps its identity. */
export class ViewPublisher extends DisposableOwner {
  private readonly changed = this.register(new Emitter<SystemView>());
  private view: SystemView = {
    sequence: 1,
    standing: {kind: 'starting'},
    configuration: emptyConfiguration,
    instances: [],
    upstreams: [],
  };

  /** Fires after each change. */
  readonly onDidChange = this.changed.event;

  get current(): SystemView {
    return this.view;
  }

  /** Takes new parts; does nothing when they say the same. */
  publish(parts: ViewParts): void {
    const instances = this.sameOr(parts.instances);
    const {configuration, upstreams} = parts;
    if (
      sameStanding(parts.standing, this.view.standing) &&
      configuration === this.view.configuration &&
      upstreams === this.view.upstreams &&
      instances === this.view.instances
    ) {
      return;
    }
    const sequence = this.view.sequence + 1;
    this.view = {...parts, instances, sequence};
    this.changed.fire(this.view);
  }

  private sameOr(instances: readonly InstanceView[]): readonly InstanceView[] {
    const before = this.view.instances;
    const isSame =
      before.length === instances.length &&
      instances.every((view, index) => sameInstance(view, before[index]));
    return isSame ? before : instances;
  }
}

function sameInstance(
  left: InstanceView,
  right: InstanceView | undefined,
): boolean {
  return (
    left.ready === right?.ready &&
    left.incarnation === right.incarnation &&
    sameMember(left.member, right.member)
  );
}

function sameMember(left: InstanceMember, right: InstanceMember): boolean {
  return left === right || JSON.stringify(left) === JSON.stringify(right);
}

function sameStanding(left: Standing, right: Standing): boolean {
  return left.kind === right.kind;
}

/** Which parts of a view a client has; each is named by the sequence at which it last changed. */
export interface ViewPosition {
  /** The control process that the numbers come from. */
  readonly source: string;
  readonly sequence: number;
}

/** A change of the view: only parts that differ from what the client has. */
export interface ViewUpdate {
  readonly position: ViewPosition;
  readonly standing: Standing;
  readonly configuration?: Configuration;
  readonly instances?: readonly InstanceView[];
  readonly upstreams?: readonly UpstreamMember[];
}
