import {CancellationSource} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {rankByRendezvous} from '../../../base/common/rendezvous.js';
import {failure} from '../../../base/common/result.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {RowWrite} from '../../../infrastructure/table/common/tableService.js';
import {ClaimPeers} from './claimPeers.js';
import {GatherSettings} from './claimSettings.js';
import {PeerDirectory, PeerInstance} from './peerDirectory.js';
import {RowResult, RowWriter, valueLength} from './rowWriter.js';

/** Rendezvous hashing key for gatherers, the same on all instances so that they choose alike without coordination. */
const GATHERER_LABEL = 'claim-gatherer';

export interface GatheringWriterDependencies {
  /** Writes to the table from this instance. */
  readonly directWriter: RowWriter;
  readonly peers: ClaimPeers;
  readonly directory: PeerDirectory;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly settings: GatherSettings;
  /** The incarnation of this instance. */
  readonly incarnation: string;
}

interface PendingRow {
  readonly write: RowWrite;
  readonly resolve: (result: RowResult) => void;
}

/** Rows queued for one gatherer. */
interface Batch {
  rows: PendingRow[];
  readonly timer: Disposable;
}

/**
 * With many instances, sends rows to a few gatherers, so that transactions contain many rows. When a
 * gatherer fails, the same row is written directly. The row's condition and nonce make the second write
 * harmless if the first took effect, and the first harmless if it arrives late.
 */
export class GatheringWriter extends RowWriter implements Disposable {
  private readonly batches = new Map<string, Batch>();
  private queuedRows = 0;
  /** Total length of queued row values. */
  private queuedCharacters = 0;
  private isDisposed = false;

  constructor(private readonly dependencies: GatheringWriterDependencies) {
    super();
  }

  override write(write: RowWrite): Promise<RowResult> {
    const gatherer = this.gathererOf(write.key);
    if (gatherer === undefined || this.isDisposed || this.isFull()) {
      return this.dependencies.directWriter.write(write);
    }
    return new Promise(resolve => {
      this.enqueue(gatherer.address, {write, resolve});
    });
  }

  dispose(): void {
    this.isDisposed = true;
    for (const [address, batch] of this.batches) {
      batch.timer.dispose();
      this.batches.delete(address);
      void this.writeDirectly(batch.rows, result => result);
    }
  }

  private isFull(): boolean {
    const {queueLimit, queueCharacters} = this.dependencies.settings;
    return (
      this.queuedRows >= queueLimit || this.queuedCharacters >= queueCharacters
    );
  }

  /** The gatherer of a row; undefined when this instance writes the row itself. */
  private gathererOf(key: string): PeerInstance | undefined {
    const {directory, incarnation, settings} = this.dependencies;
    const chosen = chooseGatherer(directory, incarnation, key, settings);
    return chosen?.incarnation === incarnation ? undefined : chosen;
  }

  private enqueue(address: string, row: PendingRow): void {
    this.queuedRows++;
    this.queuedCharacters += valueLength(row.write);
    const batch = this.batches.get(address) ?? this.openBatch(address);
    batch.rows.push(row);
    if (batch.rows.length >= this.dependencies.settings.batchRowLimit) {
      this.flush(address);
    }
  }

  private openBatch(address: string): Batch {
    const {clock, settings} = this.dependencies;
    const timer = clock.setTimer(settings.batchMilliseconds, () =>
      this.flush(address),
    );
    const batch: Batch = {rows: [], timer};
    this.batches.set(address, batch);
    return batch;
  }

  private flush(address: string): void {
    const batch = this.batches.get(address);
    if (batch === undefined) {
      return;
    }
    this.batches.delete(address);
    batch.timer.dispose();
    void this.send(address, batch.rows);
  }

  private async send(
    address: string,
    rows: readonly PendingRow[],
  ): Promise<void> {
    const results = await this.gather(address, rows);
    const maybeWritten: PendingRow[] = [];
    const notWritten: PendingRow[] = [];
    rows.forEach((row, index) => {
      const result = results[index];
      if (result?.ok === true || errorKindOf(result) === 'rateLimited') {
        this.resolveRow(row, result!);
      } else if (errorKindOf(result) === 'unavailable') {
        notWritten.push(row);
      } else {
        maybeWritten.push(row);
      }
    });
    await Promise.all([
      this.writeDirectly(notWritten, result => result),
      this.writeDirectly(maybeWritten, toOutcomeUnknown),
    ]);
  }

  private async gather(
    address: string,
    rows: readonly PendingRow[],
  ): Promise<readonly RowResult[]> {
    const {clock, peers, settings, metrics} = this.dependencies;
    const source = new CancellationSource();
    const timer = clock.setTimer(settings.timeoutMilliseconds, () =>
      source.cancel('gatherer timeout'),
    );
    try {
      const writes = rows.map(row => row.write);
      return await peers.gather(address, writes, source.token);
    } catch {
      metrics.count('claims.gather_failed', rows.length);
      return [];
    } finally {
      timer.dispose();
      source.dispose();
    }
  }

  private async writeDirectly(
    rows: readonly PendingRow[],
    mapResult: (result: RowResult) => RowResult,
  ): Promise<void> {
    await Promise.all(
      rows.map(async row => {
        const result = await this.dependencies.directWriter.write(row.write);
        this.resolveRow(row, mapResult(result));
      }),
    );
  }

  private resolveRow(row: PendingRow, result: RowResult): void {
    this.queuedRows--;
    this.queuedCharacters -= valueLength(row.write);
    row.resolve(result);
  }
}

/** The gatherer of a row in the region of an instance; undefined when there are too few instances. */
function chooseGatherer(
  directory: PeerDirectory,
  incarnation: string,
  key: string,
  settings: GatherSettings,
): PeerInstance | undefined {
  const ready = directory.readyInstances();
  if (ready.length <= settings.aboveInstances) {
    return undefined;
  }
  const region = directory.resolve(incarnation)?.region;
  const peersInRegion = ready.filter(peer => peer.region === region);
  const gatherers = rankByRendezvous(
    GATHERER_LABEL,
    peersInRegion,
    peer => peer.id,
  ).slice(0, settings.gatherersPerRegion);
  return rankByRendezvous(key, gatherers, peer => peer.id)[0];
}

/** Number of instances that write claim rows to the table. */
export function countCommitters(
  directory: PeerDirectory,
  settings: GatherSettings,
): number {
  const ready = directory.readyInstances();
  if (ready.length <= settings.aboveInstances) {
    return Math.max(1, ready.length);
  }
  const regions = new Set(ready.map(peer => peer.region));
  return regions.size * settings.gatherersPerRegion;
}

/** After a failed call to a gatherer, the gatherer may have written the row even if the direct write failed. */
function toOutcomeUnknown(result: RowResult): RowResult {
  if (result.ok || result.error.kind === 'outcomeUnknown') {
    return result;
  }
  return failure({kind: 'outcomeUnknown', detail: 'gatherer and table failed'});
}

function errorKindOf(result: RowResult | undefined): string | undefined {
  return result === undefined || result.ok ? undefined : result.error.kind;
}
