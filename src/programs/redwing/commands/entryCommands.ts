import {Command, Option} from 'clipanion';

import {AdministrationClient} from '../administrationClient.js';
import {ConfigurationAnswer} from '../administrationAnswers.js';
import {checkOperation} from '../changeReading.js';
import {ExitCode, exitCodes} from '../exitCodes.js';
import {OperatorCommand} from '../operatorCommand.js';
import {formatTable} from '../tableText.js';

/** What the commands on one kind of entry have in common. */

/** The kinds of entries as the API names them. */
export type Section = 'classes' | 'clientAccounts' | 'models' | 'services';

/** An entry as read or as put together from options. */
export type EntryFields = Readonly<Record<string, unknown>>;

/** Lists the entries of one kind. */
export abstract class ListCommand extends OperatorCommand {
  protected abstract readonly section: Section;

  /** An entry as a row of the table. */
  protected toRow(entry: EntryFields): EntryFields {
    return entry;
  }

  protected override async run(
    client: AdministrationClient,
  ): Promise<ExitCode> {
    const configuration = await this.fetchConfiguration(client);
    const entries = Object.values(configuration[this.section]);
    const rows = entries.map(entry => this.toRow(entry));
    this.write(entries, formatTable(rows));
    return exitCodes.done;
  }
}

/** Sets one entry; fields that aren't given keep what they have. */
export abstract class SetCommand extends OperatorCommand {
  protected abstract readonly section: Section;
  protected abstract readonly operation: string;

  name = Option.String({required: true});

  /** The fields that the options give; undefined where they give none. */
  protected abstract fields(existing: EntryFields | undefined): EntryFields;

  protected override async run(
    client: AdministrationClient,
  ): Promise<ExitCode> {
    const configuration = await this.fetchConfiguration(client);
    const existing = findEntry(configuration, this.section, this.name);
    const given = withoutUndefined(this.fields(existing));
    const value = {...existing, ...given, name: this.name};
    const proposal = checkOperation({kind: this.operation, value});
    if (!proposal.ok) {
      throw this.endWithFindings(proposal.error);
    }
    return this.submit(client, {
      operations: proposal.value.operations,
      expectedRevision: configuration.revision,
    });
  }
}

/** Removes one entry. */
export abstract class RemoveCommand extends OperatorCommand {
  protected abstract readonly section: Section;
  protected abstract readonly operation: string;

  name = Option.String({required: true});

  protected override async run(
    client: AdministrationClient,
  ): Promise<ExitCode> {
    const configuration = await this.fetchConfiguration(client);
    if (!findEntry(configuration, this.section, this.name)) {
      throw this.end(exitCodes.notFound, `there is no ${this.name}`);
    }
    return this.submit(client, {
      operations: [{kind: this.operation, name: this.name}],
      expectedRevision: configuration.revision,
    });
  }
}

/** Describes a command for `--help`. */
export function describe(
  description: string,
): ReturnType<typeof Command.Usage> {
  return Command.Usage({description});
}

function findEntry(
  configuration: ConfigurationAnswer,
  section: Section,
  name: string,
): EntryFields | undefined {
  const entries = configuration[section];
  return Object.hasOwn(entries, name) ? entries[name] : undefined;
}

function withoutUndefined(fields: EntryFields): EntryFields {
  const given = Object.entries(fields).filter(
    ([, value]) => value !== undefined,
  );
  return Object.fromEntries(given);
}
