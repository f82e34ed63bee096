/** The time that an instance has for the requests in progress once it was told to stop. */
export interface StopWindow {
  /** Monotonic milliseconds at which the stop began. */
  readonly startedAt: number;
  /**
   * Monotonic milliseconds at which requests without a whole answer are ended, as far as is known now: earlier than before once
   * the machine was suspended for a part of the stop.
   */
  readonly endsAt: number;
}

/** Log fields that place the end of a request in the stop during which it ended. */
export interface StopTimes {
  /** Milliseconds from the beginning of the stop until the request was received; negative if it was received before. */
  readonly received: number;
  /** Milliseconds from the beginning of the stop until the request ended. */
  readonly ended: number;
  /** Milliseconds that were left of the stop. */
  readonly left: number;
}

/** Describes when a request was received and ended, relative to a stop. */
export function describeStopTimes(
  {startedAt, endsAt}: StopWindow,
  receivedAt: number,
  now: number,
): StopTimes {
  return {
    received: Math.round(receivedAt - startedAt),
    ended: Math.round(now - startedAt),
    left: Math.round(endsAt - now),
  };
}
