import {Option} from 'clipanion';

import {
  EntryFields,
  EntrySetCommand,
  createListCommand,
  createRemoveCommand,
  createUsage,
} from './entryCommands.js';
import {entryKinds} from './entryKinds.js';
import {parseNumberOrText} from './optionValues.js';

/** `redwing model …`: manages the models in use. */

/** `redwing model set`. */
class ModelSetCommand extends EntrySetCommand {
  static override paths = [['model', 'set']];
  static override usage = createUsage('Add a model or change its version.');
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
      layerCount: parseNumberOrText(this.layerCount),
      adapters: this.adapters ?? existing?.adapters ?? [],
    };
  }
}

export const modelCommands = [
  createListCommand(entryKinds.models),
  ModelSetCommand,
  createRemoveCommand(entryKinds.models),
] as const;
