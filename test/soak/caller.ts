import {RandomSource} from '../../src/base/common/randomSource.js';
import {sleep} from '../support/sleep.js';
import {Channel, Manner} from './channel.js';
import {isOnce} from './checks.js';
import {Attempt, RequestKind} from './history.js';

/** A caller that behaves as the users' pages say, and no better. */

/** The statuses after which a request is sent again, whatever its kind. */
const PROMISES: readonly number[] = [408, 421, 429, 503];
/** No request is sent again after these. */
const FINAL: readonly number[] = [400, 401, 404, 413, 431];

const MOST_ATTEMPTS = 3;
const RESOLVE_MILLISECONDS = 1_000;
/** A caller that can't resolve keeps asking at this interval. */
const RESOLVE_RETRY_MILLISECONDS = 500;
const MOST_NODES_ASKED = 3;

/** Time that a caller leaves between two attempts without an order to wait. */
const RETRY_PAUSE_MILLISECONDS = 30;

/** A request as its caller wants it served. */
export interface Wanted {
  readonly kind: RequestKind;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  /** 0 without streaming. */
  readonly eventCount: number;
  readonly timeLimitMilliseconds: number;
  readonly manner: Manner;
}

/** What a caller needs of the system. */
export interface CallerSite {
  readonly zone: string;
  /** Addresses of the directories, nearest first. */
  readonly directories: readonly string[];
  nameOf(callerAddress: string): string;
  /** Takes each attempt when it begins. */
  record(attempt: Attempt): void;
}

interface Resolution {
  readonly addresses: readonly string[];
  readonly expiresAt: number;
}

/** Sends requests over kept connections and repeats them as the kind of request allows. */
export class Caller {
  private readonly channels: Channel[] = [];
  private readonly failed = new Set<string>();
  private resolution: Resolution = {addresses: [], expiresAt: 0};
  private requestCount = 0;

  constructor(
    private readonly name: string,
    private readonly site: CallerSite,
    /** An address is kept for so many times what the directory told: up to 3. */
    private readonly keepFactor: number,
    /** Whether connections to addresses that are no longer told are kept. */
    private readonly keepsConnections: boolean,
    private readonly random: RandomSource,
  ) {}

  /** Sends a request until it is served, may not be sent again, or its time is over. */
  async request(wanted: Wanted): Promise<void> {
    const requestName = `${this.name}-${++this.requestCount}`;
    const end = performance.now() + wanted.timeLimitMilliseconds;
    let firstEvent = wanted.eventCount > 0 ? 1 : 0;
    for (let count = 1; count <= MOST_ATTEMPTS; count++) {
      const rest = Math.floor(end - performance.now());
      if (rest <= 0) {
        return;
      }
      const channel = await this.takeChannel(count > 1);
      if (channel === undefined) {
        await sleep(RESOLVE_RETRY_MILLISECONDS);
        continue;
      }
      const attempt: Attempt = {
        requestId: `${requestName}-${count}`,
        requestName,
        kind: wanted.kind,
        method: wanted.method,
        target: wanted.target,
        body: wanted.body,
        firstEvent,
        lastEvent: wanted.eventCount,
        instance: this.site.nameOf(channel.address),
        isKeptConnection: channel.hasServed,
        startedAt: performance.now(),
        timeLimitMilliseconds: rest,
        sentAt: undefined,
        endedAt: undefined,
        end: {kind: 'open'},
        status: undefined,
        stamp: undefined,
        response: '',
      };
      this.site.record(attempt);
      const headers = await channel.send(attempt, wanted.manner);
      this.noteFailure(attempt, channel.address);
      if (!mayRepeat(attempt)) {
        return;
      }
      if (wanted.kind === 'resumable') {
        firstEvent += countEvents(attempt);
      }
      if (wanted.eventCount > 0 && firstEvent > wanted.eventCount) {
        return;
      }
      await sleep(pauseBefore(headers['retry-after'], end));
    }
  }

  close(): void {
    this.channels.forEach(channel => channel.close());
  }

  private noteFailure(attempt: Attempt, address: string): void {
    if (attempt.end.kind === 'notConnected' || attempt.end.kind === 'cut') {
      this.failed.add(address);
    }
  }

  /** An idle connection, or a new one to an address drawn at random; repeats take new ones. */
  private async takeChannel(isRepeat: boolean): Promise<Channel | undefined> {
    await this.resolve();
    const {addresses} = this.resolution;
    const open = this.channels.filter(channel => !channel.isClosed);
    this.channels.splice(0, Infinity, ...open);
    const idle = open.filter(
      channel =>
        !channel.isBusy &&
        (this.keepsConnections || addresses.includes(channel.address)),
    );
    if (!isRepeat && idle.length > 0) {
      return this.lock(idle[this.random.nextInteger(idle.length)]!);
    }
    const sound = addresses.filter(address => !this.failed.has(address));
    const usable = sound.length > 0 ? sound : addresses;
    const address = usable[this.random.nextInteger(usable.length)];
    if (address === undefined) {
      return undefined;
    }
    const channel = new Channel(address);
    this.channels.push(channel);
    return this.lock(channel);
  }

  private lock(channel: Channel): Channel {
    channel.isBusy = true;
    return channel;
  }

  /** Asks up to three directories when the kept answer is too old; keeps the old one if none answers. */
  private async resolve(): Promise<void> {
    if (performance.now() < this.resolution.expiresAt) {
      return;
    }
    const {directories} = this.site;
    const first = this.random.nextInteger(directories.length);
    for (let index = 0; index < MOST_NODES_ASKED; index++) {
      const directory = directories[(first + index) % directories.length]!;
      const answer = await askDirectory(directory, this.site.zone);
      if (answer !== undefined) {
        const kept = answer.seconds * 1000 * this.keepFactor;
        this.resolution = {
          addresses: answer.addresses,
          expiresAt: performance.now() + kept,
        };
        this.failed.clear();
        return;
      }
    }
  }
}

async function askDirectory(
  directory: string,
  zone: string,
): Promise<{addresses: readonly string[]; seconds: number} | undefined> {
  try {
    const response = await fetch(
      `http://${directory}/resolve?Name=host.example&Region=region&Zone=${zone}`,
      {signal: AbortSignal.timeout(RESOLVE_MILLISECONDS)},
    );
    const {Addrs, TtlS} = (await response.json()) as {
      readonly Addrs?: readonly string[];
      readonly TtlS?: number;
    };
    return Addrs === undefined || TtlS === undefined
      ? undefined
      : {addresses: Addrs, seconds: TtlS};
  } catch {
    // A directory that doesn't answer is one of the faults that runs play.
    return undefined;
  }
}

/** Whether the pages let a caller send a request again. */
function mayRepeat({kind, end, status}: Attempt): boolean {
  switch (end.kind) {
    case 'left':
      return end.why === 'gap' && kind === 'resumable';
    case 'notConnected':
      return true;
    case 'cut':
    case 'open':
      return !isOnce(kind);
    case 'answered':
      return (
        status !== undefined &&
        status >= 300 &&
        !FINAL.includes(status) &&
        (PROMISES.includes(status) || !isOnce(kind))
      );
  }
}

function countEvents({response, status}: Attempt): number {
  return status === 200 ? response.split('\n\n').length - 1 : 0;
}

/** `Retry-After` is honoured up to a third of the time that is left. */
function pauseBefore(retryAfter: string | undefined, end: number): number {
  const most = Math.max(0, (end - performance.now()) / 3);
  return (
    Math.min(Number(retryAfter ?? 0) * 1000, most) + RETRY_PAUSE_MILLISECONDS
  );
}
