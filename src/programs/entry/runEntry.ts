import {BaseContext, Command, Option} from 'clipanion';

import {formatFinding, Finding} from '../../base/common/finding.js';
import {failure, Result, success} from '../../base/common/result.js';
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
import {EntrySettings} from '../../infrastructure/settings/common/programSettings.js';
import {entrySettingsSchema} from '../../infrastructure/settings/common/settingsSchemas.js';
import {
  readSecretFile,
  readSettings,
} from '../../infrastructure/settings/node/readSettings.js';
import {EntryProgram} from './entryProgram.js';

/** The program `redwing-entry`. Exit codes: 0 success, 1 failure, 2 invalid settings or usage. */

/** Context of the commands. */
interface SignalContext extends BaseContext {
  readonly signals: ProcessSignals;
}

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

function formatFindings(findings: readonly Finding[]): string {
  return findings.map(finding => `${formatFinding(finding)}\n`).join('');
}

/** A command that takes a settings file. */
abstract class SettingsCommand extends Command<SignalContext> {
  readonly settingsFile = Option.String({name: 'settings'});

  override async execute(): Promise<number> {
    const loaded = loadSettings(this.settingsFile);
    if (!loaded.ok) {
      this.context.stderr.write(formatFindings(loaded.error));
      return USAGE_EXIT_CODE;
    }
    return this.executeWith(loaded.value);
  }

  protected abstract executeWith(loaded: LoadedSettings): Promise<number>;
}

/** Runs the program until SIGTERM or SIGINT. */
class RunCommand extends SettingsCommand {
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
    const program = new EntryProgram(settings, peerKey);
    const {signals} = this.context;
    const runner = new ProgramRunner(program, signals, program.logger, {
      stopLimitMilliseconds: program.stopLimitMilliseconds,
      hangUpAction: restartNeeded,
    });
    return runner.run();
  }
}

/** Validates a settings file and the key file that it refers to. */
class CheckSettingsCommand extends SettingsCommand {
  static override paths = [['check-settings']];
  static override usage = Command.Usage({
    description: 'Check a settings file; all findings are printed.',
  });

  protected override async executeWith(): Promise<number> {
    this.context.stdout.write('settings are valid\n');
    return 0;
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
