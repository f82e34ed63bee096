import {Clock} from '../../../base/common/clock.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {UpstreamLimitTracker} from '../../fleet/common/upstreamLimitTracker.js';
import {UpstreamRateLimiter} from '../../fleet/common/upstreamRateLimiter.js';
import {HeaderCodec, RawHeaders} from '../common/headerCodec.js';
import {
  ExchangeFailure,
  ResponseListener,
  UpstreamConnector,
  UpstreamExchange,
  UpstreamRequest,
} from '../common/upstreamExchange.js';

/**
 * Reads the limits that upstreams name in their responses, and counts what is sent to them. Every request to an
 * upstream passes through it.
 */
export class LimitedConnector extends UpstreamConnector {
  constructor(
    private readonly connector: UpstreamConnector,
    private readonly headerCodec: HeaderCodec,
    private readonly clock: Clock,
    private readonly limits: UpstreamLimitTracker,
    private readonly rateLimiter: UpstreamRateLimiter,
  ) {
    super();
  }

  override open(
    upstream: Upstream,
    request: UpstreamRequest,
    listener: ResponseListener,
  ): UpstreamExchange {
    this.rateLimiter.recordSend(upstream);
    const sentAt = this.clock.monotonicMilliseconds();
    const readHead = (status: number, headers: RawHeaders): void => {
      const response = this.headerCodec.readResponse(status, headers);
      // A misdirected request was answered by another upstream at the same address.
      if (!response.isMisdirected) {
        this.limits.recordOwn(upstream.id, response.requestLimit, sentAt);
      }
    };
    return this.connector.open(
      upstream,
      request,
      new HeadListener(listener, readHead),
    );
  }
}

/** Passes a response on and shows its head to a callback first. */
class HeadListener extends ResponseListener {
  constructor(
    private readonly listener: ResponseListener,
    private readonly readHead: (status: number, headers: RawHeaders) => void,
  ) {
    super();
  }

  override onHead(status: number, reason: string, headers: RawHeaders): void {
    this.readHead(status, headers);
    this.listener.onHead(status, reason, headers);
  }

  override onBody(chunk: Uint8Array): void {
    this.listener.onBody(chunk);
  }

  override onEnd(isFramed: boolean): void {
    this.listener.onEnd(isFramed);
  }

  override onFailure(failure: ExchangeFailure): void {
    this.listener.onFailure(failure);
  }
}
