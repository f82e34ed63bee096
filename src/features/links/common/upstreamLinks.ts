import {Clock} from '../../../base/common/clock.js';
import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';

/** Successful direct connections in a row after which an upstream is reached directly again. */
const SUCCESSES_TO_RETURN = 2;

/**
 * From this many relayed upstreams on, without a direct connection to any since, this instance counts as cut off from all.
 * One or two may have failed by themselves at a bad moment.
 */
const CUT_OFF_COUNT = 3;

/** A response may still arrive over a connection through a peer for this long after upstreams are reached directly. */
const RELAYED_MEMORY_MILLISECONDS = 30_000;

/** The result of a test of both ways to an upstream. */
export interface LinkTest {
  /** Whether this instance connected to the upstream itself. */
  readonly isDirect: boolean;
  /** Whether a peer connected to it for this instance; undefined if no peer was asked. */
  readonly isRelayed: boolean | undefined;
}

interface RelayedLink {
  readonly since: number;
  /** Direct connections that succeeded in a row. */
  readonly successes: number;
}

/** A change of the way to upstreams. */
export interface LinkChange {
  /** Address `IP:port`; undefined if the way to all unlisted addresses changes. */
  readonly address: string | undefined;
}

/**
 * Tracks which upstreams this instance reaches only through peers. That a peer reaches an upstream which this instance
 * does not is what tells a lost link from a lost upstream.
 */
export class UpstreamLinks extends DisposableOwner {
  private readonly changed = this.register(new Emitter<LinkChange>());
  private readonly relayed = new Map<string, RelayedLink>();
  /** When addresses were reached through peers last. */
  private readonly relayedUntil = new Map<string, number>();
  private cutOffUntil = -Infinity;
  private lastDirectAt = -Infinity;
  private wasCutOff = false;

  /** Fires when upstreams are to be reached in another way than before. */
  readonly onDidChange = this.changed.event;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
  }

  /** Whether connections to an address go through a peer. */
  isRelayed(address: string): boolean {
    return this.relayed.has(address) || this.isCutOff;
  }

  /** Whether an open connection to an address may go through a peer. */
  wasRelayed(address: string): boolean {
    const until = Math.max(
      this.relayedUntil.get(address) ?? -Infinity,
      this.cutOffUntil,
    );
    const age = this.clock.monotonicMilliseconds() - until;
    return this.isRelayed(address) || age < RELAYED_MEMORY_MILLISECONDS;
  }

  /** Whether this instance reaches no upstream itself, as far as it knows. */
  get isCutOff(): boolean {
    if (this.relayed.size < CUT_OFF_COUNT) {
      return false;
    }
    const since = Math.min(
      ...[...this.relayed.values()].map(link => link.since),
    );
    return this.lastDirectAt < since;
  }

  /** The addresses that were found to be reached only through peers. */
  get relayedAddresses(): readonly string[] {
    return [...this.relayed.keys()];
  }

  /** Records a test of the link to an address. */
  recordTest(address: string, {isDirect, isRelayed}: LinkTest): void {
    const link = this.relayed.get(address);
    const now = this.clock.monotonicMilliseconds();
    if (isDirect) {
      this.lastDirectAt = now;
      this.recordDirect(address, link);
    } else if (link !== undefined) {
      this.relayed.set(address, {...link, successes: 0});
    } else if (isRelayed === true) {
      this.relayed.set(address, {since: now, successes: 0});
      this.announce(address, 'relayed');
    }
    this.announceCutOff();
  }

  /** Announces that connections through peers are to be opened anew, since a peer is about to end those that it relays. */
  recordRelayStop(): void {
    const addresses = this.isCutOff ? [undefined] : this.relayedAddresses;
    addresses.forEach(address => this.changed.fire({address}));
  }

  /** Forgets addresses that the predicate rejects. */
  retain(isListed: (address: string) => boolean): void {
    for (const address of this.relayed.keys()) {
      if (!isListed(address)) {
        this.relayed.delete(address);
      }
    }
    for (const address of this.relayedUntil.keys()) {
      if (!isListed(address)) {
        this.relayedUntil.delete(address);
      }
    }
    this.announceCutOff();
  }

  private recordDirect(address: string, link: RelayedLink | undefined): void {
    if (link === undefined) {
      return;
    }
    const successes = link.successes + 1;
    if (successes < SUCCESSES_TO_RETURN) {
      this.relayed.set(address, {...link, successes});
      return;
    }
    this.relayed.delete(address);
    this.relayedUntil.set(address, this.lastDirectAt);
    this.announce(address, 'direct');
  }

  private announce(address: string, now: 'relayed' | 'direct'): void {
    const {size} = this.relayed;
    this.logger.decision('upstreamLink', {address, now, relayed: size});
    this.changed.fire({address});
  }

  private announceCutOff(): void {
    const {isCutOff} = this;
    if (isCutOff !== this.wasCutOff) {
      this.wasCutOff = isCutOff;
      this.cutOffUntil = this.clock.monotonicMilliseconds();
      const relayed = this.relayed.size;
      this.logger.decision('cutOffFromUpstreams', {now: isCutOff, relayed});
      this.changed.fire({address: undefined});
    }
  }
}
