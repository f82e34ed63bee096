import {
  runCommandLine,
  Streams,
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
import {TARGETS_ONLY, findRefusedOption} from './refusedOptions.js';

/** The operators' command line, put together. */

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

/** Runs one command line and answers its exit status. */
export async function runRedwing(
  words: readonly string[],
  streams: Streams,
): Promise<number> {
  const refused = findRefusedOption(words);
  if (refused !== undefined) {
    streams.stderr.write(`${refused}: ${TARGETS_ONLY}\n`);
    return exitCodes.usage;
  }
  const program = {name: 'redwing', label: 'redwing', commands: COMMANDS};
  return runCommandLine(program, words, streams);
}
