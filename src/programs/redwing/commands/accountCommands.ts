import {createHash} from 'node:crypto';

import {Option} from 'clipanion';

import {readSecretFile} from '../../../platform/settings/node/readSettings.js';
import {
  EntryFields,
  ListCommand,
  RemoveCommand,
  SetCommand,
  describe,
} from './entryCommands.js';

/** `redwing account …`: client accounts. */

/** `redwing account list`. */
export class AccountListCommand extends ListCommand {
  static override paths = [['account', 'list']];
  static override usage = describe('List the client accounts.');
  protected override readonly section = 'clientAccounts';
}

/** `redwing account set`. */
export class AccountSetCommand extends SetCommand {
  static override paths = [['account', 'set']];
  static override usage = describe(
    'Create a client account or replace its key.',
  );
  protected override readonly section = 'clientAccounts';
  protected override readonly operation = 'setClientAccount';

  keyFile = Option.String('--key-file', {
    description: 'file with the bearer key; only its hash is sent',
  });
  keyHash = Option.String('--key-hash', {
    description: 'hex SHA-256 of the bearer key',
  });

  protected override fields(): EntryFields {
    return {keyHash: this.hashOfFile() ?? this.keyHash};
  }

  private hashOfFile(): string | undefined {
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

/** `redwing account remove`. */
export class AccountRemoveCommand extends RemoveCommand {
  static override paths = [['account', 'remove']];
  static override usage = describe('Remove a client account.');
  protected override readonly section = 'clientAccounts';
  protected override readonly operation = 'removeClientAccount';
}
