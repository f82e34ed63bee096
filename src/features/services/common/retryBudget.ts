/** Limits retries to a fraction of successful calls, so that they cannot multiply the load on a failing service. */
export class RetryBudget {
  private tokens: number;

  /** Each success adds `share` of a retry; at most `limit` retries accumulate. */
  constructor(
    private readonly share: number,
    private readonly limit: number,
  ) {
    this.tokens = limit;
  }

  recordSuccess(): void {
    this.tokens = Math.min(this.limit, this.tokens + this.share);
  }

  /** Takes one retry from the budget; returns false if none is left. */
  tryTakeRetry(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens--;
    return true;
  }
}
