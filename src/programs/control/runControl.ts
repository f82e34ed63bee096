import {Command} from 'clipanion';

import {Finding} from '../../base/common/finding.js';
import {Result, success} from '../../base/common/result.js';
import {operatorKeysSchema} from '../../features/administration/node/operatorKeys.js';
import {
  CommandStreams,
  runCommandLine,
} from '../../infrastructure/commandLine/node/runCommandLine.js';
import {
  SettingsCommand,
  SignalContext,
} from '../../infrastructure/commandLine/node/settingsCommand.js';
import {ProcessSignals} from '../../infrastructure/process/node/processSignals.js';
import {ControlSettings} from '../../infrastructure/settings/common/programSettings.js';
import {controlSettingsSchema} from '../../infrastructure/settings/common/settingsSchemas.js';
import {
  readSecretFile,
  readSettings,
} from '../../infrastructure/settings/node/readSettings.js';
import {ControlProgram, ControlSecrets} from './controlProgram.js';

/** Command line of the program `redwing-control`. */

interface LoadedSettings {
  readonly settings: ControlSettings;
  readonly secrets: ControlSecrets;
}

function loadSettings(
  path: string,
): Result<LoadedSettings, readonly Finding[]> {
  const settings = readSettings(path, controlSettingsSchema);
  if (!settings.ok) {
    return settings;
  }
  const peerKey = readSecretFile(settings.value.peerKeyFile);
  const operatorKeys = readSettings(
    settings.value.operatorKeysFile,
    operatorKeysSchema,
  );
  if (!peerKey.ok || !operatorKeys.ok) {
    const findings = [peerKey, operatorKeys].flatMap(result =>
      result.ok ? [] : result.error,
    );
    return {ok: false, error: findings};
  }
  return success({
    settings: settings.value,
    secrets: {peerKey: peerKey.value, operatorKeys: operatorKeys.value},
  });
}

/** A command that takes the settings of a control program. */
abstract class ControlCommand extends SettingsCommand<LoadedSettings> {
  protected override load(
    path: string,
  ): Result<LoadedSettings, readonly Finding[]> {
    return loadSettings(path);
  }
}

/** Runs the program until SIGTERM or SIGINT. */
class RunCommand extends ControlCommand {
  static override paths = [Command.Default, ['run']];
  static override usage = Command.Usage({
    description: 'Run the control program of one instance.',
    details: 'Stops on SIGTERM: tells its peers that it leaves, then exits.',
    examples: [['Run with a settings file', '$0 control.json']],
  });

  protected override async executeWith({
    settings,
    secrets,
  }: LoadedSettings): Promise<number> {
    return this.runProgram(new ControlProgram(settings, secrets));
  }
}

/** Checks a settings file and the files that it refers to. */
class CheckSettingsCommand extends ControlCommand {
  static override paths = [['check-settings']];
  static override usage = Command.Usage({
    description: 'Check a settings file; all findings are printed.',
  });

  protected override async executeWith(): Promise<number> {
    return this.confirmValid();
  }
}

/** Runs one command line; resolves with its exit code. The caller then exits the process. */
export function runControl(
  commandLine: readonly string[],
  streams: CommandStreams,
  signals: ProcessSignals,
): Promise<number> {
  const {stdout, stderr} = streams;
  return runCommandLine<SignalContext>(
    {
      name: 'redwing-control',
      label: 'redwing-control',
      commands: [RunCommand, CheckSettingsCommand],
    },
    commandLine,
    {stdout, stderr, signals},
  );
}
