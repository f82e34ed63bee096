import {request} from 'undici';

import {sleep} from '../../test/support/sleep.js';
import {Caller, CallerOutcome, CallerRequest} from './caller.js';

/**
 * A caller as the protocol asks it to be: it keeps the answer of `GET /v1/entrypoints` for its seconds,
 * goes to the next address when a connection fails, and comes back after the time that a refusal names.
 */

/** What a request came to over all its attempts. */
export interface FollowedOutcome {
  readonly last: CallerOutcome;
  readonly attempts: number;
  /** Milliseconds from the first attempt's start to the last one's first token. */
  readonly firstTokenMilliseconds: number | undefined;
  readonly wholeMilliseconds: number;
}

interface EntrypointsAnswer {
  readonly addresses: readonly string[];
  readonly keepSeconds: number;
}

const ASK_MILLISECONDS = 500;
const ATTEMPTS = 6;
/** Pause after all addresses failed. */
const ROUND_PAUSE_MILLISECONDS = 100;

/** Calls for one client account; all addresses of the system are known from the start, as from a name service. */
export class FollowingCaller {
  private readonly callers = new Map<string, Caller>();
  private addresses: readonly string[];
  private keepUntil = 0;
  private asking: Promise<void> | undefined;

  constructor(
    private readonly seeds: readonly string[],
    private readonly bearerKey: string,
  ) {
    this.addresses = seeds;
  }

  /** Follows one request to a whole reply, a refusal for good, or the end of its time. */
  async follow(
    call: Omit<CallerRequest, 'bearerKey'>,
    giveUpMilliseconds: number,
  ): Promise<FollowedOutcome> {
    const startedAt = performance.now();
    const giveUpAt = startedAt + giveUpMilliseconds;
    let place = 0;
    for (let attempts = 1; ; attempts++) {
      await this.refresh();
      const address = this.addresses[place % this.addresses.length];
      const attemptAt = performance.now();
      const last = await this.callerFor(address).stream({
        ...call,
        bearerKey: this.bearerKey,
      });
      const pause = pauseAfter(last);
      if (last.errorKind === 'connectionLost') {
        place++;
        this.dropFirst(address);
      }
      const next = performance.now() + (pause ?? 0);
      if (pause === undefined || attempts >= ATTEMPTS || next > giveUpAt) {
        return this.outcome(last, attempts, startedAt, attemptAt);
      }
      await sleep(pause);
    }
  }

  async close(): Promise<void> {
    await Promise.all([...this.callers.values()].map(one => one.close()));
  }

  private outcome(
    last: CallerOutcome,
    attempts: number,
    startedAt: number,
    attemptAt: number,
  ): FollowedOutcome {
    const first = last.firstTokenMilliseconds;
    return {
      last,
      attempts,
      firstTokenMilliseconds:
        first === undefined ? undefined : attemptAt - startedAt + first,
      wholeMilliseconds: last.endedAt - startedAt,
    };
  }

  /** Other requests of this caller needn't find out for themselves. */
  private dropFirst(address: string): void {
    if (this.addresses[0] === address && this.addresses.length > 1) {
      this.addresses = [...this.addresses.slice(1), address];
      this.keepUntil = 0;
    }
  }

  private async refresh(): Promise<void> {
    if (performance.now() < this.keepUntil) {
      return;
    }
    this.asking ??= this.ask().finally(() => {
      this.asking = undefined;
    });
    await this.asking;
  }

  /** Asks the known addresses in turn; all failing, the old order stays for a little. */
  private async ask(): Promise<void> {
    const known = [...new Set([...this.addresses, ...this.seeds])];
    for (const address of known) {
      const answer = await this.askOne(address);
      if (answer !== undefined && answer.addresses.length > 0) {
        this.addresses = answer.addresses;
        this.keepUntil = performance.now() + answer.keepSeconds * 1000;
        return;
      }
    }
    this.keepUntil = performance.now() + ROUND_PAUSE_MILLISECONDS;
  }

  private async askOne(
    address: string,
  ): Promise<EntrypointsAnswer | undefined> {
    try {
      const answer = await request(`http://${address}/v1/entrypoints`, {
        headers: {authorization: `Bearer ${this.bearerKey}`},
        headersTimeout: ASK_MILLISECONDS,
        bodyTimeout: ASK_MILLISECONDS,
      });
      const body = await answer.body.json();
      return answer.statusCode === 200
        ? (body as EntrypointsAnswer)
        : undefined;
    } catch {
      return undefined;
    }
  }

  private callerFor(address: string): Caller {
    const known = this.callers.get(address);
    if (known !== undefined) {
      return known;
    }
    const created = new Caller(address);
    this.callers.set(address, created);
    return created;
  }
}

/** Milliseconds after which to try again; undefined when there is nothing to try. */
function pauseAfter(outcome: CallerOutcome): number | undefined {
  if (outcome.whole) {
    return undefined;
  }
  if (outcome.errorKind === 'connectionLost') {
    return 0;
  }
  return outcome.retryAfterMilliseconds;
}
