import {createHash} from 'node:crypto';

import {Option} from 'clipanion';

import {readSecretFile} from '../../../infrastructure/settings/node/readSettings.js';
import {
  EntryFields,
  EntrySetCommand,
  createListCommand,
  createRemoveCommand,
  createUsage,
} from './entryCommands.js';
import {entryKinds} from './entryKinds.js';

/** `redwing account …`: manages client accounts. */

/** `redwing account set`. */
class AccountSetCommand extends EntrySetCommand {
  static override paths = [['account', 'set']];
  static override usage = createUsage(
    'Create a client account or replace its key.',
  );
  protected override readonly kind = entryKinds.clientAccounts;

  keyFile = Option.String('--key-file', {
    description: 'file with the bearer key; only its hash is sent',
  });
  keyHash = Option.String('--key-hash', {
    description: 'hex SHA-256 of the bearer key',
  });

  protected override fields(): EntryFields {
    return {keyHash: this.hashKeyFile() ?? this.keyHash};
  }

  private hashKeyFile(): string | undefined {
    if (this.keyFile === undefined) {
      return undefined;
    }
    const key = readSecretFile(this.keyFile);
    if (!key.ok) {
      throw this.endWithFindings(key.error);
    }
    return createHash('sha256').update(key.value).digest('hex');
  }
}

export const accountCommands = [
  createListCommand(entryKinds.clientAccounts),
  AccountSetCommand,
  createRemoveCommand(entryKinds.clientAccounts),
] as const;
