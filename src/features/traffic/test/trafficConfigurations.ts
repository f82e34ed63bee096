import {Route, TrafficConfiguration} from '../common/trafficConfiguration.js';

/** Builders of traffic configurations for tests. */

/** Creates a route on `host.example`; `fields` overrides the defaults. */
export function makeRoute(fields: Partial<Route> = {}): Route {
  return {
    name: 'r',
    host: 'host.example',
    pathPrefix: '/a/',
    kind: 'safe',
    timeoutMilliseconds: 1000,
    latencyTargetMilliseconds: 200,
    pauseTargetMilliseconds: undefined,
    attemptLimit: 2,
    priority: 1,
    isPublic: false,
    isResumable: false,
    targets: [{service: 's', weight: 1}],
    ...fields,
  };
}

/** Creates a configuration with one route; `fields` overrides the defaults. */
export function makeConfiguration(
  fields: Partial<TrafficConfiguration> = {},
): TrafficConfiguration {
  return {
    version: 1,
    routes: [makeRoute()],
    services: [
      {
        name: 's',
        healthPath: '/healthz',
        connectionLimit: 100,
        engine: undefined,
      },
    ],
    limits: {
      headerBytes: 16384,
      bodyBytes: 4194304,
      headerMilliseconds: 3000,
      idleMilliseconds: 15000,
    },
    accounts: [{name: 'account', keys: ['key'], priority: undefined}],
    ...fields,
  };
}
