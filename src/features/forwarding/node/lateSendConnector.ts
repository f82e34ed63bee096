import {Clock} from '../../../base/common/clock.js';
import {EventLoop, isLoopLate} from '../../../base/common/eventLoop.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {
  ResponseListener,
  UpstreamConnector,
  UpstreamExchange,
  UpstreamRequest,
} from '../common/upstreamExchange.js';

/**
 * Sends a request that was decided on while the event loop was late only after the loop has read whether its caller has left: requests
 * that waited for a path or a repeat are sent from timers.
 */
export class LateSendConnector extends UpstreamConnector {
  constructor(
    private readonly connector: UpstreamConnector,
    private readonly clock: Clock,
    private readonly eventLoop: EventLoop,
  ) {
    super();
  }

  override open(
    upstream: Upstream,
    request: UpstreamRequest,
    listener: ResponseListener,
  ): UpstreamExchange {
    const open = (): UpstreamExchange =>
      this.connector.open(upstream, request, listener);
    if (!isLoopLate(this.clock, this.eventLoop)) {
      return open();
    }
    const exchange = new PendingExchange();
    void this.eventLoop.nextPoll().then(() => exchange.open(open));
    return exchange;
  }
}

/** An exchange that begins later, unless it is disposed before. */
class PendingExchange extends UpstreamExchange {
  private exchange: UpstreamExchange | undefined;
  private isPaused = false;
  private isDisposed = false;

  open(open: () => UpstreamExchange): void {
    if (this.isDisposed) {
      return;
    }
    this.exchange = open();
    if (this.isPaused) {
      this.exchange.pause();
    }
  }

  override pause(): void {
    this.isPaused = true;
    this.exchange?.pause();
  }

  override resume(): void {
    this.isPaused = false;
    this.exchange?.resume();
  }

  override dispose(): void {
    this.isDisposed = true;
    this.exchange?.dispose();
  }
}
