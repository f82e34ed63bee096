import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Emitter} from '../../../base/common/event.js';
import {
  createRpcClient,
  RpcClient,
} from '../../../infrastructure/rpc/node/rpc.js';
import {EntryAnnouncement, SystemView} from '../common/systemView.js';
import {SystemViewSource} from '../common/systemViewSource.js';
import {ViewMerger} from '../common/viewMerger.js';
import {ViewPosition, ViewUpdate} from '../common/viewPublisher.js';
import {ViewRouter} from './viewRouter.js';

const WATCH_TIMEOUT_MILLISECONDS = 8_000;
const ANNOUNCE_TIMEOUT_MILLISECONDS = 1_000;
const RETRY_DELAY_MILLISECONDS = 250;

/** Watches the view of the instance's control program and announces the entry program to it. */
export class ControlViewSource extends SystemViewSource {
  private readonly merger = new ViewMerger();
  private readonly changed = new Emitter<SystemView>();
  private readonly lifetime = new CancellationSource();
  private readonly client: RpcClient<ViewRouter>;
  private position: ViewPosition | undefined;
  private respondedAt: number | undefined;

  override readonly onDidChange = this.changed.event;

  constructor(
    controlAddress: string,
    peerKey: string,
    private readonly clock: Clock,
    private announcement: EntryAnnouncement,
  ) {
    super();
    this.client = createRpcClient<ViewRouter>(controlAddress, peerKey);
  }

  override get current(): SystemView | undefined {
    return this.merger.current;
  }

  override get lastResponseAt(): number | undefined {
    return this.respondedAt;
  }

  /** Starts watching; stops on dispose. */
  start(): void {
    void this.watchUntilCancelled(this.lifetime.token);
  }

  /** Sends a changed announcement; it is sent again after each restart of the control program. */
  override async announce(announcement: EntryAnnouncement): Promise<boolean> {
    this.announcement = announcement;
    return this.sendAnnouncement(this.lifetime.token);
  }

  override dispose(): void {
    this.lifetime.cancel('stopped');
    this.lifetime.dispose();
    this.client.dispose();
    this.changed.dispose();
  }

  private async watchUntilCancelled(token: CancellationToken): Promise<void> {
    while (!token.isCancelled) {
      const hasResponded = await this.watchOnce(token);
      if (!hasResponded && !token.isCancelled) {
        this.handleNoResponse();
        await this.pause(token);
      }
    }
  }

  private async watchOnce(token: CancellationToken): Promise<boolean> {
    const source = new CancellationSource(token);
    source.cancelAfter(
      WATCH_TIMEOUT_MILLISECONDS,
      'control program did not respond to the watch in time',
    );
    try {
      const since = this.position;
      const update = await this.client.call.view.watch.query(
        since === undefined ? {} : {since},
        {signal: source.token.signal},
      );
      const hasRestarted = update.position.source !== since?.source;
      this.position = update.position;
      const now = this.clock.monotonicMilliseconds();
      this.respondedAt = now;
      // JSON omits undefined fields, which is equivalent here.
      this.changed.fire(this.merger.applyUpdate(update as ViewUpdate, now));
      return hasRestarted ? await this.sendAnnouncement(token) : true;
    } catch {
      return false;
    } finally {
      source.dispose();
    }
  }

  private async sendAnnouncement(token: CancellationToken): Promise<boolean> {
    const source = new CancellationSource(token);
    source.cancelAfter(
      ANNOUNCE_TIMEOUT_MILLISECONDS,
      'control program did not respond to the announcement in time',
    );
    try {
      await this.client.call.view.announce.mutate(this.announcement, {
        signal: source.token.signal,
      });
      return true;
    } catch {
      this.position = undefined;
      return false;
    } finally {
      source.dispose();
    }
  }

  private handleNoResponse(): void {
    const view = this.merger.lost(this.clock.monotonicMilliseconds());
    if (view !== undefined) {
      this.changed.fire(view);
    }
  }

  private pause(token: CancellationToken): Promise<void> {
    return new Promise(resolve => {
      const timer = this.clock.setTimer(RETRY_DELAY_MILLISECONDS, () => {
        cancelled.dispose();
        resolve();
      });
      const cancelled = token.onDidCancel(() => {
        timer.dispose();
        resolve();
      });
    });
  }
}
