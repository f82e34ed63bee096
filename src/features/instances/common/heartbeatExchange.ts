import {Clock} from '../../../base/common/clock.js';
import {
  fromHeartbeatColumns,
  HeartbeatColumns,
  HeartbeatUpdate,
  toHeartbeatColumns,
} from './heartbeatColumns.js';
import {InstanceHeartbeat, InstanceRecord} from './instance.js';
import {InstanceTable} from './instanceTable.js';

/** Time for which the record of a run is sent to all peers after it was first heard of; gossip reaches them in less. */
const RECORD_NEWS_MILLISECONDS = 3_000;

/** The part of a gossip message that tells of instances. */
export interface HeartbeatMessage {
  /** Heartbeats with records: of the sender, and of runs that the receiver may not know. */
  readonly instances: readonly InstanceHeartbeat[];
  /** The other heartbeats; undefined from instances of earlier releases, which read records only. */
  readonly updates?: HeartbeatColumns | undefined;
}

/** When a run of an instance was first heard of, in monotonic milliseconds. */
interface KnownRun {
  readonly startedAt: number;
  readonly firstHeardAt: number;
}

/**
 * Exchanges heartbeats. A record is five times as long as the rest of a heartbeat, and messages with the records of all
 * instances hold up the responses of upstreams on a narrow link, so records are sent only to peers that may lack them.
 */
export class HeartbeatExchange {
  /** By name of the instance. */
  private readonly runs = new Map<string, KnownRun>();
  /** Names of the peers that read heartbeats without records. */
  private readonly updateReaders = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly table: InstanceTable,
    private readonly ownName: string,
    /** Maximum number of heartbeats in a message. */
    private readonly limit: number,
  ) {}

  /** Creates the request to a peer. */
  createRequest(peer: string): HeartbeatMessage {
    const heartbeats = this.readTable();
    return this.updateReaders.has(peer)
      ? this.compose(heartbeats, ({record}) => this.isRecordNews(record))
      : {instances: heartbeats, updates: toHeartbeatColumns([])};
  }

  /** Creates the response to a peer: what is newer than in its request, with the records that it lacks. */
  createResponse({instances, updates}: HeartbeatMessage): HeartbeatMessage {
    const heartbeats = this.readTable();
    if (updates === undefined) {
      return {instances: heartbeats};
    }
    const known = new Map<string, HeartbeatUpdate>();
    for (const update of [
      ...instances.map(toUpdate),
      ...fromHeartbeatColumns(updates),
    ]) {
      known.set(update.name, update);
    }
    const news = heartbeats.filter(({record, beat}) => {
      const sent = known.get(record.name);
      return sent?.startedAt !== record.startedAt || sent.beat < beat;
    });
    return this.compose(
      news,
      ({record}) =>
        known.get(record.name)?.startedAt !== record.startedAt ||
        this.isRecordNews(record),
    );
  }

  /** Applies what a peer sent. */
  apply(from: string, {instances, updates}: HeartbeatMessage): void {
    instances.forEach(heartbeat => this.table.applyHeartbeat(heartbeat));
    if (updates === undefined) {
      this.updateReaders.delete(from);
      return;
    }
    this.updateReaders.add(from);
    fromHeartbeatColumns(updates).forEach(update =>
      this.table.applyUpdate(update),
    );
  }

  /** Reads the table, and keeps when each of its runs was first heard of. */
  private readTable(): readonly InstanceHeartbeat[] {
    const heartbeats = this.table.liveHeartbeats.slice(0, this.limit);
    const firstHeardAt = this.clock.monotonicMilliseconds();
    for (const {record} of heartbeats) {
      const {name, startedAt} = record;
      if (this.runs.get(name)?.startedAt !== startedAt) {
        this.runs.set(name, {startedAt, firstHeardAt});
      }
    }
    this.removeUnlisted(heartbeats);
    return heartbeats;
  }

  /** Forgets the instances that are no longer heard of. */
  private removeUnlisted(heartbeats: readonly InstanceHeartbeat[]): void {
    if (this.runs.size === heartbeats.length) {
      return;
    }
    const names = new Set(heartbeats.map(({record}) => record.name));
    for (const known of [this.runs, this.updateReaders]) {
      for (const name of known.keys()) {
        if (!names.has(name)) {
          known.delete(name);
        }
      }
    }
  }

  private compose(
    heartbeats: readonly InstanceHeartbeat[],
    needsRecord: (heartbeat: InstanceHeartbeat) => boolean,
  ): HeartbeatMessage {
    const instances: InstanceHeartbeat[] = [];
    const updates: HeartbeatUpdate[] = [];
    for (const heartbeat of heartbeats) {
      const isOwn = heartbeat.record.name === this.ownName;
      if (needsRecord(heartbeat) || isOwn) {
        instances.push(heartbeat);
      } else {
        updates.push(toUpdate(heartbeat));
      }
    }
    return {instances, updates: toHeartbeatColumns(updates)};
  }

  /** Whether a run was first heard of so recently that peers may not know it. */
  private isRecordNews({name}: InstanceRecord): boolean {
    const firstHeardAt = this.runs.get(name)?.firstHeardAt ?? -Infinity;
    const age = this.clock.monotonicMilliseconds() - firstHeardAt;
    return age < RECORD_NEWS_MILLISECONDS;
  }
}

function toUpdate({
  record: {name, startedAt},
  ...rest
}: InstanceHeartbeat): HeartbeatUpdate {
  return {name, startedAt, ...rest};
}
