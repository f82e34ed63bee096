import {Clock} from '../../../base/common/clock.js';
import {Disposable, toDisposable} from '../../../base/common/lifecycle.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {createRpcClient} from '../../../infrastructure/rpc/node/rpc.js';
import {
  decodeAnswer,
  decodeSummaries,
  encodeFailure,
  encodeReleases,
  encodeReplan,
  encodeReserve,
} from '../common/cellCodec.js';
import {
  CellAuthority,
  FailureNote,
  ReleaseNote,
  ReplanCall,
  ReserveAnswer,
  ReserveCall,
  SummaryNote,
} from '../common/cellMessages.js';
import {answerRow, summaryRows} from '../common/cellSchemas.js';
import {CellRouter} from './cellRouter.js';

/** Milliseconds for which releases are gathered if no call takes them along. */
const GATHER_MILLISECONDS = 100;
/** Releases kept for a peer; what is beyond heals by the reservations' time-out. */
const RELEASES_KEPT = 512;
const NOTICE_TIMEOUT_MILLISECONDS = 1000;

/** The cells of one peer, over its peer address. Rejects when the peer can't be reached or the signal fires. */
export class PeerCells extends CellAuthority {
  private readonly client;
  private releases: ReleaseNote[] = [];
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
    call: ReserveCall,
    signal: AbortSignal,
  ): Promise<ReserveAnswer> {
    const row = encodeReserve(this.withReleases(call));
    const answer = await this.client.call.cells.reserve.mutate(row, {signal});
    return decodeAnswer(call, answerRow.parse(answer));
  }

  override async replan(
    call: ReplanCall,
    signal: AbortSignal,
  ): Promise<ReserveAnswer> {
    const row = encodeReplan(this.withReleases(call));
    const answer = await this.client.call.cells.replan.mutate(row, {signal});
    return decodeAnswer(call, answerRow.parse(answer));
  }

  /** Gathers releases; they go with the next call or shortly by themselves. */
  override release(notes: readonly ReleaseNote[]): void {
    this.releases.push(...notes);
    const dropped = this.releases.length - RELEASES_KEPT;
    if (dropped > 0) {
      this.releases = this.releases.slice(dropped);
      this.metrics.count('routing.release.dropped', dropped);
    }
    this.flushTimer ??= this.clock.setTimer(GATHER_MILLISECONDS, () =>
      this.flush(),
    );
  }

  override reportFailure(note: FailureNote): void {
    this.notice(signal =>
      this.client.call.cells.reportFailure.mutate(encodeFailure(note), {
        signal,
      }),
    );
  }

  override async summaries(
    model: string | undefined,
    signal: AbortSignal,
  ): Promise<readonly SummaryNote[]> {
    const {summaries} = this.client.call.cells;
    const rows = await summaries.mutate({model}, {signal});
    return decodeSummaries(summaryRows.parse(rows));
  }

  private withReleases<Call extends ReserveCall>(call: Call): Call {
    return {...call, releases: [...call.releases, ...this.takeReleases()]};
  }

  private flush(): void {
    const releases = this.takeReleases();
    if (releases.length > 0) {
      this.notice(signal =>
        this.client.call.cells.release.mutate(encodeReleases(releases), {
          signal,
        }),
      );
    }
  }

  private takeReleases(): readonly ReleaseNote[] {
    this.flushTimer?.dispose();
    this.flushTimer = undefined;
    const taken = this.releases;
    this.releases = [];
    return taken;
  }

  /** Sends something whose loss harms only estimates. */
  private notice(send: (signal: AbortSignal) => Promise<unknown>): void {
    const controller = new AbortController();
    const timer = this.clock.setTimer(NOTICE_TIMEOUT_MILLISECONDS, () =>
      controller.abort(),
    );
    send(controller.signal)
      .catch(() => this.metrics.count('routing.notice.lost', 1))
      .finally(() => timer.dispose());
  }
}
