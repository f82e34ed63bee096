import {Option} from 'clipanion';

import {
  StoredRevision,
  revisionsResponseSchema,
} from '../administrationResponses.js';
import {AdministrationClient} from '../administrationClient.js';
import {readChangeFile} from '../changeParser.js';
import {ExitCode, exitCodes} from '../exitCodes.js';
import {OperatorCommand} from '../operatorCommand.js';
import {formatCell, formatSections, formatTable} from '../tableFormatter.js';
import {EntryFields, createUsage} from './entryCommands.js';
import {parseNumberOrText} from './optionValues.js';

/** `redwing config …`: shows the configuration and its history, and applies change files. */

/** `redwing config show`. */
export class ConfigShowCommand extends OperatorCommand {
  static override paths = [['config', 'show']];
  static override usage = createUsage('Show the configuration in force.');

  protected override async run(
    client: AdministrationClient,
  ): Promise<ExitCode> {
    const {revision, ...sections} = await this.fetchConfiguration(client);
    const tables = Object.entries(sections).map(
      ([name, entries]) => [name, Object.values(entries)] as const,
    );
    const text = formatSections({revision, ...Object.fromEntries(tables)});
    this.write({revision, ...sections}, text);
    return exitCodes.done;
  }
}

/** `redwing config history`. */
export class ConfigHistoryCommand extends OperatorCommand {
  static override paths = [['config', 'history']];
  static override usage = createUsage('List accepted changes.');

  after = Option.String('--after', '0', {
    description: 'only revisions after this one',
  });

  protected override async run(
    client: AdministrationClient,
  ): Promise<ExitCode> {
    const after = parseNumberOrText(this.after);
    if (!Number.isSafeInteger(after) || Number(after) < 0) {
      throw this.end(
        exitCodes.usage,
        '--after: a revision number of 0 or more',
      );
    }
    const path = `/v1/configuration/revisions?after=${after}`;
    const response = revisionsResponseSchema.parse(
      await this.fetch(client, path),
    );
    const rows = response.revisions.map(toHistoryRow);
    this.write(response.revisions, formatTable(rows));
    return exitCodes.done;
  }
}

/** `redwing config apply`. */
export class ConfigApplyCommand extends OperatorCommand {
  static override paths = [['config', 'apply']];
  static override usage = createUsage(
    'Apply a file of operations: {"operations": [...], "expectedRevision": n}.',
  );

  file = Option.String({required: true});

  protected override async run(
    client: AdministrationClient,
  ): Promise<ExitCode> {
    const change = readChangeFile(this.file);
    if (!change.ok) {
      throw this.endWithFindings(change.error);
    }
    const {operations, expectedRevision} = change.value;
    return this.submit(client, {
      operations,
      expectedRevision:
        expectedRevision ?? (await this.fetchConfiguration(client)).revision,
    });
  }
}

function toHistoryRow(revision: StoredRevision): EntryFields {
  const time = new Date(revision.committedAtWallMilliseconds);
  return {
    revision: revision.revision,
    committed: time.toISOString(),
    operator: revision.operator,
    operations: revision.operations.map(describeOperation),
  };
}

function describeOperation(operation: EntryFields): string {
  const value = operation.value as EntryFields | undefined;
  return `${formatCell(operation.kind)} ${formatCell(value?.name ?? operation.name)}`;
}
