import {Clock} from '../../../base/common/clock.js';
import {Emitter} from '../../../base/common/event.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {LimitSharers} from '../../fleet/common/limitShare.js';
import {HeartbeatUpdate} from './heartbeatColumns.js';
import {listAgeLimitFor, selectListReader} from './upstreamListReader.js';
import {InstanceHeartbeat, InstanceRecord, InstanceState} from './instance.js';

/**
 * Time without a new heartbeat after which an instance is no longer listed for callers. A heartbeat reaches
 * all instances in two or three gossip rounds of 400 ms, and one exchange may be lost.
 */
const HEARTBEAT_TIMEOUT_MILLISECONDS = 1_600;

/** Time without a new heartbeat after which the entry of an instance is removed. */
const RETENTION_MILLISECONDS = 30_000;

interface PeerEntry {
  readonly news: InstanceHeartbeat;
  /** Monotonic milliseconds at which the last new heartbeat was received. */
  readonly heartbeatAt: number;
  readonly isUnreachable: boolean;
  /** Whether its machine has refused a connection since then, so that its process doesn't run. */
  readonly hasEnded: boolean;
}

/** The run of a peer that sent a response, and the monotonic time of the request. */
interface PeerResponse {
  readonly startedAt: number;
  readonly requestedAt: number;
}

/** Membership table: the known instances and their states, as learned by gossip. */
export class InstanceTable {
  private readonly peerEntries = new Map<string, PeerEntry>();
  private readonly peerBeganStop = new Emitter<InstanceRecord>();
  /** Last response of each peer. */
  private readonly lastResponses = new Map<string, PeerResponse>();
  private beat = 0;
  private ownState: InstanceState = 'unready';
  /** Whether this instance reaches no upstream itself; told to peers. */
  isCutOff = false;

  /** Fires when a peer is known to have been told to stop. */
  readonly onDidBeginPeerStop = this.peerBeganStop.event;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly own: InstanceRecord,
  ) {}

  /** Creates a heartbeat of this instance; each call increments its counter. */
  createHeartbeat(): InstanceHeartbeat {
    this.beat++;
    return {
      record: this.own,
      state: this.ownState,
      isCutOff: this.isCutOff,
      beat: this.beat,
    };
  }

  get ownName(): string {
    return this.own.name;
  }

  get state(): InstanceState {
    return this.ownState;
  }

  set state(state: InstanceState) {
    if (state !== this.ownState) {
      this.logger.decision('ownStateChanged', {before: this.ownState, state});
      this.ownState = state;
    }
  }

  /** Applies a heartbeat that a peer sent or relayed, unless a newer one is known. */
  applyHeartbeat(heartbeat: InstanceHeartbeat): void {
    const {name, startedAt} = heartbeat.record;
    if (name === this.own.name) {
      return;
    }
    const entry = this.peerEntries.get(name);
    if (entry !== undefined && !isNewer(heartbeat, entry.news)) {
      return;
    }
    if (
      entry?.news.state !== heartbeat.state ||
      entry?.news.record.startedAt !== startedAt
    ) {
      this.logger.decision('peerChanged', {
        peer: name,
        before: entry?.news.state,
        state: heartbeat.state,
        address: heartbeat.record.callerAddress,
      });
    }
    const heartbeatAt = this.clock.monotonicMilliseconds();
    this.peerEntries.set(name, {
      news: heartbeat,
      heartbeatAt,
      isUnreachable: false,
      hasEnded: false,
    });
    const isStopping = heartbeat.state === 'stopping';
    if (isStopping && entry?.news.state !== 'stopping') {
      this.peerBeganStop.fire(heartbeat.record);
    }
  }

  /** Applies a heartbeat without a record, unless a newer one or no record of its run is known. */
  applyUpdate({name, startedAt, ...rest}: HeartbeatUpdate): void {
    const record = this.peerEntries.get(name)?.news.record;
    if (record?.startedAt === startedAt) {
      this.applyHeartbeat({record, ...rest});
    }
  }

  /** Adds an instance from the registry, which doesn't hold its state, unless this run or a later one is known. */
  addRecord(record: InstanceRecord): void {
    const entry = this.peerEntries.get(record.name);
    if (
      record.name !== this.own.name &&
      (entry === undefined || entry.news.record.startedAt < record.startedAt)
    ) {
      const heartbeatAt = -Infinity;
      const heartbeat: InstanceHeartbeat = {
        record,
        state: 'unready',
        isCutOff: false,
        beat: 0,
      };
      this.peerEntries.set(record.name, {
        news: heartbeat,
        heartbeatAt,
        isUnreachable: false,
        hasEnded: false,
      });
    }
  }

  /**
   * Marks a peer as unreachable: it isn't listed for callers until its next heartbeat.
   * @param hasEnded whether its machine refused the connection
   */
  markUnreachable(name: string, hasEnded: boolean): void {
    const entry = this.peerEntries.get(name);
    if (entry === undefined) {
      return;
    }
    this.peerEntries.set(name, {...entry, isUnreachable: true, hasEnded});
    if (!entry.isUnreachable) {
      this.logger.decision('peerUnreachable', {peer: name, hasEnded});
    }
  }

  /** Records that a run of a peer responded to a request sent at a monotonic time, so that it was alive then. */
  recordResponse({name, startedAt}: InstanceRecord, requestedAt: number): void {
    this.lastResponses.set(name, {startedAt, requestedAt});
  }

  /**
   * Whether a run of an instance that was last active at a monotonic time is known to have ended. An instance
   * runs one process at a time, so the run has ended if another one responded to a request sent later. Start
   * times are only tested for equality, since wall clocks jump.
   */
  hasRunEnded(name: string, startedAt: number, activeUntil: number): boolean {
    if (name === this.own.name) {
      return startedAt !== this.own.startedAt;
    }
    const response = this.lastResponses.get(name);
    return (
      response !== undefined &&
      response.startedAt !== startedAt &&
      response.requestedAt > activeUntil
    );
  }

  /** Peers to exchange messages with, including stopping and silent ones until their entries are removed. */
  get peers(): readonly InstanceRecord[] {
    this.removeExpired();
    return [...this.peerEntries.values()].map(({news}) => news.record);
  }

  /** Heartbeats to send: a new one of this instance and the last ones of all live peers. */
  get liveHeartbeats(): readonly InstanceHeartbeat[] {
    const peers = [...this.peerEntries.values()].filter(entry =>
      this.isLive(entry),
    );
    return [this.createHeartbeat(), ...peers.map(({news}) => news)];
  }

  /** Instances that currently serve callers, including this one when it does. */
  get serving(): readonly InstanceRecord[] {
    const peers = [...this.peerEntries.values()]
      .filter(
        entry =>
          entry.news.state === 'serving' &&
          !entry.isUnreachable &&
          this.isLive(entry),
      )
      .map(({news}) => news.record);
    return this.ownState === 'serving' ? [this.own, ...peers] : peers;
  }

  /** Number of peers that currently serve callers. */
  get servingPeerCount(): number {
    return this.serving.filter(({name}) => name !== this.own.name).length;
  }

  /** Instances that callers are sent to. One that stops and hears of none names those that probably serve. */
  get listed(): readonly InstanceRecord[] {
    return this.ownState === 'stopping' ? this.probablyServing : this.serving;
  }

  /** Whether another instance probably serves callers. */
  get isProbablyServedElsewhere(): boolean {
    return this.probablyServing.some(({name}) => name !== this.own.name);
  }

  /**
   * Instances that probably serve callers. While no message of any peer arrives, this instance's own link is a likelier cause
   * than the end of all of them, so what peers said last decides. A machine that refuses a connection shows that the link works.
   */
  private get probablyServing(): readonly InstanceRecord[] {
    this.removeExpired();
    const entries = [...this.peerEntries.values()];
    if (entries.some(entry => entry.hasEnded || this.isLive(entry))) {
      return this.serving;
    }
    const peers = entries
      .filter(({news}) => news.state === 'serving')
      .map(({news}) => news.record);
    return [...this.serving, ...peers];
  }

  /** Peers that may relay connections to upstreams for this instance. */
  get relays(): readonly InstanceRecord[] {
    const cutOff = new Set(
      [...this.peerEntries.values()]
        .filter(({news}) => news.isCutOff)
        .map(({news}) => news.record.name),
    );
    return this.serving.filter(
      ({name}) => name !== this.own.name && !cutOff.has(name),
    );
  }

  /**
   * Peers that may have requests at upstreams: all that were heard of lately, also silent ones, which may be cut off from
   * this instance only. One that was stopping and fell silent has ended.
   */
  get possiblyServing(): readonly InstanceRecord[] {
    this.removeExpired();
    return [...this.peerEntries.values()]
      .filter(
        entry =>
          entry.heartbeatAt > -Infinity &&
          (entry.news.state !== 'stopping' || this.isLive(entry)),
      )
      .map(({news}) => news.record);
  }

  /** Whether a peer said that it reaches no upstream itself. */
  isPeerCutOff(name: string): boolean {
    return this.peerEntries.get(name)?.news.isCutOff ?? false;
  }

  /** The instances that share the limits of upstreams. */
  get limitSharers(): LimitSharers {
    const servedLast = [...this.peerEntries.values()].filter(
      ({news}) => news.state === 'serving',
    );
    const live = this.serving;
    const livePeers = live.filter(({name}) => name !== this.own.name);
    return {
      ownName: this.own.name,
      live,
      silentCount: servedLast.length - livePeers.length,
    };
  }

  /** Name of the instance that reads the list of upstreams for this one; undefined when none of its group serves. */
  get listReader(): string | undefined {
    return selectListReader(
      this.own.name,
      this.serving.map(({name}) => name),
    );
  }

  /** Age in milliseconds from which this instance reads the list of upstreams itself. */
  get listAgeLimitMilliseconds(): number {
    return listAgeLimitFor(this.own.name, this.listReader);
  }

  /** Number of known instances including this one, by which limits for all instances together are divided. */
  get instanceCount(): number {
    return this.peerEntries.size + 1;
  }

  private isLive({heartbeatAt}: PeerEntry): boolean {
    return (
      this.clock.monotonicMilliseconds() - heartbeatAt <
      HEARTBEAT_TIMEOUT_MILLISECONDS
    );
  }

  private removeExpired(): void {
    const now = this.clock.monotonicMilliseconds();
    for (const [name, {heartbeatAt}] of this.peerEntries) {
      if (heartbeatAt > 0 && now - heartbeatAt > RETENTION_MILLISECONDS) {
        this.peerEntries.delete(name);
        this.lastResponses.delete(name);
      }
    }
  }
}

function isNewer(
  heartbeat: InstanceHeartbeat,
  known: InstanceHeartbeat,
): boolean {
  const {startedAt} = heartbeat.record;
  return startedAt === known.record.startedAt
    ? heartbeat.beat > known.beat
    : startedAt > known.record.startedAt;
}
