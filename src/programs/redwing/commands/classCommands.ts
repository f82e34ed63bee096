import {Option} from 'clipanion';

import {
  EntryFields,
  ListCommand,
  RemoveCommand,
  SetCommand,
  describe,
} from './entryCommands.js';
import {toNumber} from './optionValues.js';

/** `redwing class …`: classes of work and their targets. */

/** `redwing class list`. */
export class ClassListCommand extends ListCommand {
  static override paths = [['class', 'list']];
  static override usage = describe('List the classes of work.');
  protected override readonly section = 'classes';
}

/** `redwing class set`. */
export class ClassSetCommand extends SetCommand {
  static override paths = [['class', 'set']];
  static override usage = describe(
    'Create a class of work or change its targets; targets not given stay.',
  );
  protected override readonly section = 'classes';
  protected override readonly operation = 'setClass';

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

/** `redwing class remove`. */
export class ClassRemoveCommand extends RemoveCommand {
  static override paths = [['class', 'remove']];
  static override usage = describe('Remove a class of work.');
  protected override readonly section = 'classes';
  protected override readonly operation = 'removeClass';
}
