/** Times and behaviour of a lease. */
export interface LeaseSettings {
  readonly durationMilliseconds: number;
  /** Time before the expiry in which the lease isn't used, because clocks may run at different speeds. */
  readonly marginMilliseconds: number;
  /** Time limit of one call to the table. */
  readonly callMilliseconds: number;
  /**
   * Whether a holder whose renewal failed keeps acting until its last confirmed write expires, which all other
   * processes wait for. Otherwise it stops acting until a call is confirmed again.
   */
  readonly actsUnrenewed: boolean;
}

/** Defaults. One call every 8 s per instance keeps 370 instances below 50 reads per second. */
export const defaultLeaseSettings: LeaseSettings = {
  durationMilliseconds: 30_000,
  marginMilliseconds: 3_000,
  callMilliseconds: 2_000,
  actsUnrenewed: false,
};
