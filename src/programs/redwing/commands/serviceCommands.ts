import {Option} from 'clipanion';

import {
  EntryFields,
  ListCommand,
  RemoveCommand,
  SetCommand,
  describe,
} from './entryCommands.js';
import {toServiceCall} from './optionValues.js';

/** `redwing service …`: plain services. */

/** `redwing service list`. */
export class ServiceListCommand extends ListCommand {
  static override paths = [['service', 'list']];
  static override usage = describe('List the plain services.');
  protected override readonly section = 'services';

  protected override toRow(entry: EntryFields): EntryFields {
    const calls = (entry.calls ?? []) as readonly EntryFields[];
    const texts = calls.map(
      call =>
        `${call.method} ${call.pathPrefix}${call.repeatable ? ' (repeatable)' : ''}`,
    );
    return {name: entry.name, calls: texts};
  }
}

/** `redwing service set`. */
export class ServiceSetCommand extends SetCommand {
  static override paths = [['service', 'set']];
  static override usage = describe(
    'Add a plain service or replace its list of calls.',
  );
  protected override readonly section = 'services';
  protected override readonly operation = 'setService';

  calls = Option.Array('--call', {
    description: "a call that must not be run twice, as 'METHOD /path'",
  });
  repeatableCalls = Option.Array('--repeatable-call', {
    description: "a call that may be run again, as 'METHOD /path'",
  });

  protected override fields(existing: EntryFields | undefined): EntryFields {
    const given = [
      ...(this.calls ?? []).map(call => toServiceCall(call, false)),
      ...(this.repeatableCalls ?? []).map(call => toServiceCall(call, true)),
    ];
    return {calls: given.length > 0 ? given : (existing?.calls ?? [])};
  }
}

/** `redwing service remove`. */
export class ServiceRemoveCommand extends RemoveCommand {
  static override paths = [['service', 'remove']];
  static override usage = describe('Remove a plain service.');
  protected override readonly section = 'services';
  protected override readonly operation = 'removeService';
}
