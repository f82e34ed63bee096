import {Writable} from 'node:stream';

import {Builtins, Cli, Command} from 'clipanion';

import {version} from '../../base/common/version.js';
import {
  AccountListCommand,
  AccountRemoveCommand,
  AccountSetCommand,
} from './commands/accountCommands.js';
import {
  ClassListCommand,
  ClassRemoveCommand,
  ClassSetCommand,
} from './commands/classCommands.js';
import {
  ConfigApplyCommand,
  ConfigHistoryCommand,
  ConfigShowCommand,
} from './commands/configCommands.js';
import {
  ModelListCommand,
  ModelRemoveCommand,
  ModelSetCommand,
} from './commands/modelCommands.js';
import {
  ServiceListCommand,
  ServiceRemoveCommand,
  ServiceSetCommand,
} from './commands/serviceCommands.js';
import {
  CheckSettingsCommand,
  StatusCommand,
} from './commands/statusCommands.js';
import {exitCodes} from './exitCodes.js';
import {TARGETS_ONLY, findRefusedOption} from './refusedOptions.js';

/** The operators' command line, put together. */

/** Where a command writes. */
export interface Streams {
  readonly stdout: Writable;
  readonly stderr: Writable;
}

const COMMANDS = [
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  AccountListCommand,
  AccountRemoveCommand,
  AccountSetCommand,
  CheckSettingsCommand,
  ClassListCommand,
  ClassRemoveCommand,
  ClassSetCommand,
  ConfigApplyCommand,
  ConfigHistoryCommand,
  ConfigShowCommand,
  ModelListCommand,
  ModelRemoveCommand,
  ModelSetCommand,
  ServiceListCommand,
  ServiceRemoveCommand,
  ServiceSetCommand,
  StatusCommand,
];

/** Runs one command line and answers its exit status. */
export async function runRedwing(
  words: readonly string[],
  streams: Streams,
): Promise<number> {
  const cli = Cli.from(COMMANDS, {
    binaryLabel: 'redwing',
    binaryName: 'redwing',
    binaryVersion: version,
    enableColors: false,
  });
  const refused = findRefusedOption(words);
  if (refused !== undefined) {
    streams.stderr.write(`${refused}: ${TARGETS_ONLY}\n`);
    return exitCodes.usage;
  }
  let command: Command;
  try {
    command = cli.process([...words], streams);
  } catch (error) {
    streams.stderr.write(cli.error(error, {colored: false}));
    return exitCodes.usage;
  }
  return cli.run(command, streams);
}
