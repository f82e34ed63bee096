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

const CALL_MILLISECONDS = 8_000;
const ANNOUNCE_MILLISECONDS = 1_000;
const RETRY_MILLISECONDS = 250;

/** Follows the view of the instance's control program and announces the entry program to it. */
export class ControlViewSource extends SystemViewSource {
  private readonly merger = new ViewMerger();
  private readonly changed = new Emitter<SystemView>();
  private readonly lifetime = new CancellationSource();
  private readonly client: RpcClient<ViewRouter>;
  private position: ViewPosition | undefined;
  private answeredAt: number | undefined;

  /** Fires after each newer view. */
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

  /** The newest view; undefined until the first. */
  override get current(): SystemView | undefined {
    return this.merger.current;
  }

  override get heardAt(): number | undefined {
    return this.answeredAt;
  }

  /** Begins to follow; ends on dispose. */
  start(): void {
    void this.follow(this.lifetime.token);
  }

  /** Tells the control program what changed; it is told again when it starts again. */
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

  private async follow(token: CancellationToken): Promise<void> {
    while (!token.isCancelled) {
      const answered = await this.watchOnce(token);
      if (!answered && !token.isCancelled) {
        this.noteLost();
        await this.pause(token);
      }
    }
  }

  private async watchOnce(token: CancellationToken): Promise<boolean> {
    const source = new CancellationSource(token);
    source.cancelAfter(CALL_MILLISECONDS, 'control program did not answer');
    try {
      const since = this.position;
      const update = await this.client.call.view.watch.query(
        since === undefined ? {} : {since},
        {signal: source.token.signal},
      );
      const isOther = update.position.source !== since?.source;
      this.position = update.position;
      const now = this.clock.monotonicMilliseconds();
      this.answeredAt = now;
      // JSON leaves out fields without a value, which reads the same.
      this.changed.fire(this.merger.take(update as ViewUpdate, now));
      return isOther ? await this.sendAnnouncement(token) : true;
    } catch {
      return false;
    } finally {
      source.dispose();
    }
  }

  private async sendAnnouncement(token: CancellationToken): Promise<boolean> {
    const source = new CancellationSource(token);
    source.cancelAfter(ANNOUNCE_MILLISECONDS, 'control did not answer');
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

  private noteLost(): void {
    const view = this.merger.lost(this.clock.monotonicMilliseconds());
    if (view !== undefined) {
      this.changed.fire(view);
    }
  }

  private pause(token: CancellationToken): Promise<void> {
    return new Promise(resolve => {
      const timer = this.clock.setTimer(RETRY_MILLISECONDS, () => {
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
