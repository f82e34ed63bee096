import {Writable} from 'node:stream';

import {Builtins, Cli, Command, CommandClass} from 'clipanion';

import {version} from '../../../base/common/version.js';

/** Runs the command lines of all programs, with common help and version commands and exit codes. */

/** Exit code for an invalid command line or invalid settings. */
export const USAGE_EXIT_CODE = 2;

/** Output streams of a command. */
export interface CommandStreams {
  readonly stdout: Writable;
  readonly stderr: Writable;
}

/** A program and its commands. */
export interface CommandLine {
  readonly name: string;
  readonly label: string;
  readonly commands: readonly CommandClass[];
}

/** Runs a command line and returns its exit code. Usage errors are written to standard error. */
export async function runCommandLine(
  program: CommandLine,
  args: readonly string[],
  streams: CommandStreams,
): Promise<number> {
  const cli = Cli.from(
    [Builtins.HelpCommand, Builtins.VersionCommand, ...program.commands],
    {
      binaryLabel: program.label,
      binaryName: program.name,
      binaryVersion: version,
      enableColors: false,
    },
  );
  let command: Command;
  try {
    command = cli.process([...args], streams);
  } catch (error) {
    streams.stderr.write(cli.error(error, {colored: false}));
    return USAGE_EXIT_CODE;
  }
  return cli.run(command, streams);
}
