import {Command, CommandClass, Option} from 'clipanion';

import {AdministrationClient} from '../administrationClient.js';
import {ConfigurationResponse} from '../administrationResponses.js';
import {checkOperation} from '../changeParser.js';
import {ExitCode, exitCodes} from '../exitCodes.js';
import {OperatorCommand} from '../operatorCommand.js';
import {formatTable} from '../tableFormatter.js';

/** Commands that list, set and remove configuration entries of one kind. */

/** A kind of configuration entry, with its names in the command line and the API. */
export interface EntryKind {
  readonly section: 'classes' | 'clientAccounts' | 'models' | 'services';
  readonly setOperation: string;
  readonly removeOperation: string;
  /** First word of the commands for this kind. */
  readonly commandWord: string;
  /** Singular noun for help texts. */
  readonly one: string;
  /** Plural noun for help texts. */
  readonly all: string;
}

/** Fields of an entry, from the API or from options. */
export type EntryFields = Readonly<Record<string, unknown>>;

/** Creates the command that lists the entries of a kind; `toRow` converts an entry to a table row. */
export function createListCommand(
  kind: EntryKind,
  toRow: (entry: EntryFields) => EntryFields = entry => entry,
): CommandClass {
  return class extends OperatorCommand {
    static override paths = [[kind.commandWord, 'list']];
    static override usage = createUsage(`List the ${kind.all}.`);

    protected override async run(
      client: AdministrationClient,
    ): Promise<ExitCode> {
      const configuration = await this.fetchConfiguration(client);
      const entries = Object.values(configuration[kind.section]);
      this.write(entries, formatTable(entries.map(toRow)));
      return exitCodes.done;
    }
  };
}

/** Sets one entry; fields without an option keep their current values. */
export abstract class EntrySetCommand extends OperatorCommand {
  protected abstract readonly kind: EntryKind;

  name = Option.String({required: true});

  /** Returns the fields set by options; those without an option are undefined or keep their current value. */
  protected abstract fields(existing: EntryFields | undefined): EntryFields;

  protected override async run(
    client: AdministrationClient,
  ): Promise<ExitCode> {
    const configuration = await this.fetchConfiguration(client);
    const existing = findEntry(configuration, this.kind, this.name);
    const changes = withoutUndefined(this.fields(existing));
    const value = {...existing, ...changes, name: this.name};
    const proposal = checkOperation({
      kind: this.kind.setOperation,
      value,
    });
    if (!proposal.ok) {
      throw this.endWithFindings(proposal.error);
    }
    return this.submit(client, {
      operations: proposal.value.operations,
      expectedRevision: configuration.revision,
    });
  }
}

/** Creates the command that removes one entry of a kind. */
export function createRemoveCommand(kind: EntryKind): CommandClass {
  return class extends OperatorCommand {
    static override paths = [[kind.commandWord, 'remove']];
    static override usage = createUsage(`Remove a ${kind.one}.`);

    name = Option.String({required: true});

    protected override async run(
      client: AdministrationClient,
    ): Promise<ExitCode> {
      const configuration = await this.fetchConfiguration(client);
      if (!findEntry(configuration, kind, this.name)) {
        throw this.end(exitCodes.notFound, `there is no ${this.name}`);
      }
      return this.submit(client, {
        operations: [{kind: kind.removeOperation, name: this.name}],
        expectedRevision: configuration.revision,
      });
    }
  };
}

/** Creates the usage text of a command for `--help`. */
export function createUsage(
  description: string,
): ReturnType<typeof Command.Usage> {
  return Command.Usage({description});
}

function findEntry(
  configuration: ConfigurationResponse,
  kind: EntryKind,
  name: string,
): EntryFields | undefined {
  const entries = configuration[kind.section];
  return Object.hasOwn(entries, name) ? entries[name] : undefined;
}

function withoutUndefined(fields: EntryFields): EntryFields {
  const definedFields = Object.entries(fields).filter(
    ([, value]) => value !== undefined,
  );
  return Object.fromEntries(definedFields);
}
