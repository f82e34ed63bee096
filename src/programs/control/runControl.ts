import {BaseContext, Command, Option} from 'clipanion';

import {formatFinding, Finding} from '../../base/common/finding.js';
import {Result, success} from '../../base/common/result.js';
import {operatorKeysSchema} from '../../features/administration/node/operatorKeys.js';
import {
  CommandStreams,
  runCommandLine,
  USAGE_EXIT_CODE,
} from '../../infrastructure/commandLine/node/runCommandLine.js';
import {ProcessSignals} from '../../infrastructure/process/node/processSignals.js';
import {
  ProgramRunner,
  restartNeeded,
} from '../../infrastructure/process/node/programRunner.js';
import {ControlSettings} from '../../infrastructure/settings/common/programSettings.js';
import {controlSettingsSchema} from '../../infrastructure/settings/common/settingsSchemas.js';
import {
  readSecretFile,
  readSettings,
} from '../../infrastructure/settings/node/readSettings.js';
import {ControlProgram, ControlSecrets} from './controlProgram.js';

/** Command line of the program `redwing-control`. */

/** Limit of a stop: its peers are told and the placement lease is returned, which needs the table service. */
const STOP_LIMIT_MILLISECONDS = 10_000;

/** Context of the commands. */
interface SignalContext extends BaseContext {
  readonly signals: ProcessSignals;
}

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

function formatFindings(findings: readonly Finding[]): string {
  return findings.map(finding => `${formatFinding(finding)}\n`).join('');
}

/** Runs the program until SIGTERM or SIGINT. */
class RunCommand extends Command<SignalContext> {
  static override paths = [Command.Default, ['run']];
  static override usage = Command.Usage({
    description: 'Run the control program of one instance.',
    details: 'Stops on SIGTERM: tells its peers that it leaves, then exits.',
    examples: [['Run with a settings file', '$0 control.json']],
  });

  readonly settingsFile = Option.String({name: 'settings'});

  override async execute(): Promise<number> {
    const loaded = loadSettings(this.settingsFile);
    if (!loaded.ok) {
      this.context.stderr.write(formatFindings(loaded.error));
      return USAGE_EXIT_CODE;
    }
    const {settings, secrets} = loaded.value;
    const program = new ControlProgram(settings, secrets);
    const {signals} = this.context;
    const runner = new ProgramRunner(program, signals, program.logger, {
      stopLimitMilliseconds: STOP_LIMIT_MILLISECONDS,
      hangUpAction: restartNeeded,
    });
    return runner.run();
  }
}

/** Checks a settings file and the files that it refers to. */
class CheckSettingsCommand extends Command<SignalContext> {
  static override paths = [['check-settings']];
  static override usage = Command.Usage({
    description: 'Check a settings file; all findings are printed.',
  });

  readonly settingsFile = Option.String({name: 'settings'});

  override async execute(): Promise<number> {
    const loaded = loadSettings(this.settingsFile);
    if (!loaded.ok) {
      this.context.stderr.write(formatFindings(loaded.error));
      return USAGE_EXIT_CODE;
    }
    this.context.stdout.write('settings are valid\n');
    return 0;
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
