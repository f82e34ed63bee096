import {createHash} from 'node:crypto';

import {
  ClientAccount,
  Configuration,
} from '../../configuration/common/configuration.js';

/** Looks up client accounts by the SHA-256 of their bearer key, so that no key is stored. */
export class AccountIndex {
  private configuration: Configuration | undefined;
  private byHash: ReadonlyMap<string, ClientAccount> = new Map();

  /** Returns the account of a key; rebuilds the index when the configuration has changed. */
  find(
    configuration: Configuration,
    bearerKey: string,
  ): ClientAccount | undefined {
    if (this.configuration !== configuration) {
      this.rebuild(configuration);
    }
    return this.byHash.get(hashKey(bearerKey));
  }

  private rebuild(configuration: Configuration): void {
    const accounts = Object.values(configuration.clientAccounts);
    this.byHash = new Map(
      accounts.map(account => [account.keyHash.toLowerCase(), account]),
    );
    this.configuration = configuration;
  }
}

/** Hex SHA-256 of a bearer key. */
export function hashKey(bearerKey: string): string {
  return createHash('sha256').update(bearerKey).digest('hex');
}
