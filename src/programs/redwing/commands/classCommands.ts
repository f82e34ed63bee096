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

/** `redwing class …`: manages classes of work and their targets. */

/** `redwing class set`. */
class ClassSetCommand extends EntrySetCommand {
  static override paths = [['class', 'set']];
  static override usage = createUsage(
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
      firstTokenMilliseconds: parseNumberOrText(this.firstToken),
      betweenTokensMilliseconds: parseNumberOrText(this.betweenTokens),
      deadlineMilliseconds: parseNumberOrText(this.deadline),
      requestsPerSecond: parseNumberOrText(this.throughput),
      repeatable: this.repeatable,
    };
  }
}

export const classCommands = [
  createListCommand(entryKinds.classes),
  ClassSetCommand,
  createRemoveCommand(entryKinds.classes),
] as const;
