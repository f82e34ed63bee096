/** Timeouts and limits of request forwarding. */
export interface ForwardingSettings {
  /**
   * Timeout for connecting to an upstream. Data centres are less than a millisecond apart, so a healthy
   * upstream accepts within a few milliseconds.
   */
  readonly connectMilliseconds: number;
  /**
   * Timeout for the report of an upstream that is probed. Reports need no slot and data centres are a
   * millisecond apart, so it covers the connection and some scheduling delay in this process.
   */
  readonly trialMilliseconds: number;
  /**
   * Timeout for moving a running stream to another path. If it passes and no events arrive, the stream is
   * restarted.
   */
  readonly repathMilliseconds: number;
  /**
   * Silence after which a stream is restarted although other streams progress through all its upstreams:
   * its connection may be dead without having been closed. Long, since streams also wait for capacity and
   * for prefill.
   */
  readonly giveUpSilenceMilliseconds: number;
  /** Interval between checks for silent streams. */
  readonly watchPeriodMilliseconds: number;
  /** Minimum remaining time for another attempt; no attempt could finish in less. */
  readonly leastTimeLeftMilliseconds: number;
  /** Maximum time that a request waits for a confirmation of the configuration if it needs one. */
  readonly confirmationWaitMilliseconds: number;
  /** Maximum size of a response that is buffered until it is complete. */
  readonly heldAnswerBytes: number;
}

/** Defaults for latency targets of 200 ms between events and 500 ms to the first event. */
export const defaultForwardingSettings: ForwardingSettings = {
  connectMilliseconds: 250,
  trialMilliseconds: 30,
  repathMilliseconds: 100,
  giveUpSilenceMilliseconds: 1_500,
  watchPeriodMilliseconds: 10,
  leastTimeLeftMilliseconds: 20,
  confirmationWaitMilliseconds: 250,
  heldAnswerBytes: 1024 * 1024,
};
