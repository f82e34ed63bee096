import {RandomSource} from '../../src/base/common/randomSource.js';
import {sleep} from '../support/sleep.js';
import {EntrypointCache} from './entrypointCache.js';
import {RecordedResponse, Submission, Work} from './observations.js';
import {Entrypoints, TestClient} from './testClient.js';

/** How a caller chooses keys, duplicates submissions and gives up. */
export interface RetryingCallerOptions {
  /** Share of keys that are bound to a grant; repeatable work has no key. */
  readonly boundKeyShare: number;
  /** Share of submissions that are sent to a second instance at the same time. */
  readonly duplicateShare: number;
  /** Wall-clock time after which the caller gives up. */
  readonly timeoutMilliseconds: number;
}

export const defaultRetryingCallerOptions: RetryingCallerOptions = {
  boundKeyShare: 0.6,
  duplicateShare: 0.25,
  timeoutMilliseconds: 8000,
};

interface Target {
  readonly address: string;
  readonly idempotencyKey: string | undefined;
  /** For a key bound to a grant, the only address whose instance can run it. */
  readonly boundAddress: string | undefined;
}

const RETRY_DELAY_MILLISECONDS = 100;
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 1000;

/**
 * Submits one piece of work until it is completed. After `executed: no` it retries under a new key, otherwise
 * only under the same key. When an address is unreachable, it continues with another one.
 */
export class RetryingCaller {
  private readonly recordedSubmissions: Submission[] = [];
  private keyNumber = 0;

  constructor(
    private readonly client: TestClient,
    private readonly work: Work,
    private readonly entrypointCache: Pick<
      EntrypointCache,
      'addresses' | 'current'
    >,
    private readonly random: RandomSource,
    private readonly options: RetryingCallerOptions = defaultRetryingCallerOptions,
  ) {}

  /** All submissions in order; the last one shows the outcome. */
  get submissions(): readonly Submission[] {
    return this.recordedSubmissions;
  }

  /** Retries until the work is completed or the timeout has passed; resolves to whether it is completed. */
  async run(): Promise<boolean> {
    const end = Date.now() + this.options.timeoutMilliseconds;
    let target = this.targetWithNewKey(await this.entrypointCache.current());
    while (Date.now() < end) {
      const response = await this.submitWithOptionalDuplicate(target);
      if (response.end === 'whole') {
        return true;
      }
      if (this.isPermanentFailure(response) && this.mayHaveRun(target)) {
        return false;
      }
      await sleep(retryDelayOf(response));
      target = await this.nextTarget(target, response);
    }
    return false;
  }

  /** Looks up the outcome of the last key at an instance. */
  async lookUp(address: string): Promise<void> {
    const key = this.recordedSubmissions.at(-1)?.idempotencyKey;
    if (key !== undefined) {
      const target = {address, idempotencyKey: key, boundAddress: undefined};
      await this.recordSubmission('lookUp', target, () =>
        this.client.lookUp(address, this.work, key),
      );
    }
  }

  private async submitWithOptionalDuplicate(
    target: Target,
  ): Promise<RecordedResponse> {
    const first = this.submit(target);
    const {duplicateShare} = this.options;
    const hasKey = target.idempotencyKey !== undefined;
    if (!hasKey || this.random.next() >= duplicateShare) {
      return first;
    }
    await sleep(this.random.nextInteger(RETRY_DELAY_MILLISECONDS));
    const second = this.submit({...target, address: this.randomAddress()});
    const responses = await Promise.all([first, second]);
    // The key counts as not run only when both responses state it.
    return (
      responses.find(response => response.end === 'whole') ??
      responses.find(response => response.executed !== 'no') ??
      responses[0]
    );
  }

  private submit(target: Target): Promise<RecordedResponse> {
    const {address, idempotencyKey} = target;
    return this.recordSubmission('work', target, () =>
      this.client.submit(address, this.work, idempotencyKey),
    );
  }

  private async recordSubmission(
    kind: Submission['kind'],
    target: Target,
    call: () => Promise<RecordedResponse>,
  ): Promise<RecordedResponse> {
    const startedAt = Date.now();
    const response = await call();
    const endedAt = Date.now();
    const {work} = this;
    const {address, idempotencyKey} = target;
    const times = {startedAt, endedAt};
    this.recordedSubmissions.push({
      work,
      kind,
      idempotencyKey,
      address,
      ...times,
      response,
    });
    return response;
  }

  /** Whether retrying is useless: the work ran and failed, or the outcome of its key is unavailable. */
  private isPermanentFailure(response: RecordedResponse): boolean {
    if (this.work.repeatable) {
      return false;
    }
    return (
      response.executed === 'yes' ||
      (response.end === 'failure' && isOutcomeUnavailable(response))
    );
  }

  private async nextTarget(
    target: Target,
    response: RecordedResponse,
  ): Promise<Target> {
    await this.entrypointCache.current();
    const address = response.addresses[0] ?? this.randomAddress();
    const mayChangeKey = response.executed === 'no' || !this.mayHaveRun(target);
    if (this.work.repeatable || !mayChangeKey) {
      return {...target, address};
    }
    const entrypoints = await this.client.entrypoints(address);
    return entrypoints === undefined
      ? {address, idempotencyKey: this.plainKey(), boundAddress: undefined}
      : this.targetWithNewKey(entrypoints);
  }

  /** Whether a call with this key may have reached an instance that can run it, without `executed: no`. */
  private mayHaveRun({idempotencyKey, boundAddress}: Target): boolean {
    return this.recordedSubmissions.some(
      submission =>
        submission.idempotencyKey === idempotencyKey &&
        (boundAddress === undefined || submission.address === boundAddress) &&
        submission.response.end !== 'unreachable' &&
        submission.response.executed !== 'no',
    );
  }

  private targetWithNewKey(entrypoints: Entrypoints | undefined): Target {
    const address = entrypoints?.addresses[0] ?? this.randomAddress();
    if (this.work.repeatable) {
      return {address, idempotencyKey: undefined, boundAddress: undefined};
    }
    const {grant = null, grantAddress = null} = entrypoints ?? {};
    const isBound = this.random.next() < this.options.boundKeyShare;
    if (grant === null || grantAddress === null || !isBound) {
      return {
        address,
        idempotencyKey: this.plainKey(),
        boundAddress: undefined,
      };
    }
    const idempotencyKey = `${grant}.${this.plainKey()}`;
    return {address: grantAddress, idempotencyKey, boundAddress: grantAddress};
  }

  private plainKey(): string {
    this.keyNumber++;
    return `${this.work.businessKey}-${this.keyNumber}`;
  }

  private randomAddress(): string {
    const {addresses} = this.entrypointCache;
    return addresses[this.random.nextInteger(addresses.length)]!;
  }
}

/** A 409 `duplicate` without a retry time or addresses: the key has run, but its outcome can't be retrieved. */
function isOutcomeUnavailable(response: RecordedResponse): boolean {
  return (
    response.errorKind === 'duplicate' &&
    response.retryAfterMilliseconds === undefined &&
    response.addresses.length === 0
  );
}

function retryDelayOf(response: RecordedResponse): number {
  const requested = response.retryAfterMilliseconds ?? RETRY_DELAY_MILLISECONDS;
  return Math.min(Math.max(requested, 1), MAXIMUM_RETRY_DELAY_MILLISECONDS);
}
