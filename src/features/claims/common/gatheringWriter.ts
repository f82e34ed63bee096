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
import {RowResult, RowWriter, textLength} from './rowWriter.js';

/** The name that all instances rank gatherers by, so that they agree without messages. */
const GATHERER_LABEL = 'claim-gatherer';

/** What the writer needs. */
export interface GatheringWriterParts {
  /** The own way to the table. */
  readonly direct: RowWriter;
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

/** Rows that wait for one gatherer. */
interface Batch {
  rows: PendingRow[];
  readonly timer: Disposable;
}

/**
 * Sends rows to a few gatherers when there are many instances, so that transactions stay full. When
 * a gatherer fails the same row is written directly: the row's condition and nonce make the second
 * write harmless if the first took effect, and the first harmless if it comes late.
 */
export class GatheringWriter extends RowWriter implements Disposable {
  private readonly batches = new Map<string, Batch>();
  private waiting = 0;
  /** Text of the rows that wait. */
  private characters = 0;
  private disposed = false;

  constructor(private readonly parts: GatheringWriterParts) {
    super();
  }

  override write(write: RowWrite): Promise<RowResult> {
    const gatherer = this.gathererOf(write.key);
    if (gatherer === undefined || this.disposed || this.isFull()) {
      return this.parts.direct.write(write);
    }
    return new Promise(resolve => {
      this.enqueue(gatherer.address, {write, resolve});
    });
  }

  dispose(): void {
    this.disposed = true;
    for (const [address, batch] of this.batches) {
      batch.timer.dispose();
      this.batches.delete(address);
      void this.writeDirectly(batch.rows, result => result);
    }
  }

  private isFull(): boolean {
    const {queueLimit, queueCharacters} = this.parts.settings;
    return this.waiting >= queueLimit || this.characters >= queueCharacters;
  }

  /** The gatherer of a key; undefined when this instance writes it itself. */
  private gathererOf(key: string): PeerInstance | undefined {
    const {directory, incarnation, settings} = this.parts;
    const chosen = chooseGatherer(directory, incarnation, key, settings);
    return chosen?.incarnation === incarnation ? undefined : chosen;
  }

  private enqueue(address: string, row: PendingRow): void {
    this.waiting++;
    this.characters += textLength(row.write);
    const batch = this.batches.get(address) ?? this.openBatch(address);
    batch.rows.push(row);
    if (batch.rows.length >= this.parts.settings.batchRowLimit) {
      this.flush(address);
    }
  }

  private openBatch(address: string): Batch {
    const {clock, settings} = this.parts;
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
    const undecided: PendingRow[] = [];
    const untouched: PendingRow[] = [];
    rows.forEach((row, index) => {
      const result = results[index];
      if (result?.ok === true || errorKind(result) === 'rateLimited') {
        this.finish(row, result!);
      } else if (errorKind(result) === 'unavailable') {
        untouched.push(row);
      } else {
        undecided.push(row);
      }
    });
    await Promise.all([
      this.writeDirectly(untouched, result => result),
      this.writeDirectly(undecided, weaken),
    ]);
  }

  private async gather(
    address: string,
    rows: readonly PendingRow[],
  ): Promise<readonly RowResult[]> {
    const {clock, peers, settings, metrics} = this.parts;
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
    judge: (result: RowResult) => RowResult,
  ): Promise<void> {
    await Promise.all(
      rows.map(async row => {
        const result = await this.parts.direct.write(row.write);
        this.finish(row, judge(result));
      }),
    );
  }

  private finish(row: PendingRow, result: RowResult): void {
    this.waiting--;
    this.characters -= textLength(row.write);
    row.resolve(result);
  }
}

/** The gatherer of a key in the region of an instance; undefined when there are too few instances. */
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
  const near = ready.filter(peer => peer.region === region);
  const gatherers = rankByRendezvous(
    GATHERER_LABEL,
    near,
    peer => peer.id,
  ).slice(0, settings.gatherersPerRegion);
  return rankByRendezvous(key, gatherers, peer => peer.id)[0];
}

/** How many instances write claim rows to the table. */
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

/** After a lost call to a gatherer, a direct write without effect doesn't prove that there was none. */
function weaken(result: RowResult): RowResult {
  if (result.ok || result.error.kind === 'outcomeUnknown') {
    return result;
  }
  return failure({kind: 'outcomeUnknown', detail: 'gatherer and table failed'});
}

function errorKind(result: RowResult | undefined): string | undefined {
  return result === undefined || result.ok ? undefined : result.error.kind;
}
