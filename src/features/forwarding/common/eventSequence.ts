import {MemoryHold} from '../../../base/common/memoryBudget.js';
import {EventFramer, StreamEvent} from './eventFramer.js';

/** The result of adding a chunk to a sequence. */
export type SequenceResult =
  /** There is no memory for the event that has begun; complete events before it continue the sequence. */
  | {readonly kind: 'noMemory'; readonly events: readonly StreamEvent[]}
  /** Complete events that continue the sequence. */
  | {readonly kind: 'events'; readonly events: readonly StreamEvent[]}
  /** An event is missing or too long, or only some of the events have identifiers. */
  | {
      readonly kind: 'broken';
      readonly detail: string;
      /** Complete events before the fault, which continue the sequence. */
      readonly events: readonly StreamEvent[];
    };

/** The identifier of the first event of a stream; an upstream may count from one less. */
const FIRST_ID = 1;

/**
 * Joins the attempts of one stream so that each event is delivered once and in order, whichever attempt it
 * comes from. An attempt may begin with events that were delivered before, which are dropped; from there on its events
 * count up by one, and any other identifier breaks it. Events that were read but not reported as delivered are expected
 * again from the next attempt.
 */
export class EventSequence {
  private framer = new EventFramer();
  private isNumbered: boolean | undefined;
  /** The last event that the current attempt continues: read from it or delivered before it. */
  private lastReadId: number | undefined;
  /** The last event of the current attempt, delivered before or not. */
  private lastAttemptId: number | undefined;

  /**
   * @param deliveredId last event that the caller has already received; undefined at the start of a stream
   * @param requiresIds whether each event must have an identifier, since another attempt may continue the stream
   */
  constructor(
    private deliveredId: number | undefined,
    private readonly requiresIds: boolean,
  ) {
    this.lastReadId = deliveredId;
  }

  /** The last delivered event. */
  get lastEvent(): number | undefined {
    return this.deliveredId;
  }

  /** Whether the caller has received an event, from this or an earlier response. */
  get hasEvents(): boolean {
    return this.deliveredId !== undefined || this.isNumbered === false;
  }

  /** Whether the current attempt has stopped in the middle of an event. */
  get hasPartialEvent(): boolean {
    return this.framer.pendingBytes > 0;
  }

  /**
   * Starts a new attempt and drops what the previous one has read without delivering it.
   * @param hold accounts the incomplete event; its owner disposes of it
   */
  beginAttempt(hold?: MemoryHold): void {
    this.framer = new EventFramer(hold);
    this.lastReadId = this.deliveredId;
    this.lastAttemptId = undefined;
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
    if (this.framer.isOutOfMemory) {
      return {kind: 'noMemory', events};
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

  private findProblem({id, hasData}: StreamEvent): string | undefined {
    const isNumbered = id !== undefined;
    if (!isNumbered && this.requiresIds) {
      return 'an event has no identifier, or several';
    }
    if (this.isNumbered !== undefined && this.isNumbered !== isNumbered) {
      return 'only some events have identifiers';
    }
    this.isNumbered = isNumbered;
    if (!isNumbered) {
      return undefined;
    }
    if (!hasData && this.requiresIds) {
      return `event ${id} has no data`;
    }
    return this.findWrongOrder(id);
  }

  private findWrongOrder(id: number): string | undefined {
    const previous = this.lastAttemptId;
    const isExpected =
      previous === undefined
        ? id <= (this.lastReadId ?? FIRST_ID - 1) + 1
        : id === previous + 1;
    if (!isExpected) {
      return `event ${id} received after event ${previous ?? this.lastReadId ?? 'none'}`;
    }
    this.lastAttemptId = id;
    return undefined;
  }

  private isNew({id}: StreamEvent): boolean {
    return (
      id === undefined || this.lastReadId === undefined || id > this.lastReadId
    );
  }
}
