import {Writable} from 'node:stream';

import {BaseContext, Builtins, Cli, Command, CommandClass} from 'clipanion';

import {version} from '../../../base/common/version.js';

/** Runs the command lines of all programs, with common help and version commands and exit codes. */

/** Exit code for an invalid command line or invalid settings. */
export const USAGE_EXIT_CODE = 2;

/** Output streams of a command. */
export interface CommandStreams {
  readonly stdout: Writable;
  readonly stderr: Writable;
}

/** What commands get besides the standard fields: the output streams and the fields of their own context. */
export type CommandContext<Context extends BaseContext> = CommandStreams &
  Omit<Context, keyof BaseContext>;

/** A program and its commands. */
export interface CommandLine<Context extends BaseContext = BaseContext> {
  readonly name: string;
  readonly label: string;
  readonly commands: ReadonlyArray<CommandClass<Context>>;
}

/** Runs a command line and returns its exit code. Usage errors are written to standard error. */
export async function runCommandLine<Context extends BaseContext>(
  program: CommandLine<Context>,
  args: readonly string[],
  context: CommandContext<Context>,
): Promise<number> {
  const cli = Cli.from<Context>(
    [Builtins.HelpCommand, Builtins.VersionCommand, ...program.commands],
    {
      binaryLabel: program.label,
      binaryName: program.name,
      binaryVersion: version,
      enableColors: false,
    },
  );
  let command: Command<Context>;
  try {
    command = cli.process([...args], context);
  } catch (error) {
    context.stderr.write(cli.error(error, {colored: false}));
    return USAGE_EXIT_CODE;
  }
  return cli.run(command, context);
}
