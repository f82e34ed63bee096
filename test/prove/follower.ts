import {RandomSource} from '../../src/base/common/randomSource.js';
import {sleep} from '../support/sleep.js';
import {AddressBook} from './addressBook.js';
import {Answer, Submission, Work} from './observations.js';
import {Entrypoints, ProofCaller} from './proofCaller.js';

/** How persistent a caller is. */
export interface FollowerOptions {
  /** Of plain keys, keys bound to a grant; work that may be repeated has none. */
  readonly boundKeyShare: number;
  /** How often a second submission is made at once at another instance. */
  readonly duplicateShare: number;
  /** Wall milliseconds at which it gives up. */
  readonly patienceMilliseconds: number;
}

/** The usual caller. */
export const defaultFollowerOptions: FollowerOptions = {
  boundKeyShare: 0.6,
  duplicateShare: 0.25,
  patienceMilliseconds: 8000,
};

interface Target {
  readonly address: string;
  readonly idempotencyKey: string | undefined;
}

const PAUSE_MILLISECONDS = 100;
const LONGEST_PAUSE_MILLISECONDS = 1000;

/**
 * Gets one piece of work done as a careful caller would: after `executed: no` with a new key, after anything
 * else only under the same key, going on to the next address when one can't be reached.
 */
export class Follower {
  private readonly made: Submission[] = [];
  private keyNumber = 0;

  constructor(
    private readonly caller: ProofCaller,
    private readonly work: Work,
    private readonly book: Pick<AddressBook, 'addresses' | 'current'>,
    private readonly random: RandomSource,
    private readonly options: FollowerOptions = defaultFollowerOptions,
  ) {}

  /** Everything it submitted; the last one tells how it ended. */
  get submissions(): readonly Submission[] {
    return this.made;
  }

  /** Goes on until the work is done or its patience ends; answers whether it is done. */
  async run(): Promise<boolean> {
    const end = Date.now() + this.options.patienceMilliseconds;
    let target = this.firstTarget(await this.book.current());
    while (Date.now() < end) {
      const answer = await this.submitPerhapsTwice(target);
      if (answer.end === 'whole') {
        return true;
      }
      if (this.isHopeless(answer)) {
        return false;
      }
      await sleep(pauseOf(answer));
      target = await this.nextTarget(target, answer);
    }
    return false;
  }

  /** Asks one instance what became of the last key. */
  async lookUp(address: string): Promise<void> {
    const key = this.made.at(-1)?.idempotencyKey;
    if (key !== undefined) {
      await this.observe('lookUp', {address, idempotencyKey: key}, () =>
        this.caller.lookUp(address, this.work, key),
      );
    }
  }

  private async submitPerhapsTwice(target: Target): Promise<Answer> {
    const first = this.submit(target);
    const {duplicateShare} = this.options;
    const isKeyed = target.idempotencyKey !== undefined;
    if (!isKeyed || this.random.next() >= duplicateShare) {
      return first;
    }
    await sleep(this.random.nextInteger(PAUSE_MILLISECONDS));
    const second = this.submit({...target, address: this.anyAddress()});
    const answers = await Promise.all([first, second]);
    // Both have to say so before the key counts as not run.
    return (
      answers.find(answer => answer.end === 'whole') ??
      answers.find(answer => answer.executed !== 'no') ??
      answers[0]
    );
  }

  private submit(target: Target): Promise<Answer> {
    const {address, idempotencyKey} = target;
    return this.observe('work', target, () =>
      this.caller.submit(address, this.work, idempotencyKey),
    );
  }

  private async observe(
    kind: Submission['kind'],
    target: Target,
    call: () => Promise<Answer>,
  ): Promise<Answer> {
    const startedAt = Date.now();
    const answer = await call();
    const endedAt = Date.now();
    const {work} = this;
    this.made.push({...target, work, kind, startedAt, endedAt, answer});
    return answer;
  }

  /** A stated end that no repetition changes: it ran and failed, or nothing more is known of a key. */
  private isHopeless(answer: Answer): boolean {
    if (this.work.repeatable) {
      return false;
    }
    return (
      answer.executed === 'yes' || (answer.end === 'failure' && isFinal(answer))
    );
  }

  private async nextTarget(target: Target, answer: Answer): Promise<Target> {
    await this.book.current();
    const address = answer.addresses[0] ?? this.anyAddress();
    const mayChangeKey =
      answer.executed === 'no' ||
      (answer.end === 'unreachable' && !this.wasSent(target));
    if (this.work.repeatable || !mayChangeKey) {
      return {address, idempotencyKey: target.idempotencyKey};
    }
    const entrypoints = await this.caller.entrypoints(address);
    return entrypoints === undefined
      ? {address, idempotencyKey: this.plainKey()}
      : this.firstTarget(entrypoints);
  }

  /** Whether any call with this key got as far as a connection and was not answered `no`. */
  private wasSent(target: Target): boolean {
    return this.made.some(
      ({idempotencyKey, answer}) =>
        idempotencyKey === target.idempotencyKey &&
        answer.end !== 'unreachable' &&
        answer.executed !== 'no',
    );
  }

  private firstTarget(entrypoints: Entrypoints | undefined): Target {
    const address = entrypoints?.addresses[0] ?? this.anyAddress();
    if (this.work.repeatable) {
      return {address, idempotencyKey: undefined};
    }
    const {grant = null, grantAddress = null} = entrypoints ?? {};
    const isBound = this.random.next() < this.options.boundKeyShare;
    if (grant === null || grantAddress === null || !isBound) {
      return {address, idempotencyKey: this.plainKey()};
    }
    const idempotencyKey = `${grant}.${this.plainKey()}`;
    return {address: grantAddress, idempotencyKey};
  }

  private plainKey(): string {
    this.keyNumber++;
    return `${this.work.businessKey}-${this.keyNumber}`;
  }

  private anyAddress(): string {
    const {addresses} = this.book;
    return addresses[this.random.nextInteger(addresses.length)]!;
  }
}

/** 409 without a time to come back: the key ran and what became of it can't be found out. */
function isFinal(answer: Answer): boolean {
  return (
    answer.errorKind === 'duplicate' &&
    answer.retryAfterMilliseconds === undefined &&
    answer.addresses.length === 0
  );
}

function pauseOf(answer: Answer): number {
  const wanted = answer.retryAfterMilliseconds ?? PAUSE_MILLISECONDS;
  return Math.min(Math.max(wanted, 1), LONGEST_PAUSE_MILLISECONDS);
}
