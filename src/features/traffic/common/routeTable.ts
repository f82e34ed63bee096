import {
  Route,
  TrafficAccount,
  TrafficConfiguration,
} from './trafficConfiguration.js';

/** Finds the route of a request and the account of a key in one configuration. */
export class RouteTable {
  private readonly hosts = new Map<string, Map<string, Route>>();
  private readonly accounts = new Map<string, TrafficAccount>();

  constructor(readonly configuration: TrafficConfiguration) {
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.hosts.get(host) ?? new Map<string, Route>();
      this.hosts.set(host, prefixes.set(route.pathPrefix, route));
    }
    for (const account of configuration.accounts ?? []) {
      for (const key of account.keys) {
        this.accounts.set(key, account);
      }
    }
  }

  /** Whether requests on routes that are not public need a key. */
  get needsKeys(): boolean {
    return this.configuration.accounts !== undefined;
  }

  /** The route with the longest prefix that begins the path. */
  findRoute(hostHeader: string, target: string): Route | undefined {
    const prefixes = this.hosts.get(hostName(hostHeader));
    if (prefixes === undefined) {
      return undefined;
    }
    let prefix = pathOf(target);
    while (prefix !== '') {
      // Prefixes end with a slash, so only the cuts behind slashes can match.
      prefix = prefix.slice(0, prefix.lastIndexOf('/') + 1);
      const route = prefixes.get(prefix);
      if (route !== undefined) {
        return route;
      }
      prefix = prefix.slice(0, -1);
    }
    return undefined;
  }

  /** The account that holds a key. */
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
