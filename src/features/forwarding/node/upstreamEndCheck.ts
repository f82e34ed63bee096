import {Clock} from '../../../base/common/clock.js';
import {EndedUpstreams} from '../../fleet/common/endedUpstreams.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {UpstreamControl} from '../../fleet/common/upstreamControl.js';
import {
  isRefusedEverywhere,
  PeerReachability,
} from '../../links/common/reachability.js';
import {ReachabilityTester} from '../../links/node/reachabilityTester.js';

/** Time between two checks of an upstream; each may cost connections at every instance. */
const PERIOD_MILLISECONDS = 400;

const REPORT_TIMEOUT_MILLISECONDS = 250;

interface StartedCheck {
  /** Monotonic milliseconds. */
  readonly at: number;
  readonly result: Promise<void>;
}

/** Looks for a proof that an upstream has ended, on behalf of requests that may be sent elsewhere only then. */
export class UpstreamEndCheck {
  private readonly checks = new Map<string, StartedCheck>();

  constructor(
    private readonly clock: Clock,
    private readonly control: UpstreamControl,
    private readonly ownLinks: ReachabilityTester,
    private readonly peerLinks: PeerReachability,
    private readonly ended: EndedUpstreams,
  ) {}

  /**
   * Checks an upstream unless that was done just before; resolves when the check is over.
   * @param hasBrokenOff whether a response of the upstream broke off. Otherwise a refused connection may only be a
   *     sign of its limit on connections.
   */
  request(upstream: Upstream, hasBrokenOff: boolean): Promise<void> {
    const now = this.clock.monotonicMilliseconds();
    this.removeOld(now);
    const known = this.checks.get(upstream.id);
    if (known !== undefined) {
      return known.result;
    }
    const result = this.check(upstream, hasBrokenOff);
    this.checks.set(upstream.id, {at: now, result});
    return result;
  }

  private async check(
    upstream: Upstream,
    hasBrokenOff: boolean,
  ): Promise<void> {
    const report = await this.control.report(
      upstream,
      REPORT_TIMEOUT_MILLISECONDS,
    );
    if (report.ok) {
      this.ended.recordRunning(upstream.id);
      return;
    }
    if (report.error.kind === 'misdirected') {
      this.ended.record(upstream.id, 'replaced', {});
    } else if (report.error.kind === 'noAnswer' && hasBrokenOff) {
      await this.checkConnections(upstream);
    }
  }

  private async checkConnections({id, address}: Upstream): Promise<void> {
    const own = await this.ownLinks.test(address);
    if (own !== 'refused') {
      return;
    }
    const peers = await this.peerLinks.askAll(address);
    if (peers !== undefined && isRefusedEverywhere(own, peers)) {
      this.ended.record(id, 'refused', {instances: peers.length + 1});
    } else if (peers?.includes('reached') && !this.ended.hasEnded(id)) {
      this.ended.recordRunning(id);
    }
  }

  private removeOld(now: number): void {
    for (const [id, {at}] of this.checks) {
      if (now - at >= PERIOD_MILLISECONDS) {
        this.checks.delete(id);
      }
    }
  }
}
