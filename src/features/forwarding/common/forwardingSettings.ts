/** Times and limits of forwarding; each says where its figure comes from. */
export interface ForwardingSettings {
  /** Time to reach an upstream: data centres are under a millisecond apart, so a sound one takes a few. */
  readonly connectMilliseconds: number;
  /**
   * Time in which an upstream that is asked for a report answers: reports need no slot, and data centres
   * are a millisecond apart, so it is the connection and some delay in this process.
   */
  readonly trialMilliseconds: number;
  /** Time of an order to move a running stream; after it another stream is begun instead. */
  readonly repathMilliseconds: number;
  /**
   * Silence after which a stream is begun again although others flow through all its upstreams: its
   * connection may be dead without a sign. Long, since streams also wait for room and for their turn.
   */
  readonly giveUpSilenceMilliseconds: number;
  /** How often silent streams are looked for. */
  readonly watchPeriodMilliseconds: number;
  /** Time left below which no further attempt is made: nothing could end in it. */
  readonly leastTimeLeftMilliseconds: number;
  /** Longest wait for a confirmation of the configuration by a request that needs one. */
  readonly confirmationWaitMilliseconds: number;
  /** Bytes of an answer that are held until it is whole. */
  readonly heldAnswerBytes: number;
}

/** What serves targets of 200 ms between events and 500 ms to the first. */
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
