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

/** The content of a view. */
export type ViewParts = Omit<SystemView, 'sequence'>;

/** Holds the newest view and increments its sequence on change; an equal instance list keeps its object identity. */
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

  /** Publishes a new view unless it equals the current one. */
  publish(parts: ViewParts): void {
    const instances = this.reuseIfEqual(parts.instances);
    const {configuration, upstreams} = parts;
    if (
      areStandingsEqual(parts.standing, this.view.standing) &&
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

  private reuseIfEqual(
    instances: readonly InstanceView[],
  ): readonly InstanceView[] {
    const previous = this.view.instances;
    const isSame =
      previous.length === instances.length &&
      instances.every((view, index) =>
        areInstancesEqual(view, previous[index]),
      );
    return isSame ? previous : instances;
  }
}

function areInstancesEqual(
  left: InstanceView,
  right: InstanceView | undefined,
): boolean {
  return (
    left.ready === right?.ready &&
    left.incarnation === right.incarnation &&
    areMembersEqual(left.member, right.member)
  );
}

function areMembersEqual(left: InstanceMember, right: InstanceMember): boolean {
  return left === right || JSON.stringify(left) === JSON.stringify(right);
}

function areStandingsEqual(left: Standing, right: Standing): boolean {
  return left.kind === right.kind;
}

/** The view that a client has, by the process that numbered it and the sequence. */
export interface ViewPosition {
  /** The control process that assigned the sequence. */
  readonly source: string;
  readonly sequence: number;
}

/** A partial view: only the parts that differ from what the client has. */
export interface ViewUpdate {
  readonly position: ViewPosition;
  readonly standing: Standing;
  readonly configuration?: Configuration;
  readonly instances?: readonly InstanceView[];
  readonly upstreams?: readonly UpstreamMember[];
}
