import {Clock} from '../../../base/common/clock.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {UpstreamLimitTracker} from '../../fleet/common/upstreamLimitTracker.js';
import {UpstreamAdmission} from '../../fleet/common/upstreamAdmission.js';
import {UpstreamRests} from '../../fleet/common/upstreamRests.js';
import {UpstreamLinks} from '../../links/common/upstreamLinks.js';
import {HeaderCodec, RawHeaders} from '../common/headerCodec.js';
import {
  ExchangeFailure,
  ResponseListener,
  UpstreamConnector,
  UpstreamExchange,
  UpstreamRequest,
} from '../common/upstreamExchange.js';

/**
 * Reads in their responses what upstreams ask of instances and whether they leave, and counts what is sent to them. Every request to an
 * upstream passes through it.
 */
export class AdmissionConnector extends UpstreamConnector {
  constructor(
    private readonly connector: UpstreamConnector,
    private readonly headerCodec: HeaderCodec,
    private readonly clock: Clock,
    private readonly directory: UpstreamDirectory,
    private readonly limits: UpstreamLimitTracker,
    private readonly rests: UpstreamRests,
    private readonly admission: UpstreamAdmission,
    private readonly links: UpstreamLinks,
  ) {
    super();
  }

  override open(
    upstream: Upstream,
    request: UpstreamRequest,
    listener: ResponseListener,
  ): UpstreamExchange {
    this.admission.recordSend(upstream);
    const isRelayed = this.links.isRelayed(upstream.address);
    const sentAt = this.clock.monotonicMilliseconds();
    const readHead = (status: number, headers: RawHeaders): void => {
      const response = this.headerCodec.readResponse(status, headers);
      // A misdirected request was answered by another upstream at the same address.
      if (response.isMisdirected) {
        return;
      }
      this.limits.recordOwn(upstream.id, response.requestLimit, sentAt);
      if (response.isLeaving) {
        this.directory.markLeaving(upstream.id);
      }
      const {restMilliseconds} = response;
      if (restMilliseconds !== undefined) {
        this.rests.record(upstream.id, restMilliseconds, isRelayed);
      }
    };
    return this.connector.open(
      upstream,
      request,
      new ObservingListener(listener, readHead, () =>
        this.rests.recordFlood(upstream.id),
      ),
    );
  }
}

/** Passes a response on, and shows its head and that it does not end to callbacks first. */
class ObservingListener extends ResponseListener {
  constructor(
    private readonly listener: ResponseListener,
    private readonly readHead: (status: number, headers: RawHeaders) => void,
    private readonly recordFlood: () => void,
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
    if (failure.isFlood) {
      this.recordFlood();
    }
    this.listener.onFailure(failure);
  }
}
