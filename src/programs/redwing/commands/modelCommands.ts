import {Option} from 'clipanion';

import {
  EntryFields,
  SetCommand,
  createListCommand,
  createRemoveCommand,
  describe,
} from './entryCommands.js';
import {entryKinds} from './entryKinds.js';
import {toNumber} from './optionValues.js';

/** `redwing model …`: models in use. */

/** `redwing model set`. */
class ModelSetCommand extends SetCommand {
  static override paths = [['model', 'set']];
  static override usage = describe('Add a model or change its version.');
  protected override readonly kind = entryKinds.models;

  modelVersion = Option.String('--model-version', {
    description: 'version in use',
  });
  layerCount = Option.String('--layer-count', {
    description: 'number of layers',
  });
  adapters = Option.Array('--adapter', {
    description: 'an adapter; may be given several times',
  });

  protected override fields(existing: EntryFields | undefined): EntryFields {
    return {
      version: this.modelVersion,
      layerCount: toNumber(this.layerCount),
      adapters: this.adapters ?? existing?.adapters ?? [],
    };
  }
}

/** The commands on models in use. */
export const modelCommands = [
  createListCommand(entryKinds.models),
  ModelSetCommand,
  createRemoveCommand(entryKinds.models),
] as const;
