import {Command, CommandClass, Option} from 'clipanion';

import {AdministrationClient} from '../administrationClient.js';
import {ConfigurationAnswer} from '../administrationAnswers.js';
import {checkOperation} from '../changeReading.js';
import {ExitCode, exitCodes} from '../exitCodes.js';
import {OperatorCommand} from '../operatorCommand.js';
import {formatTable} from '../tableText.js';

/** The commands to list, set and remove entries of one kind. */

/** A kind of entry, as the command line and the API name it. */
export interface EntryKind {
  readonly section: 'classes' | 'clientAccounts' | 'models' | 'services';
  readonly setOperation: string;
  readonly removeOperation: string;
  /** The first word of its commands. */
  readonly word: string;
  /** How help texts call one entry. */
  readonly one: string;
  /** How help texts call all entries. */
  readonly all: string;
}

/** An entry as read or as put together from options. */
export type EntryFields = Readonly<Record<string, unknown>>;

/** The command that lists the entries of a kind; `toRow` makes an entry a row of the table. */
export function createListCommand(
  kind: EntryKind,
  toRow: (entry: EntryFields) => EntryFields = entry => entry,
): CommandClass {
  return class extends OperatorCommand {
    static override paths = [[kind.word, 'list']];
    static override usage = describe(`List the ${kind.all}.`);

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

/** Sets one entry; fields that aren't given keep what they have. */
export abstract class SetCommand extends OperatorCommand {
  protected abstract readonly kind: EntryKind;

  name = Option.String({required: true});

  /** The fields that the options give; undefined where they give none. */
  protected abstract fields(existing: EntryFields | undefined): EntryFields;

  protected override async run(
    client: AdministrationClient,
  ): Promise<ExitCode> {
    const configuration = await this.fetchConfiguration(client);
    const existing = findEntry(configuration, this.kind, this.name);
    const given = withoutUndefined(this.fields(existing));
    const value = {...existing, ...given, name: this.name};
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

/** The command that removes one entry of a kind. */
export function createRemoveCommand(kind: EntryKind): CommandClass {
  return class extends OperatorCommand {
    static override paths = [[kind.word, 'remove']];
    static override usage = describe(`Remove a ${kind.one}.`);

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

/** Describes a command for `--help`. */
export function describe(
  description: string,
): ReturnType<typeof Command.Usage> {
  return Command.Usage({description});
}

function findEntry(
  configuration: ConfigurationAnswer,
  kind: EntryKind,
  name: string,
): EntryFields | undefined {
  const entries = configuration[kind.section];
  return Object.hasOwn(entries, name) ? entries[name] : undefined;
}

function withoutUndefined(fields: EntryFields): EntryFields {
  const given = Object.entries(fields).filter(
    ([, value]) => value !== undefined,
  );
  return Object.fromEntries(given);
}
