import {
  EventLoop,
  ON_TIME_MILLISECONDS,
} from '../../../base/common/eventLoop.js';
import {CallerRequest} from './callerExchange.js';

/** A request that waits for its turn. */
interface WaitingRequest {
  /** Whether its caller has left or it was refused. */
  readonly hasEnded: () => boolean;
  readonly goOn: () => void;
}

/**
 * Decides when requests that were just read are handled: at once, or, after the event loop was late, one by one and the newest first, each
 * after the loop has read which callers have left. So the time that the process has goes to callers who still wait.
 */
export class ArrivalQueue {
  /** The newest is the last. */
  private readonly waiting: WaitingRequest[] = [];
  private isReleasing = false;

  constructor(private readonly eventLoop: EventLoop) {}

  /** Monotonic milliseconds at which a request arrived at the earliest. */
  earliestArrival({
    receivedAt,
    connectedAfter = this.eventLoop.readUntil,
  }: Pick<CallerRequest, 'receivedAt' | 'connectedAfter'>): number {
    return receivedAt - connectedAfter > ON_TIME_MILLISECONDS
      ? connectedAfter
      : receivedAt;
  }

  /** Resolves when it is the turn of a request; undefined if it is now. */
  turn(
    mayHaveWaited: boolean,
    hasEnded: () => boolean,
  ): Promise<void> | undefined {
    if (!mayHaveWaited && !this.isReleasing) {
      return undefined;
    }
    return new Promise(goOn => {
      this.waiting.push({hasEnded, goOn});
      if (!this.isReleasing) {
        this.isReleasing = true;
        void this.release();
      }
    });
  }

  private async release(): Promise<void> {
    while (this.waiting.length > 0) {
      await this.eventLoop.readAll();
      this.releaseNewest();
    }
    this.isReleasing = false;
  }

  /** Lets the newest request go on whose caller still waits; the newer ones have ended and take no time. */
  private releaseNewest(): void {
    let request: WaitingRequest | undefined;
    do {
      request = this.waiting.pop();
      request?.goOn();
    } while (request?.hasEnded());
  }
}
