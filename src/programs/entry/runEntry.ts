import {Command} from 'clipanion';

import {Finding} from '../../base/common/finding.js';
import {failure, Result, success} from '../../base/common/result.js';
import {
  CommandStreams,
  runCommandLine,
} from '../../infrastructure/commandLine/node/runCommandLine.js';
import {
  SettingsCommand,
  SignalContext,
} from '../../infrastructure/commandLine/node/settingsCommand.js';
import {ProcessSignals} from '../../infrastructure/process/node/processSignals.js';
import {EntrySettings} from '../../infrastructure/settings/common/programSettings.js';
import {entrySettingsSchema} from '../../infrastructure/settings/common/settingsSchemas.js';
import {
  readSecretFile,
  readSettings,
} from '../../infrastructure/settings/node/readSettings.js';
import {EntryProgram} from './entryProgram.js';

/** The program `redwing-entry`. Exit codes: 0 success, 1 failure, 2 invalid settings or usage. */

interface LoadedSettings {
  readonly settings: EntrySettings;
  readonly peerKey: string;
}

function loadSettings(
  path: string,
): Result<LoadedSettings, readonly Finding[]> {
  const settings = readSettings(path, entrySettingsSchema);
  if (!settings.ok) {
    return settings;
  }
  const peerKey = readSecretFile(settings.value.peerKeyFile);
  return peerKey.ok
    ? success({settings: settings.value, peerKey: peerKey.value})
    : failure(peerKey.error);
}

/** A command that takes the settings of an entry program. */
abstract class EntryCommand extends SettingsCommand<LoadedSettings> {
  protected override load(
    path: string,
  ): Result<LoadedSettings, readonly Finding[]> {
    return loadSettings(path);
  }
}

/** Runs the program until SIGTERM or SIGINT. */
class RunCommand extends EntryCommand {
  static override paths = [Command.Default, ['run']];
  static override usage = Command.Usage({
    description: 'Run the entry program of one instance.',
    details:
      'On SIGTERM it takes no new work, finishes the requests in flight and exits.',
    examples: [['Run with a settings file', '$0 entry.json']],
  });

  protected override async executeWith({
    settings,
    peerKey,
  }: LoadedSettings): Promise<number> {
    return this.runProgram(new EntryProgram(settings, peerKey));
  }
}

/** Validates a settings file and the key file that it refers to. */
class CheckSettingsCommand extends EntryCommand {
  static override paths = [['check-settings']];
  static override usage = Command.Usage({
    description: 'Check a settings file; all findings are printed.',
  });

  protected override async executeWith(): Promise<number> {
    return this.confirmValid();
  }
}

/** Runs one command line; resolves with its exit code. The caller then exits the process. */
export function runEntry(
  commandLine: readonly string[],
  streams: CommandStreams,
  signals: ProcessSignals,
): Promise<number> {
  const {stdout, stderr} = streams;
  return runCommandLine<SignalContext>(
    {
      name: 'redwing-entry',
      label: 'redwing-entry',
      commands: [RunCommand, CheckSettingsCommand],
    },
    commandLine,
    {stdout, stderr, signals},
  );
}
