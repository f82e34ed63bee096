import {Disposable} from '../../../base/common/lifecycle.js';

/** A connection that can be closed while it is idle. */
export interface CachedConnection extends Disposable {
  readonly isIdle: boolean;
}

/** Caches one connection for each upstream and address; above the limit, closes the least recently used idle ones. */
export class ConnectionCache<T extends CachedConnection> implements Disposable {
  private readonly connections = new Map<string, T>();

  constructor(
    private readonly create: (upstream: string, address: string) => T,
    private readonly limit = 4096,
  ) {}

  /** Returns the connection to an upstream; creates it if there is none. */
  get(upstream: string, address: string): T {
    const key = `${upstream} ${address}`;
    const connection =
      this.connections.get(key) ?? this.create(upstream, address);
    // Reinsertion keeps the map in order of use, least recently used first.
    this.connections.delete(key);
    this.connections.set(key, connection);
    this.evictIdle();
    return connection;
  }

  /** Closes the connections to an address, busy ones too; all of them if it is undefined. */
  drop(address: string | undefined): void {
    for (const [key, connection] of this.connections) {
      if (address === undefined || key.endsWith(` ${address}`)) {
        this.connections.delete(key);
        connection.dispose();
      }
    }
  }

  dispose(): void {
    for (const connection of this.connections.values()) {
      connection.dispose();
    }
    this.connections.clear();
  }

  private evictIdle(): void {
    for (const [key, connection] of this.connections) {
      if (this.connections.size <= this.limit) {
        return;
      }
      if (connection.isIdle) {
        this.connections.delete(key);
        connection.dispose();
      }
    }
  }
}
