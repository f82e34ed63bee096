import {CallerExchange} from '../common/callerExchange.js';
import {RequestMetadata} from '../common/headerCodec.js';
import {RequestForwarder} from './requestForwarder.js';
import {RequestInProgress} from './requestsInProgress.js';

/** A caller's request: first before its admission, then in the hands of a forwarder. */
export class HandledRequest extends RequestInProgress {
  /** Forwards the request once it is admitted. */
  forwarder: RequestForwarder | undefined;

  constructor(
    readonly exchange: CallerExchange,
    readonly facts: RequestMetadata,
    private readonly refuseForStop: (request: HandledRequest) => void,
  ) {
    super();
  }

  override endForStop(): void {
    if (this.forwarder === undefined) {
      this.refuseForStop(this);
    } else {
      this.forwarder.endForStop();
    }
  }
}
