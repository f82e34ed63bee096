import {Option} from 'clipanion';

import {
  EntryFields,
  EntrySetCommand,
  createListCommand,
  createRemoveCommand,
  createUsage,
} from './entryCommands.js';
import {entryKinds} from './entryKinds.js';
import {parseServiceCall} from './optionValues.js';

/** `redwing service …`: manages plain services. */

/** `redwing service set`. */
class ServiceSetCommand extends EntrySetCommand {
  static override paths = [['service', 'set']];
  static override usage = createUsage(
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
    const specifiedCalls = [
      ...(this.calls ?? []).map(call => parseServiceCall(call, false)),
      ...(this.repeatableCalls ?? []).map(call => parseServiceCall(call, true)),
    ];
    return {
      calls:
        specifiedCalls.length > 0 ? specifiedCalls : (existing?.calls ?? []),
    };
  }
}

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
