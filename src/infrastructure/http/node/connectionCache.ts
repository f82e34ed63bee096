import {Disposable} from '../../../base/common/lifecycle.js';

/** A connection that can say whether calls are in progress. */
export interface CachedConnection extends Disposable {
  readonly isIdle: boolean;
}

/** Keeps one connection for each upstream and address; idle ones beyond the limit are closed, longest unused first. */
export class ConnectionCache<T extends CachedConnection> implements Disposable {
  private readonly connections = new Map<string, T>();

  constructor(
    private readonly create: (upstream: string, address: string) => T,
    private readonly limit = 4096,
  ) {}

  /** The connection to an upstream, made when there is none. */
  get(upstream: string, address: string): T {
    const name = `${upstream} ${address}`;
    const connection =
      this.connections.get(name) ?? this.create(upstream, address);
    // Setting it again moves it to the end: the first is the longest unused.
    this.connections.delete(name);
    this.connections.set(name, connection);
    this.trim();
    return connection;
  }

  dispose(): void {
    for (const connection of this.connections.values()) {
      connection.dispose();
    }
    this.connections.clear();
  }

  private trim(): void {
    for (const [name, connection] of this.connections) {
      if (this.connections.size <= this.limit) {
        return;
      }
      if (connection.isIdle) {
        this.connections.delete(name);
        connection.dispose();
      }
    }
  }
}
