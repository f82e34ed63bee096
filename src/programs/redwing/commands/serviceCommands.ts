import {Option} from 'clipanion';

import {
  EntryFields,
  SetCommand,
  createListCommand,
  createRemoveCommand,
  describe,
} from './entryCommands.js';
import {entryKinds} from './entryKinds.js';
import {toServiceCall} from './optionValues.js';

/** `redwing service …`: plain services. */

/** `redwing service set`. */
class ServiceSetCommand extends SetCommand {
  static override paths = [['service', 'set']];
  static override usage = describe(
    'Add a plain service or replace its list of calls.',
  );
  protected override readonly kind = entryKinds.services;

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

/** The commands on plain services. */
export const serviceCommands = [
  createListCommand(entryKinds.services, toRow),
  ServiceSetCommand,
  createRemoveCommand(entryKinds.services),
] as const;

function toRow(entry: EntryFields): EntryFields {
  const calls = (entry.calls ?? []) as readonly EntryFields[];
  const texts = calls.map(
    call =>
      `${call.method} ${call.pathPrefix}${call.repeatable ? ' (repeatable)' : ''}`,
  );
  return {name: entry.name, calls: texts};
}
