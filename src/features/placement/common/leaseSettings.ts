/** Times of a lease in milliseconds. */
export interface LeaseSettings {
  readonly durationMilliseconds: number;
  /** Kept free before the expiry, for clocks that run at different speeds. */
  readonly marginMilliseconds: number;
  /** Longest time of one call to the table. */
  readonly callMilliseconds: number;
  /**
   * Whether a holder whose renewal failed acts on until the end of what was confirmed, for which all others
   * wait. Otherwise it stands still until its next call is confirmed.
   */
  readonly actsUnrenewed: boolean;
}

/** One call every 8 s per instance keeps 370 instances under 50 reads a second. */
export const defaultLeaseSettings: LeaseSettings = {
  durationMilliseconds: 30_000,
  marginMilliseconds: 3_000,
  callMilliseconds: 2_000,
  actsUnrenewed: false,
};
