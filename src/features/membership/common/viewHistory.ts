import {SystemView} from './systemView.js';
import {ViewPosition, ViewUpdate} from './viewPublisher.js';

interface PartSequences {
  readonly configuration: number;
  readonly instances: number;
  readonly upstreams: number;
}

/** Tracks the sequence at which each part of the view last changed, to send clients only the parts that they lack. */
export class ViewHistory {
  private partSequences: PartSequences;

  constructor(
    private readonly source: string,
    private view: SystemView,
  ) {
    const {sequence} = view;
    this.partSequences = {
      configuration: sequence,
      instances: sequence,
      upstreams: sequence,
    };
  }

  update(view: SystemView): void {
    const previous = this.view;
    const {sequence} = view;
    this.partSequences = {
      configuration:
        view.configuration === previous.configuration
          ? this.partSequences.configuration
          : sequence,
      instances:
        view.instances === previous.instances
          ? this.partSequences.instances
          : sequence,
      upstreams:
        view.upstreams === previous.upstreams
          ? this.partSequences.upstreams
          : sequence,
    };
    this.view = view;
  }

  /** Whether a client at this position has the newest view. */
  isCurrent(since: ViewPosition | undefined): boolean {
    return (
      since?.source === this.source && since.sequence === this.view.sequence
    );
  }

  /** The parts that a client at this position lacks; all parts if the position is of another process. */
  updateSince(since: ViewPosition | undefined): ViewUpdate {
    const knownSequence = since?.source === this.source ? since.sequence : 0;
    const {sequence, standing} = this.view;
    const {configuration, instances, upstreams} = this.view;
    return {
      position: {source: this.source, sequence},
      standing,
      ...(this.partSequences.configuration > knownSequence
        ? {configuration}
        : {}),
      ...(this.partSequences.instances > knownSequence ? {instances} : {}),
      ...(this.partSequences.upstreams > knownSequence ? {upstreams} : {}),
    };
  }
}
