import {SystemView} from './systemView.js';
import {ViewPosition, ViewUpdate} from './viewPublisher.js';

interface PartSequences {
  readonly configuration: number;
  readonly instances: number;
  readonly upstreams: number;
}

/** Knows at which sequence each part of the view last changed, and answers with what a client lacks. */
export class ViewHistory {
  private parts: PartSequences;

  constructor(
    private readonly source: string,
    private view: SystemView,
  ) {
    const {sequence} = view;
    this.parts = {
      configuration: sequence,
      instances: sequence,
      upstreams: sequence,
    };
  }

  /** Takes the next view. */
  note(view: SystemView): void {
    const before = this.view;
    const {sequence} = view;
    this.parts = {
      configuration:
        view.configuration === before.configuration
          ? this.parts.configuration
          : sequence,
      instances:
        view.instances === before.instances ? this.parts.instances : sequence,
      upstreams:
        view.upstreams === before.upstreams ? this.parts.upstreams : sequence,
    };
    this.view = view;
  }

  /** Whether the client has the newest view. */
  isCurrent(since: ViewPosition | undefined): boolean {
    return (
      since?.source === this.source && since.sequence === this.view.sequence
    );
  }

  /** What the client lacks. */
  updateSince(since: ViewPosition | undefined): ViewUpdate {
    const known = since?.source === this.source ? since.sequence : 0;
    const {sequence, standing} = this.view;
    const {configuration, instances, upstreams} = this.view;
    return {
      position: {source: this.source, sequence},
      standing,
      ...(this.parts.configuration > known ? {configuration} : {}),
      ...(this.parts.instances > known ? {instances} : {}),
      ...(this.parts.upstreams > known ? {upstreams} : {}),
    };
  }
}
