#!/usr/bin/env node
import {Builtins, Cli, Command, Option} from 'clipanion';

import {formatFinding, Finding} from '../../base/common/finding.js';
import {failure, Result, success} from '../../base/common/result.js';
import {EntrySettings} from '../../platform/settings/common/programSettings.js';
import {entrySettingsSchema} from '../../platform/settings/common/settingsSchemas.js';
import {
  readSecretFile,
  readSettings,
} from '../../platform/settings/node/readSettings.js';
import {EntryProgram} from './wiring.js';

/** The program `redwing-entry`. Exit codes: 0 ok, 1 failure, 2 wrong settings or usage. */

const VERSION = '0.1.0';
const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

interface Loaded {
  readonly settings: EntrySettings;
  readonly peerKey: string;
}

function load(path: string): Result<Loaded, readonly Finding[]> {
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

/** Runs the program until SIGTERM or SIGINT. */
class RunCommand extends Command {
  static override paths = [Command.Default, ['run']];
  static override usage = Command.Usage({
    description: 'Run the entry program of one instance.',
    details:
      'On SIGTERM it takes no new work, finishes the requests in flight and exits.',
    examples: [['Run with a settings file', '$0 entry.json']],
  });

  readonly settingsFile = Option.String({name: 'settings'});

  override async execute(): Promise<number> {
    const loaded = load(this.settingsFile);
    if (!loaded.ok) {
      this.context.stderr.write(formatFindings(loaded.error));
      return EXIT_USAGE;
    }
    const {settings, peerKey} = loaded.value;
    const program = new EntryProgram(settings, peerKey);
    const stopped = stopSignal();
    try {
      await program.start();
    } catch (error) {
      this.context.stderr.write(`could not start: ${String(error)}\n`);
      program.dispose();
      return EXIT_FAILURE;
    }
    await stopped;
    await program.stop();
    return 0;
  }
}

/** Checks a settings file and the file that it names. */
class CheckSettingsCommand extends Command {
  static override paths = [['check-settings']];
  static override usage = Command.Usage({
    description: 'Check a settings file; all findings are printed.',
  });

  readonly settingsFile = Option.String({name: 'settings'});

  override async execute(): Promise<number> {
    const loaded = load(this.settingsFile);
    if (!loaded.ok) {
      this.context.stderr.write(formatFindings(loaded.error));
      return EXIT_USAGE;
    }
    this.context.stdout.write('settings are valid\n');
    return 0;
  }
}

/** Resolves at the first signal; later ones don't cut the stop short. */
function stopSignal(): Promise<void> {
  return new Promise(resolve => {
    process.on('SIGTERM', () => resolve());
    process.on('SIGINT', () => resolve());
  });
}

/** Clipanion ends with 1 for wrong usage; here that is 2, as for wrong settings. */
async function run(): Promise<number> {
  const cli = new Cli({
    binaryLabel: 'Entry program',
    binaryName: 'redwing-entry',
    binaryVersion: VERSION,
  });
  cli.register(RunCommand);
  cli.register(CheckSettingsCommand);
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  const {stderr} = process;
  try {
    const command = cli.process(process.argv.slice(2));
    return await cli.run(command, Cli.defaultContext);
  } catch (error) {
    stderr.write(cli.error(error));
    return EXIT_USAGE;
  }
}

process.exitCode = await run();
