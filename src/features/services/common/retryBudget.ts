/** Bounds retries to a share of successes, so that retries can't multiply the load of a failing service. */
export class RetryBudget {
  private tokens: number;

  /** `share` of a retry is earned by each success; at most `limit` are saved up. */
  constructor(
    private readonly share: number,
    private readonly limit: number,
  ) {
    this.tokens = limit;
  }

  /** Counts a success. */
  earn(): void {
    this.tokens = Math.min(this.limit, this.tokens + this.share);
  }

  /** Takes one retry if there is one. */
  take(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens--;
    return true;
  }
}
