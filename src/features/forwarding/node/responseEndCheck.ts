import {Upstream} from '../../fleet/common/upstream.js';
import {UpstreamLinks} from '../../links/common/upstreamLinks.js';
import {UpstreamProber} from './upstreamProber.js';

/** Decides whether a response is whole that ended with its connection, without marking its own end. */
export class ResponseEndCheck {
  constructor(
    private readonly prober: UpstreamProber,
    private readonly links: UpstreamLinks,
  ) {}

  /**
   * The connections of an upstream that has crashed end, too, so it must still be alive. The connection through a peer also
   * ends with that peer, so its end proves nothing.
   */
  async isWhole(upstream: Upstream): Promise<boolean> {
    return (
      !this.links.wasRelayed(upstream.address) &&
      (await this.prober.isAlive(upstream))
    );
  }
}
