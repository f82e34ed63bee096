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

/** `redwing class …`: classes of work and their targets. */

/** `redwing class set`. */
class ClassSetCommand extends SetCommand {
  static override paths = [['class', 'set']];
  static override usage = describe(
    'Create a class of work or change its targets; targets not given stay.',
  );
  protected override readonly kind = entryKinds.classes;

  firstToken = Option.String('--first-token-milliseconds', {
    description: 'time to the first token, for 95 in 100',
  });
  betweenTokens = Option.String('--between-tokens-milliseconds', {
    description: 'mean time between tokens, for 95 in 100',
  });
  deadline = Option.String('--deadline-milliseconds', {
    description: 'time to the whole reply',
  });
  throughput = Option.String('--requests-per-second', {
    description: 'throughput wanted',
  });
  repeatable = Option.Boolean('--repeatable', {
    description: 'whether work may be run again (idempotent)',
  });

  protected override fields(): EntryFields {
    return {
      firstTokenMilliseconds: toNumber(this.firstToken),
      betweenTokensMilliseconds: toNumber(this.betweenTokens),
      deadlineMilliseconds: toNumber(this.deadline),
      requestsPerSecond: toNumber(this.throughput),
      repeatable: this.repeatable,
    };
  }
}

/** The commands on classes of work. */
export const classCommands = [
  createListCommand(entryKinds.classes),
  ClassSetCommand,
  createRemoveCommand(entryKinds.classes),
] as const;
