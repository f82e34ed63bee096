import {EventFramer, StreamEvent} from './eventFramer.js';

/** What became of a chunk of a stream. */
export type SequenceStep =
  /** Whole events that follow what was handed on before. */
  | {readonly kind: 'events'; readonly events: readonly StreamEvent[]}
  /** An event is missing, has no identifier after others had one, or is too long. */
  | {readonly kind: 'broken'; readonly detail: string};

/**
 * Joins the runs of one stream: hands on each event once and in order, whichever run it comes from.
 * An event that was handed on before is dropped, a gap breaks the run.
 */
export class EventSequence {
  private framer = new EventFramer();
  private isNumbered: boolean | undefined;

  /** @param last the event that the caller has already; undefined at the start of a stream. */
  constructor(private last: number | undefined) {}

  /** The last event that was handed on. */
  get lastEvent(): number | undefined {
    return this.last;
  }

  /** Whether the run has stopped in the middle of an event. */
  get isInsideEvent(): boolean {
    return this.framer.pendingBytes > 0;
  }

  /** Whether the stream can go on in another run: its events have identifiers. */
  get canResume(): boolean {
    return this.isNumbered !== false;
  }

  /** A new run begins; what the last one left of an event is dropped. */
  beginRun(): void {
    this.framer = new EventFramer();
  }

  /** Takes bytes of the current run. */
  push(chunk: Uint8Array): SequenceStep {
    const events: StreamEvent[] = [];
    for (const event of this.framer.push(chunk)) {
      const problem = this.check(event);
      if (problem !== undefined) {
        return {kind: 'broken', detail: problem};
      }
      if (this.isNew(event)) {
        this.last = event.id ?? this.last;
        events.push(event);
      }
    }
    if (this.framer.isOverLimit) {
      return {kind: 'broken', detail: 'an event is too long'};
    }
    return {kind: 'events', events};
  }

  private check({id}: StreamEvent): string | undefined {
    const isNumbered = id !== undefined;
    if (this.isNumbered !== undefined && this.isNumbered !== isNumbered) {
      return 'events with and without identifiers';
    }
    this.isNumbered = isNumbered;
    if (id === undefined || this.last === undefined) {
      return undefined;
    }
    return id > this.last + 1
      ? `event ${id} follows event ${this.last}`
      : undefined;
  }

  private isNew({id}: StreamEvent): boolean {
    return id === undefined || this.last === undefined || id > this.last;
  }
}
