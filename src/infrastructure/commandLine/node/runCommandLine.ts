import {Writable} from 'node:stream';

import {Builtins, Cli, Command, CommandClass} from 'clipanion';

import {version} from '../../../base/common/version.js';

/** Command lines of the programs: help, version and exit statuses alike in all of them. */

/** The exit status of a command line that can't be understood, and of wrong settings. */
export const USAGE_EXIT_CODE = 2;

/** Where a command writes. */
export interface Streams {
  readonly stdout: Writable;
  readonly stderr: Writable;
}

/** A program and its commands. */
export interface CommandLine {
  readonly name: string;
  readonly label: string;
  readonly commands: readonly CommandClass[];
}

/** Runs one command line and answers its exit status; errors of usage go to standard error. */
export async function runCommandLine(
  program: CommandLine,
  words: readonly string[],
  streams: Streams,
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
    command = cli.process([...words], streams);
  } catch (error) {
    streams.stderr.write(cli.error(error, {colored: false}));
    return USAGE_EXIT_CODE;
  }
  return cli.run(command, streams);
}
