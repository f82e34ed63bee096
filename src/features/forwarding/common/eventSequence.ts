import {EventFramer, StreamEvent} from './eventFramer.js';

/** The result of adding a chunk to a sequence. */
export type SequenceResult =
  /** Complete events that continue the sequence. */
  | {readonly kind: 'events'; readonly events: readonly StreamEvent[]}
  /** An event is missing or too long, or only some of the events have identifiers. */
  | {readonly kind: 'broken'; readonly detail: string};

/**
 * Joins the attempts of one stream so that each event is delivered once and in order, whichever attempt it
 * comes from. An event that was delivered before is dropped; a gap breaks the attempt.
 */
export class EventSequence {
  private framer = new EventFramer();
  private isNumbered: boolean | undefined;

  /** @param lastId last event that the caller has already received; undefined at the start of a stream */
  constructor(private lastId: number | undefined) {}

  /** The last delivered event. */
  get lastEvent(): number | undefined {
    return this.lastId;
  }

  /** Whether the current attempt has stopped in the middle of an event. */
  get hasPartialEvent(): boolean {
    return this.framer.pendingBytes > 0;
  }

  /** Whether another attempt can continue the stream, which requires events with identifiers. */
  get canResume(): boolean {
    return this.isNumbered !== false;
  }

  /** Starts a new attempt and drops an incomplete event of the previous one. */
  beginAttempt(): void {
    this.framer = new EventFramer();
  }

  /** Adds bytes received by the current attempt. */
  push(chunk: Uint8Array): SequenceResult {
    const events: StreamEvent[] = [];
    for (const event of this.framer.push(chunk)) {
      const problem = this.findProblem(event);
      if (problem !== undefined) {
        return {kind: 'broken', detail: problem};
      }
      if (this.isNew(event)) {
        this.lastId = event.id ?? this.lastId;
        events.push(event);
      }
    }
    if (this.framer.isOverLimit) {
      return {kind: 'broken', detail: 'an event exceeds the size limit'};
    }
    return {kind: 'events', events};
  }

  private findProblem({id}: StreamEvent): string | undefined {
    const isNumbered = id !== undefined;
    if (this.isNumbered !== undefined && this.isNumbered !== isNumbered) {
      return 'only some events have identifiers';
    }
    this.isNumbered = isNumbered;
    if (id === undefined || this.lastId === undefined) {
      return undefined;
    }
    return id > this.lastId + 1
      ? `event ${id} received after event ${this.lastId}`
      : undefined;
  }

  private isNew({id}: StreamEvent): boolean {
    return id === undefined || this.lastId === undefined || id > this.lastId;
  }
}
