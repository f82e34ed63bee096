import {Gauge, Registry} from 'prom-client';

import {PromptGuard} from '../../features/crashes/common/promptGuard.js';
import {UpstreamLimitTracker} from '../../features/fleet/common/upstreamLimitTracker.js';
import {UpstreamRests} from '../../features/fleet/common/upstreamRests.js';
import {UpstreamLinks} from '../../features/links/common/upstreamLinks.js';
import {TunnelServer} from '../../infrastructure/tunnel/node/tunnelServer.js';

/** Gauges of what the router knows about upstreams and does for peers. */

/** What the gauges read. */
export interface GaugeSources {
  readonly limits: UpstreamLimitTracker;
  readonly rests: UpstreamRests;
  readonly links: UpstreamLinks;
  readonly tunnels: TunnelServer;
  readonly promptGuard: PromptGuard;
}

/** Registers the gauges; they are read when the metrics are collected. */
export function registerUpstreamGauges(
  metrics: Registry,
  {limits, rests, links, tunnels, promptGuard}: GaugeSources,
): void {
  registerGauge(
    metrics,
    'redwing_limited_upstreams',
    'Upstreams that name a limit of requests a second.',
    () => limits.limitedCount,
  );
  registerGauge(
    metrics,
    'redwing_resting_upstreams',
    'Upstreams that asked this instance for a time without requests.',
    () => rests.count,
  );
  registerGauge(
    metrics,
    'redwing_relayed_upstreams',
    'Upstreams that this instance reaches only through peers.',
    () => links.relayedAddresses.length,
  );
  registerGauge(
    metrics,
    'redwing_open_tunnels',
    'Connections to upstreams that this instance relays for peers.',
    () => tunnels.count,
  );
  registerGauge(
    metrics,
    'redwing_suspect_prompt_parts',
    'Prompt parts under which upstreams keep crashing.',
    () => promptGuard.suspectPartCount,
  );
  registerGauge(
    metrics,
    'redwing_remembered_crashes',
    'Crashes of upstreams in the last day, with the requests that may have caused them.',
    () => promptGuard.crashCount,
  );
}

function registerGauge(
  registry: Registry,
  name: string,
  help: string,
  read: () => number,
): void {
  new Gauge({
    name,
    help,
    registers: [registry],
    collect() {
      this.set(read());
    },
  });
}
