/** A token bucket whose rate may change between refills. Times are monotonic milliseconds. */
export class TokenBucket {
  /** @param tokens tokens at the beginning, at most `capacity` */
  constructor(
    private readonly capacity: number,
    private tokens: number,
    private refilledAt: number,
  ) {}

  /** Adds the tokens of the time since the last refill at a rate in tokens a second. */
  refill(now: number, tokensPerSecond: number): void {
    const elapsedSeconds = (now - this.refilledAt) / 1_000;
    this.tokens = Math.min(
      this.capacity,
      this.tokens + elapsedSeconds * tokensPerSecond,
    );
    this.refilledAt = now;
  }

  /** Takes a token; the bucket may become negative, since what was sent anyway counts, too. */
  take(): void {
    this.tokens--;
  }

  /** Takes a number of tokens if all of them are there. */
  tryTake(count: number): boolean {
    if (this.tokens < count) {
      return false;
    }
    this.tokens -= count;
    return true;
  }

  /** Milliseconds until a token is there at a rate in tokens a second; 0 if there is one. */
  millisecondsUntilToken(tokensPerSecond: number): number {
    const missing = Math.max(0, 1 - this.tokens);
    return missing === 0 ? 0 : (missing / tokensPerSecond) * 1_000;
  }
}
