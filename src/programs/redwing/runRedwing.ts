import {
  runCommandLine,
  CommandStreams,
} from '../../infrastructure/commandLine/node/runCommandLine.js';
import {accountCommands} from './commands/accountCommands.js';
import {classCommands} from './commands/classCommands.js';
import {
  ConfigApplyCommand,
  ConfigHistoryCommand,
  ConfigShowCommand,
} from './commands/configCommands.js';
import {modelCommands} from './commands/modelCommands.js';
import {serviceCommands} from './commands/serviceCommands.js';
import {
  CheckSettingsCommand,
  StatusCommand,
} from './commands/statusCommands.js';
import {exitCodes} from './exitCodes.js';
import {TARGETS_ONLY_MESSAGE, findRefusedOption} from './refusedOptions.js';

/** Assembles the command line for operators. */

const COMMANDS = [
  ...accountCommands,
  CheckSettingsCommand,
  ...classCommands,
  ConfigApplyCommand,
  ConfigHistoryCommand,
  ConfigShowCommand,
  ...modelCommands,
  ...serviceCommands,
  StatusCommand,
];

/** Runs one command line; resolves with its exit code. */
export async function runRedwing(
  commandLine: readonly string[],
  streams: CommandStreams,
): Promise<number> {
  const refused = findRefusedOption(commandLine);
  if (refused !== undefined) {
    streams.stderr.write(`${refused}: ${TARGETS_ONLY_MESSAGE}\n`);
    return exitCodes.usage;
  }
  const program = {name: 'redwing', label: 'redwing', commands: COMMANDS};
  return runCommandLine(program, commandLine, streams);
}
