import {Option} from 'clipanion';

import {
  EntryFields,
  ListCommand,
  RemoveCommand,
  SetCommand,
  describe,
} from './entryCommands.js';
import {toNumber} from './optionValues.js';

/** `redwing model …`: models in use. */

/** `redwing model list`. */
export class ModelListCommand extends ListCommand {
  static override paths = [['model', 'list']];
  static override usage = describe('List the models in use.');
  protected override readonly section = 'models';
}

/** `redwing model set`. */
export class ModelSetCommand extends SetCommand {
  static override paths = [['model', 'set']];
  static override usage = describe('Add a model or change its version.');
  protected override readonly section = 'models';
  protected override readonly operation = 'setModel';

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

/** `redwing model remove`. */
export class ModelRemoveCommand extends RemoveCommand {
  static override paths = [['model', 'remove']];
  static override usage = describe('Remove a model.');
  protected override readonly section = 'models';
  protected override readonly operation = 'removeModel';
}
