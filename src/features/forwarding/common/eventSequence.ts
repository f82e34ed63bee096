import {EventFramer, StreamEvent} from './eventFramer.js';

/** The result of adding a chunk to a sequence. */
export type SequenceResult =
  /** Complete events that continue the sequence. */
  | {readonly kind: 'events'; readonly events: readonly StreamEvent[]}
  /** An event is missing or too long, or only some of the events have identifiers. */
  | {
      readonly kind: 'broken';
      readonly detail: string;
      /** Complete events before the fault, which continue the sequence. */
      readonly events: readonly StreamEvent[];
    };

/**
 * Joins the attempts of one stream so that each event is delivered once and in order, whichever attempt it
 * comes from. An event that was delivered before is dropped; a gap breaks the attempt. Events that were read but
 * not reported as delivered are expected again from the next attempt.
 */
export class EventSequence {
  private framer = new EventFramer();
  private isNumbered: boolean | undefined;
  /** The last event that the current attempt continues: read from it or delivered before it. */
  private lastReadId: number | undefined;

  /** @param deliveredId last event that the caller has already received; undefined at the start of a stream */
  constructor(private deliveredId: number | undefined) {
    this.lastReadId = deliveredId;
  }

  /** The last delivered event. */
  get lastEvent(): number | undefined {
    return this.deliveredId;
  }

  /** Whether the current attempt has stopped in the middle of an event. */
  get hasPartialEvent(): boolean {
    return this.framer.pendingBytes > 0;
  }

  /** Whether another attempt can continue the stream, which requires events with identifiers. */
  get canResume(): boolean {
    return this.isNumbered !== false;
  }

  /** Starts a new attempt and drops what the previous one has read without delivering it. */
  beginAttempt(): void {
    this.framer = new EventFramer();
    this.lastReadId = this.deliveredId;
  }

  /** Adds bytes received by the current attempt. */
  push(chunk: Uint8Array): SequenceResult {
    const events: StreamEvent[] = [];
    for (const event of this.framer.push(chunk)) {
      const problem = this.findProblem(event);
      if (problem !== undefined) {
        return {kind: 'broken', detail: problem, events};
      }
      if (this.isNew(event)) {
        this.lastReadId = event.id ?? this.lastReadId;
        events.push(event);
      }
    }
    if (this.framer.isOverLimit) {
      return {
        kind: 'broken',
        detail: 'an event exceeds the size limit',
        events,
      };
    }
    return {kind: 'events', events};
  }

  /** Records that events were written to the caller; the next attempt continues behind them. */
  recordDelivered(events: readonly StreamEvent[]): void {
    this.deliveredId = events.at(-1)?.id ?? this.deliveredId;
  }

  private findProblem({id}: StreamEvent): string | undefined {
    const isNumbered = id !== undefined;
    if (this.isNumbered !== undefined && this.isNumbered !== isNumbered) {
      return 'only some events have identifiers';
    }
    this.isNumbered = isNumbered;
    if (id === undefined || this.lastReadId === undefined) {
      return undefined;
    }
    return id > this.lastReadId + 1
      ? `event ${id} received after event ${this.lastReadId}`
      : undefined;
  }

  private isNew({id}: StreamEvent): boolean {
    return (
      id === undefined || this.lastReadId === undefined || id > this.lastReadId
    );
  }
}
