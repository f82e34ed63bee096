import {Entrypoints, TestClient} from './testClient.js';

/** Caches the entrypoints of a caller; refreshes them only when their maximum age has passed, as callers do. */
export class EntrypointCache {
  private cached: Entrypoints | undefined;
  private fetchedAt = 0;

  constructor(
    private readonly client: TestClient,
    private readonly seedAddresses: readonly string[],
    private readonly maximumAgeMilliseconds: number,
  ) {}

  /** The cached addresses, or the seed addresses before the first response. */
  get addresses(): readonly string[] {
    return this.cached?.addresses ?? this.seedAddresses;
  }

  /** Returns the cached entrypoints; refreshes them from the first address that responds when they are too old. */
  async current(): Promise<Entrypoints | undefined> {
    if (Date.now() - this.fetchedAt < this.maximumAgeMilliseconds) {
      return this.cached;
    }
    for (const address of this.addresses) {
      const response = await this.client.entrypoints(address);
      if (response !== undefined && response.addresses.length > 0) {
        this.cached = response;
        this.fetchedAt = Date.now();
        return response;
      }
    }
    return this.cached;
  }
}
