import {RandomSource} from '../../src/base/common/randomSource.js';
import {
  makeConfiguration,
  RouterInstance,
  StandInSystem,
} from '../standins/fleet/system.js';
import {sleep} from '../support/sleep.js';
import {Caller, Wanted} from './caller.js';
import {Manner} from './channel.js';
import {Attempt, RequestKind} from './history.js';

/** The requests of a soak run: all kinds, with streams of several lengths and callers of several manners. */

const CALLER_COUNT = 20;
const REQUESTS_PER_SECOND_AND_INSTANCE = 6;

const STREAM_MILLISECONDS = 20_000;
const PLAIN_MILLISECONDS = 3_000;

/** Numbers of events; the longest streams last longer than a stop. */
const STREAM_LENGTHS = [25, 25, 25, 25, 75, 75, 75, 150, 150, 260];

/** Paths and how often each kind of request is sent. */
const KINDS: ReadonlyArray<{
  readonly kind: RequestKind;
  readonly path: string;
  readonly weight: number;
}> = [
  {kind: 'resumable', path: '/chat/', weight: 8},
  {kind: 'oneTimeStream', path: '/note/', weight: 3},
  {kind: 'unsafe', path: '/book/', weight: 5},
  {kind: 'safe', path: '/look/', weight: 4},
];

/** Shares of callers that behave out of the ordinary. */
const LEAVING_SHARE = 0.06;
const LATE_BODY_SHARE = 0.08;
const SLOW_READING_SHARE = 0.05;

/** Fields of the configuration of a run: longer streams, and some that may run only once. */
export function soakConfiguration(): Readonly<Record<string, unknown>> {
  const routes = makeConfiguration(1).Routes.map(route =>
    route.Kind === 'stream'
      ? {...route, TimeoutMs: STREAM_MILLISECONDS}
      : route,
  );
  const chat = routes.find(({Name}) => Name === 'chat');
  const note = {...chat, Name: 'note', Prefix: '/note/', Resumable: false};
  return {Routes: [...routes, note]};
}

/** Sends requests to a system at a steady rate. */
export class Traffic {
  readonly attempts: Attempt[] = [];
  private readonly callers: readonly Caller[];
  private readonly open = new Set<Promise<void>>();
  private readonly nameByAddress: ReadonlyMap<string, string>;
  requestCount = 0;

  constructor(
    private readonly system: StandInSystem,
    private readonly random: RandomSource,
    /** Distinguishes the requests of several traffics on one system. */
    private readonly name: string,
  ) {
    this.nameByAddress = new Map(
      system.instances.map(({callerAddress, name}) => [callerAddress, name]),
    );
    this.callers = [...Array(CALLER_COUNT).keys()].map(index =>
      this.createCaller(index),
    );
  }

  /** Sends requests for a time; requests are then still open. */
  async send(seconds: number): Promise<void> {
    const rate =
      REQUESTS_PER_SECOND_AND_INSTANCE * this.system.instances.length;
    const start = performance.now();
    for (let index = 0; index < seconds * rate; index++) {
      const due = start + (index * 1000) / rate;
      await sleep(Math.max(0, due - performance.now()));
      const caller = this.callers[this.random.nextInteger(CALLER_COUNT)]!;
      const running = caller
        .request(this.drawRequest())
        .finally(() => this.open.delete(running));
      this.open.add(running);
      this.requestCount++;
    }
  }

  /** Waits until all requests have ended, for a limited time. */
  async finish(): Promise<void> {
    await Promise.race([Promise.all(this.open), sleep(STREAM_MILLISECONDS)]);
    this.callers.forEach(caller => caller.close());
  }

  private createCaller(index: number): Caller {
    const {instances} = this.system;
    const site = {
      zone: index % 2 === 0 ? 'north' : 'south',
      directories: instances.map(directoryOf),
      nameOf: (address: string) => this.nameByAddress.get(address) ?? address,
      record: (attempt: Attempt) => this.attempts.push(attempt),
    };
    const keepFactor = index % 3 === 0 ? 3 : 1;
    const keepsConnections = index % 3 !== 1;
    return new Caller(
      `${this.name}-${index}`,
      site,
      keepFactor,
      keepsConnections,
      this.random,
    );
  }

  private drawRequest(): Wanted {
    const {kind, path} = this.drawKind();
    const isStream = kind === 'resumable' || kind === 'oneTimeStream';
    const length = this.random.nextInteger(STREAM_LENGTHS.length);
    const manner = this.drawManner();
    return {
      kind,
      method: 'POST',
      target: `${path}${this.requestCount}?part=a%20b`,
      body: `request ${this.requestCount}`.padEnd(
        20 + this.random.nextInteger(2_000),
        '.',
      ),
      eventCount: isStream ? STREAM_LENGTHS[length]! : 0,
      timeLimitMilliseconds: isStream
        ? STREAM_MILLISECONDS
        : PLAIN_MILLISECONDS,
      manner,
    };
  }

  private drawKind(): (typeof KINDS)[number] {
    const total = KINDS.reduce((sum, {weight}) => sum + weight, 0);
    let rest = this.random.nextInteger(total);
    return KINDS.find(({weight}) => (rest -= weight) < 0)!;
  }

  private drawManner(): Manner {
    const {random} = this;
    const leaves = random.next() < LEAVING_SHARE;
    const isLate = random.next() < LATE_BODY_SHARE;
    const isSlow = random.next() < SLOW_READING_SHARE;
    return {
      leavesAfterMilliseconds: leaves
        ? 200 + random.nextInteger(3_000)
        : undefined,
      bodyDelayMilliseconds: isLate ? 200 + random.nextInteger(2_000) : 0,
      readPauseMilliseconds: isSlow ? 500 + random.nextInteger(1_300) : 0,
    };
  }
}

function directoryOf({directoryAddress}: RouterInstance): string {
  return directoryAddress;
}
