import {ChildProcess, spawn} from 'node:child_process';
import {closeSync, existsSync, openSync, readFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const LOG_TAIL_BYTES = 256 * 1024;
const LOG_TAIL_LINES = 5;
const WATCHDOG_PROGRAM = 'test/support/watchdog.js';

/** Finds the root of the repository, both from the sources and from the build output. */
export function repositoryRoot(): string {
  let directory = dirname(fileURLToPath(import.meta.url));
  while (!existsSync(join(directory, 'package-lock.json'))) {
    const parent = dirname(directory);
    if (parent === directory) {
      throw new Error('no package-lock.json in any parent directory');
    }
    directory = parent;
  }
  return directory;
}

/** Starts built programs and ensures, with a watchdog process, that none outlives this process. */
export class ProcessSupervisor {
  private readonly watchdog: ChildProcess;
  private readonly processes = new Set<ManagedProcess>();

  constructor(private readonly directory: string) {
    const script = builtProgramPath(WATCHDOG_PROGRAM);
    this.watchdog = spawn(process.execPath, [script, directory], {
      stdio: ['pipe', 'ignore', 'ignore'],
      detached: true,
      env: {},
    });
    // The watchdog may have exited when the last lines are written.
    this.watchdog.stdin?.on('error', () => undefined);
    this.watchdog.unref();
  }

  /** Starts a program from `dist` with a settings file and options of Node.js. */
  start(
    name: string,
    program: string,
    settingsFile: string,
    nodeOptions: readonly string[] = [],
  ): ManagedProcess {
    const logFile = join(this.directory, `${name}.log`);
    const started = new ManagedProcess(
      name,
      [...nodeOptions, builtProgramPath(program), settingsFile],
      logFile,
      line => this.watchdog.stdin?.write(`${line}\n`),
    );
    this.processes.add(started);
    return started;
  }

  /** Last lines of each log, for the error message of a failed start. */
  readLogTails(): string {
    const tail = (started: ManagedProcess): string =>
      started.log().split('\n').slice(-LOG_TAIL_LINES).join('\n');
    return [...this.processes]
      .map(started => `--- ${started.name}\n${tail(started)}`)
      .join('\n');
  }

  /** Kills all started programs; resolves when all have exited. */
  async dispose(): Promise<void> {
    await Promise.all([...this.processes].map(started => started.kill()));
    this.processes.clear();
    this.watchdog.stdin?.end();
  }
}

/** A program that runs as a child process. */
export class ManagedProcess {
  private child: ChildProcess;
  private ended: Promise<number | undefined>;
  private hasExited = false;

  constructor(
    readonly name: string,
    private readonly commandLine: readonly string[],
    readonly logFile: string,
    private readonly notifyWatchdog: (line: string) => void,
  ) {
    this.child = this.spawn();
    this.ended = this.waitForExit(this.child);
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Resolves with the exit code, undefined if a signal ended the process. */
  get exitCode(): Promise<number | undefined> {
    return this.ended;
  }

  get isRunning(): boolean {
    return !this.hasExited;
  }

  /** Sends a signal, unless the process has exited. */
  signal(signal: NodeJS.Signals): void {
    if (!this.hasExited) {
      this.child.kill(signal);
    }
  }

  /** Suspends the process, as a paused machine would. */
  freeze(): void {
    this.signal('SIGSTOP');
  }

  /** Resumes the process after `freeze`. */
  resume(): void {
    this.signal('SIGCONT');
  }

  /** Kills the process with SIGKILL; resolves when it has exited. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.ended;
  }

  /** Requests a graceful stop with SIGTERM; resolves with the exit code, undefined if a signal ended the process. */
  terminate(): Promise<number | undefined> {
    this.signal('SIGTERM');
    return this.ended;
  }

  /** Kills the process and starts it again with the same command line and log file. */
  async restart(): Promise<void> {
    await this.kill();
    this.child = this.spawn();
    this.hasExited = false;
    this.ended = this.waitForExit(this.child);
  }

  /** End of the output, at most `LOG_TAIL_BYTES`. */
  log(): string {
    return readFileSync(this.logFile).subarray(-LOG_TAIL_BYTES).toString();
  }

  /** JSON log lines within the end of the output that `log` returns. */
  logLines(): ReadonlyArray<Readonly<Record<string, unknown>>> {
    return this.log().split('\n').flatMap(parseLogLine);
  }

  private spawn(): ChildProcess {
    // A file rather than a pipe: the program must not block on a slow reader of its log.
    const log = openSync(this.logFile, 'a');
    const child = spawn(process.execPath, this.commandLine, {
      stdio: ['ignore', log, log],
      env: {},
    });
    closeSync(log);
    this.notifyWatchdog(`+${child.pid}`);
    return child;
  }

  private waitForExit(child: ChildProcess): Promise<number | undefined> {
    return new Promise(resolve => {
      child.once('exit', code => {
        this.hasExited = true;
        this.notifyWatchdog(`-${child.pid}`);
        resolve(code ?? undefined);
      });
    });
  }
}

function parseLogLine(line: string): Array<Record<string, unknown>> {
  try {
    return line.startsWith('{') ? [JSON.parse(line)] : [];
  } catch {
    return [];
  }
}

/** Throws an error if the programs are not built. */
export function assertBuilt(): void {
  builtProgramPath(WATCHDOG_PROGRAM);
}

/** Path of a built program in `dist`; throws an error if it is missing. */
export function builtProgramPath(path: string): string {
  const program = join(repositoryRoot(), 'dist', path);
  if (!existsSync(program)) {
    throw new Error(`dist/${path} is missing; run npm run build first`);
  }
  return program;
}
