import {SystemView} from '../../features/membership/common/systemView.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';

/** Logs each view whose upstreams or standing differ from those of the previous one. */
export class ViewLog {
  private previous: SystemView | undefined;

  constructor(private readonly logger: Logger) {}

  /** Writes a line for a view if it differs from the previous one in these parts. */
  record(view: SystemView): void {
    const {previous} = this;
    this.previous = view;
    if (
      previous?.upstreams === view.upstreams &&
      previous.standing.kind === view.standing.kind
    ) {
      return;
    }
    const leaving = view.upstreams.filter(({state}) => state === 'leaving');
    this.logger.decision('systemView', {
      sequence: view.sequence,
      standing: view.standing.kind,
      instances: view.instances.length,
      upstreams: view.upstreams.length,
      leaving: leaving.map(({id}) => id),
    });
  }
}
