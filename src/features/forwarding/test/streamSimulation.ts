import {Upstream} from '../../fleet/common/upstream.js';
import {Reachability} from '../../links/common/reachability.js';
import {FakeUpstreamExchange} from './fakeUpstreams.js';
import {ForwardingHarness} from './forwardingHarness.js';

/** When the upstreams of a stream fall silent, and what happens to them. */
export interface SilenceRule {
  /** Events that an upstream writes before it falls silent. */
  readonly eventsBefore: number;
  /** How long it is silent; it goes on afterwards. */
  readonly milliseconds: number;
  /** Whether the connection of the stream is reset then. */
  readonly losesConnection?: boolean;
  /** Milliseconds after which it is no longer listed from then on. */
  readonly unlistedAfter?: number;
  /** Whether another run is listed at its address instead. */
  readonly isShadowed?: boolean;
  /** Whether it refuses connections of this instance, but of no other, from then on. */
  readonly losesLink?: boolean;
  /** Whether all hosts refuse connections of the instance from then on. */
  readonly isInstanceCut?: boolean;
  /** What its address does if it has ended. */
  readonly endsAs?: 'refusing' | 'replaced';
  /** What the peers find that are asked about it; all of them the same by default. */
  readonly peerFindings?: readonly Reachability[];
  /** Number of upstreams that do so; all by default. */
  readonly count?: number;
  /** Events of the whole stream. */
  readonly events?: number;
}

const STEP_MILLISECONDS = 20;
const DEFAULT_EVENTS = 40;
const LIST_SETTLES_MILLISECONDS = 2_100;

/** Callers leave a stream after this long without an event. */
const CALLER_PATIENCE_MILLISECONDS = 2_000;

/** Plays one stream over upstreams that fall silent, and its caller. */
export class StreamSimulation {
  /** Identifiers of the upstreams that got the request. */
  readonly sentTo = new Set<string>();
  isServed = false;
  private readonly removedRows = new Set<string>();
  private readonly silentUntil = new Map<string, number>();
  private readonly written = new Map<FakeUpstreamExchange, number>();

  constructor(
    private readonly harness: ForwardingHarness,
    private readonly upstreams: readonly Upstream[],
    private readonly rule: SilenceRule,
  ) {}

  /** How often the request was sent, to upstreams that had it before as well. */
  get sendCount(): number {
    return this.harness.connector.openedExchanges.length;
  }

  /** Plays until the caller has its whole answer, has left or was refused. */
  async play(target: string): Promise<void> {
    // The first list counts as incomplete for two seconds.
    await this.harness.advance(LIST_SETTLES_MILLISECONDS);
    this.harness.directory.replace(this.upstreams);
    const caller = await this.harness.send(target, ['deadline', '20000']);
    let patientUntil = this.now + CALLER_PATIENCE_MILLISECONDS;
    let received = 0;
    while (caller.outcome === 'open' && this.now < patientUntil) {
      this.runUpstreams();
      await this.harness.advance(STEP_MILLISECONDS);
      if (caller.text.length > received) {
        received = caller.text.length;
        patientUntil = this.now + CALLER_PATIENCE_MILLISECONDS;
      }
    }
    this.isServed = caller.outcome === 'stream';
    caller.leave();
  }

  private runUpstreams(): void {
    const {connector, control} = this.harness;
    for (const [id, until] of this.silentUntil) {
      if (this.now >= until) {
        control.unreachableIds.delete(id);
      }
    }
    for (const exchange of connector.openedExchanges) {
      this.sentTo.add(exchange.upstream.id);
      if (!exchange.isDisposed && !exchange.hasResponded) {
        this.write(exchange);
      }
    }
  }

  private write(exchange: FakeUpstreamExchange): void {
    const {eventsBefore, count = Infinity, losesConnection} = this.rule;
    const {id} = exchange.upstream;
    const written = this.written.get(exchange) ?? 0;
    const isDue = written >= eventsBefore && !this.silentUntil.has(id);
    if (isDue && this.silentUntil.size < count) {
      this.silence(exchange.upstream);
      if (losesConnection) {
        exchange.fail(true);
        return;
      }
    }
    if (this.now < (this.silentUntil.get(id) ?? -Infinity)) {
      return;
    }
    if (written === 0) {
      exchange.head();
    }
    const first = Number(exchange.added['lastEvent'] ?? 0) + 1;
    const event = first + written;
    this.written.set(exchange, written + 1);
    exchange.sendEvents(event, event);
    if (event === (this.rule.events ?? DEFAULT_EVENTS)) {
      exchange.end();
    }
  }

  private silence({id, address}: Upstream): void {
    const {milliseconds, unlistedAfter, isInstanceCut, endsAs, peerFindings} =
      this.rule;
    const {control, connections} = this.harness;
    this.silentUntil.set(id, this.now + milliseconds);
    control.unreachableIds.add(id);
    connections.isCut = isInstanceCut === true;
    if (endsAs === 'refusing' || this.rule.losesLink) {
      connections.refusing.add(address);
    }
    this.harness.peerLinks.findings = peerFindings ?? ['refused', 'refused'];
    if (this.rule.losesLink) {
      this.harness.peerLinks.reached.add(address);
    }
    if (endsAs === 'replaced') {
      control.restarted.add(id);
    }
    if (unlistedAfter === 0) {
      this.removeRow(id);
    } else if (unlistedAfter !== undefined) {
      this.harness.clock.setTimer(unlistedAfter, () => this.removeRow(id));
    }
  }

  private removeRow(id: string): void {
    this.removedRows.add(id);
    const listed = this.upstreams
      .filter(upstream => !this.removedRows.has(upstream.id))
      .concat(this.rule.isShadowed ? this.shadows : []);
    this.harness.directory.replace(listed);
  }

  /** Runs of another service at the addresses of the removed rows. */
  private get shadows(): readonly Upstream[] {
    return this.upstreams
      .filter(({id}) => this.removedRows.has(id))
      .map(upstream => ({
        ...upstream,
        id: `shadow-${upstream.id}`,
        name: `shadow-${upstream.id}`,
        service: 'other',
      }));
  }

  private get now(): number {
    return this.harness.clock.monotonicMilliseconds();
  }
}
