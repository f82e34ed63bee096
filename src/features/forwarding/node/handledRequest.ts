import {CallerExchange} from '../common/callerExchange.js';
import {RequestMetadata} from '../common/headerCodec.js';
import {RequestForwarder} from './requestForwarder.js';
import {RequestInProgress} from './requestsInProgress.js';

/** A caller's request: first before its admission, then in the hands of a forwarder. */
export class HandledRequest extends RequestInProgress {
  /** Forwards the request once it is admitted. */
  forwarder: RequestForwarder | undefined;
  /** Whether it was refused because the instance stops, while it waited for its turn or its body. */
  private hasBeenRefused = false;

  constructor(
    readonly exchange: CallerExchange,
    readonly facts: RequestMetadata,
    /** Monotonic milliseconds at which it arrived at the earliest; the event loop may have read it later. */
    readonly arrivedAt: number,
    private readonly refuseForStop: (request: HandledRequest) => void,
  ) {
    super();
  }

  get isRefused(): boolean {
    return this.hasBeenRefused;
  }

  /** Whether it may have waited unread, because the event loop was late. */
  get mayHaveWaited(): boolean {
    return this.arrivedAt < this.exchange.request.receivedAt;
  }

  override endForStop(): void {
    if (this.forwarder === undefined) {
      this.hasBeenRefused = true;
      this.refuseForStop(this);
    } else {
      this.forwarder.endForStop();
    }
  }
}
