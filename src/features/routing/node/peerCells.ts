import {Clock} from '../../../base/common/clock.js';
import {Disposable, toDisposable} from '../../../base/common/lifecycle.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {createRpcClient} from '../../../infrastructure/rpc/node/rpc.js';
import {
  decodeResponse,
  decodeSummaries,
  encodeFailure,
  encodeReleases,
  encodeReplan,
  encodeReserve,
} from '../common/cellCodec.js';
import {
  CellAuthority,
  FailureMessage,
  ReleaseMessage,
  ReplanRequest,
  ReserveResponse,
  ReserveRequest,
  SummaryMessage,
} from '../common/cellMessages.js';
import {responseRowSchema, summaryRowsSchema} from '../common/cellSchemas.js';
import {CellRouter} from './cellRouter.js';

/** Time for which releases are batched if no other call carries them. */
const RELEASE_BATCH_MILLISECONDS = 100;
/** Pending releases of a peer. Older ones are dropped, and their reservations end when they expire. */
const MAX_PENDING_RELEASES = 512;
const BEST_EFFORT_TIMEOUT_MILLISECONDS = 1000;

/** Client for the cells of one peer. Calls reject if the peer is unreachable or the signal is aborted. */
export class PeerCells extends CellAuthority {
  private readonly client;
  private releases: ReleaseMessage[] = [];
  private flushTimer: Disposable | undefined;

  constructor(
    address: string,
    peerKey: string,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {
    super();
    this.client = this.register(createRpcClient<CellRouter>(address, peerKey));
    this.register(toDisposable(() => this.flushTimer?.dispose()));
  }

  override async reserve(
    call: ReserveRequest,
    signal: AbortSignal,
  ): Promise<ReserveResponse> {
    const row = encodeReserve(this.withPendingReleases(call));
    const responseRow = await this.client.call.cells.reserve.mutate(row, {
      signal,
    });
    return decodeResponse(call, responseRowSchema.parse(responseRow));
  }

  override async replan(
    call: ReplanRequest,
    signal: AbortSignal,
  ): Promise<ReserveResponse> {
    const row = encodeReplan(this.withPendingReleases(call));
    const responseRow = await this.client.call.cells.replan.mutate(row, {
      signal,
    });
    return decodeResponse(call, responseRowSchema.parse(responseRow));
  }

  /** Batches releases; they are sent with the next call or, soon after, on their own. */
  override release(releases: readonly ReleaseMessage[]): void {
    this.releases.push(...releases);
    const excess = this.releases.length - MAX_PENDING_RELEASES;
    if (excess > 0) {
      this.releases = this.releases.slice(excess);
      this.metrics.count('routing.release.dropped', excess);
    }
    this.flushTimer ??= this.clock.setTimer(RELEASE_BATCH_MILLISECONDS, () =>
      this.flush(),
    );
  }

  override reportFailure(failure: FailureMessage): void {
    this.sendWithoutRetry(signal =>
      this.client.call.cells.reportFailure.mutate(encodeFailure(failure), {
        signal,
      }),
    );
  }

  override async summaries(
    model: string | undefined,
    signal: AbortSignal,
  ): Promise<readonly SummaryMessage[]> {
    const {summaries} = this.client.call.cells;
    const rows = await summaries.mutate({model}, {signal});
    return decodeSummaries(summaryRowsSchema.parse(rows));
  }

  private withPendingReleases<Call extends ReserveRequest>(call: Call): Call {
    return {
      ...call,
      releases: [...call.releases, ...this.takePendingReleases()],
    };
  }

  private flush(): void {
    const releases = this.takePendingReleases();
    if (releases.length > 0) {
      this.sendWithoutRetry(signal =>
        this.client.call.cells.release.mutate(encodeReleases(releases), {
          signal,
        }),
      );
    }
  }

  private takePendingReleases(): readonly ReleaseMessage[] {
    this.flushTimer?.dispose();
    this.flushTimer = undefined;
    const releases = this.releases;
    this.releases = [];
    return releases;
  }

  /** Sends a message without retries: losing it only makes estimates less accurate. */
  private sendWithoutRetry(
    send: (signal: AbortSignal) => Promise<unknown>,
  ): void {
    const controller = new AbortController();
    const timer = this.clock.setTimer(BEST_EFFORT_TIMEOUT_MILLISECONDS, () =>
      controller.abort(),
    );
    send(controller.signal)
      .catch(() => this.metrics.count('routing.notice.lost', 1))
      .finally(() => timer.dispose());
  }
}
