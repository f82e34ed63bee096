import {
  Route,
  TrafficAccount,
  TrafficConfiguration,
} from './trafficConfiguration.js';

/** Index of one configuration: looks up routes by host and path, and client accounts by key. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Map<string, Route>>();
  private readonly accounts = new Map<string, TrafficAccount>();

  constructor(readonly configuration: TrafficConfiguration) {
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routesByPrefix =
        this.routesByHost.get(host) ?? new Map<string, Route>();
      this.routesByHost.set(host, routesByPrefix.set(route.pathPrefix, route));
    }
    for (const account of configuration.accounts ?? []) {
      for (const key of account.keys) {
        this.accounts.set(key, account);
      }
    }
  }

  /** Whether requests need a key on routes that are not public. */
  get requiresKeys(): boolean {
    return this.configuration.accounts !== undefined;
  }

  /** Finds the route of the host with the longest prefix of the path. */
  findRoute(hostHeader: string, target: string): Route | undefined {
    const hostRoutes = this.routesByHost.get(hostName(hostHeader));
    if (hostRoutes === undefined) {
      return undefined;
    }
    let prefix = pathOf(target);
    while (prefix !== '') {
      // Prefixes end with a slash, so only cuts after a slash can match.
      prefix = prefix.slice(0, prefix.lastIndexOf('/') + 1);
      const route = hostRoutes.get(prefix);
      if (route !== undefined) {
        return route;
      }
      prefix = prefix.slice(0, -1);
    }
    return undefined;
  }

  findAccount(key: string): TrafficAccount | undefined {
    return this.accounts.get(key);
  }
}

function hostName(header: string): string {
  return header.replace(/:\d+$/, '').toLowerCase();
}

function pathOf(target: string): string {
  const query = target.indexOf('?');
  return query === -1 ? target : target.slice(0, query);
}
