import {request} from 'undici';

import {sleep} from '../../test/support/sleep.js';
import {Caller, CallerOutcome, CallerRequest} from './caller.js';

/**
 * A caller that follows the protocol: it caches the response of `GET /v1/entrypoints` for the stated time,
 * uses the next address when a connection fails, and retries a refused request after the stated delay.
 */

/** The result of a request over all its attempts. */
export interface RetriedOutcome {
  readonly lastAttempt: CallerOutcome;
  readonly attempts: number;
  /** Time from the start of the first attempt to the first token of the last attempt. */
  readonly firstTokenMilliseconds: number | undefined;
  readonly wholeMilliseconds: number;
}

interface EntrypointsResponse {
  readonly addresses: readonly string[];
  readonly keepSeconds: number;
}

const ENTRYPOINTS_TIMEOUT_MILLISECONDS = 500;
const ATTEMPT_LIMIT = 6;
/** Delay before the next refresh when no address responded. */
const REFRESH_RETRY_MILLISECONDS = 100;

/** Sends the requests of one client account. The initial addresses stand for those that a name service returns. */
export class RetryingCaller {
  private readonly callers = new Map<string, Caller>();
  private addresses: readonly string[];
  private addressesExpireAt = 0;
  private pendingRefresh: Promise<void> | undefined;

  constructor(
    private readonly initialAddresses: readonly string[],
    private readonly bearerKey: string,
  ) {
    this.addresses = initialAddresses;
  }

  /**
   * Sends a request until it has a complete reply, a refusal without a retry delay, no attempt left, or
   * until the next attempt would start after the given time.
   */
  async callWithRetries(
    call: Omit<CallerRequest, 'bearerKey'>,
    giveUpMilliseconds: number,
  ): Promise<RetriedOutcome> {
    const startedAt = performance.now();
    const giveUpAt = startedAt + giveUpMilliseconds;
    let addressIndex = 0;
    for (let attempts = 1; ; attempts++) {
      await this.refreshAddresses();
      const address = this.addresses[addressIndex % this.addresses.length];
      const attemptStartedAt = performance.now();
      const lastAttempt = await this.getOrCreateCaller(address).stream({
        ...call,
        bearerKey: this.bearerKey,
      });
      const delay = retryDelayAfter(lastAttempt);
      if (lastAttempt.errorKind === 'connectionLost') {
        addressIndex++;
        this.demoteAddress(address);
      }
      const nextAttemptAt = performance.now() + (delay ?? 0);
      if (
        delay === undefined ||
        attempts >= ATTEMPT_LIMIT ||
        nextAttemptAt > giveUpAt
      ) {
        return this.outcome(lastAttempt, attempts, startedAt, attemptStartedAt);
      }
      await sleep(delay);
    }
  }

  async close(): Promise<void> {
    await Promise.all([...this.callers.values()].map(caller => caller.close()));
  }

  private outcome(
    lastAttempt: CallerOutcome,
    attempts: number,
    startedAt: number,
    attemptStartedAt: number,
  ): RetriedOutcome {
    const first = lastAttempt.firstTokenMilliseconds;
    return {
      lastAttempt,
      attempts,
      firstTokenMilliseconds:
        first === undefined ? undefined : attemptStartedAt - startedAt + first,
      wholeMilliseconds: lastAttempt.endedAt - startedAt,
    };
  }

  /** Moves a failed address to the end of the list, so that other requests of this caller avoid it. */
  private demoteAddress(address: string): void {
    if (this.addresses[0] === address && this.addresses.length > 1) {
      this.addresses = [...this.addresses.slice(1), address];
      this.addressesExpireAt = 0;
    }
  }

  private async refreshAddresses(): Promise<void> {
    if (performance.now() < this.addressesExpireAt) {
      return;
    }
    this.pendingRefresh ??= this.requestAddresses().finally(() => {
      this.pendingRefresh = undefined;
    });
    await this.pendingRefresh;
  }

  /** Requests the entrypoints from each known address in turn. Keeps the old list for a short time when all fail. */
  private async requestAddresses(): Promise<void> {
    const known = [...new Set([...this.addresses, ...this.initialAddresses])];
    for (const address of known) {
      const response = await this.fetchEntrypoints(address);
      if (response !== undefined && response.addresses.length > 0) {
        this.addresses = response.addresses;
        this.addressesExpireAt =
          performance.now() + response.keepSeconds * 1000;
        return;
      }
    }
    this.addressesExpireAt = performance.now() + REFRESH_RETRY_MILLISECONDS;
  }

  private async fetchEntrypoints(
    address: string,
  ): Promise<EntrypointsResponse | undefined> {
    try {
      const response = await request(`http://${address}/v1/entrypoints`, {
        headers: {authorization: `Bearer ${this.bearerKey}`},
        headersTimeout: ENTRYPOINTS_TIMEOUT_MILLISECONDS,
        bodyTimeout: ENTRYPOINTS_TIMEOUT_MILLISECONDS,
      });
      const body = await response.body.json();
      return response.statusCode === 200
        ? (body as EntrypointsResponse)
        : undefined;
    } catch {
      return undefined;
    }
  }

  private getOrCreateCaller(address: string): Caller {
    const existing = this.callers.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const created = new Caller(address);
    this.callers.set(address, created);
    return created;
  }
}

/** Milliseconds to wait before a retry; undefined when the request must not be retried. */
function retryDelayAfter(outcome: CallerOutcome): number | undefined {
  if (outcome.whole) {
    return undefined;
  }
  if (outcome.errorKind === 'connectionLost') {
    return 0;
  }
  return outcome.retryAfterMilliseconds;
}
