import {ChildProcess, spawn} from 'node:child_process';
import {closeSync, existsSync, openSync, readFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const LOG_TAIL_BYTES = 256 * 1024;
const LOG_TAIL_LINES = 5;
const WATCHDOG = 'test/support/watchdog.js';

/** The root of the repository, from the sources or from the build. */
export function repositoryRoot(): string {
  let directory = dirname(fileURLToPath(import.meta.url));
  while (!existsSync(join(directory, 'package-lock.json'))) {
    const parent = dirname(directory);
    if (parent === directory) {
      throw new Error('no tsconfig.json above the build');
    }
    directory = parent;
  }
  return directory;
}

/** Starts built programs and sees to it that none outlives this process. */
export class ProcessSupervisor {
  private readonly watchdog: ChildProcess;
  private readonly processes = new Set<ManagedProcess>();

  constructor(private readonly directory: string) {
    const script = builtProgram(WATCHDOG);
    this.watchdog = spawn(process.execPath, [script, directory], {
      stdio: ['pipe', 'ignore', 'ignore'],
      detached: true,
      env: {},
    });
    // It may be gone when the last lines are written.
    this.watchdog.stdin?.on('error', () => undefined);
    this.watchdog.unref();
  }

  /** Starts a program of `dist` with a settings file. */
  start(name: string, program: string, settingsFile: string): ManagedProcess {
    const logFile = join(this.directory, `${name}.log`);
    const started = new ManagedProcess(
      name,
      [builtProgram(program), settingsFile],
      logFile,
      line => this.watchdog.stdin?.write(`${line}\n`),
    );
    this.processes.add(started);
    return started;
  }

  /** The last lines of every log, for the error of a failed start. */
  tails(): string {
    const tail = (started: ManagedProcess): string =>
      started.log().split('\n').slice(-LOG_TAIL_LINES).join('\n');
    return [...this.processes]
      .map(started => `--- ${started.name}\n${tail(started)}`)
      .join('\n');
  }

  /** Kills everything it started; resolves when all have ended. */
  async dispose(): Promise<void> {
    await Promise.all([...this.processes].map(started => started.kill()));
    this.processes.clear();
    this.watchdog.stdin?.end();
  }
}

/** One started program. */
export class ManagedProcess {
  private child: ChildProcess;
  private ended: Promise<number | undefined>;
  private hasEnded = false;

  constructor(
    readonly name: string,
    private readonly commandLine: readonly string[],
    readonly logFile: string,
    private readonly notify: (line: string) => void,
  ) {
    this.child = this.spawn();
    this.ended = this.watchEnd(this.child);
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  get isRunning(): boolean {
    return !this.hasEnded;
  }

  /** Stops it in its tracks, as a pause of its machine would. */
  freeze(): void {
    this.signal('SIGSTOP');
  }

  /** Lets it go on. */
  resume(): void {
    this.signal('SIGCONT');
  }

  /** Kills it at once; resolves when it has ended. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.ended;
  }

  /** Asks it to stop; resolves with its exit code when it has ended. */
  terminate(): Promise<number | undefined> {
    this.signal('SIGTERM');
    return this.ended;
  }

  /** Starts it again with the same settings, after it ended. */
  async restart(): Promise<void> {
    await this.kill();
    this.child = this.spawn();
    this.hasEnded = false;
    this.ended = this.watchEnd(this.child);
  }

  /** The end of what it wrote. */
  log(): string {
    return readFileSync(this.logFile).subarray(-LOG_TAIL_BYTES).toString();
  }

  /** Its JSON log lines, of the end of what it wrote. */
  logLines(): ReadonlyArray<Readonly<Record<string, unknown>>> {
    return this.log().split('\n').flatMap(parseLine);
  }

  private signal(signal: NodeJS.Signals): void {
    if (!this.hasEnded) {
      this.child.kill(signal);
    }
  }

  private spawn(): ChildProcess {
    // A file and no pipe: a program must not wait for whoever reads its log.
    const log = openSync(this.logFile, 'a');
    const child = spawn(process.execPath, this.commandLine, {
      stdio: ['ignore', log, log],
      env: {},
    });
    closeSync(log);
    this.notify(`+${child.pid}`);
    return child;
  }

  private watchEnd(child: ChildProcess): Promise<number | undefined> {
    return new Promise(resolve => {
      child.once('exit', code => {
        this.hasEnded = true;
        this.notify(`-${child.pid}`);
        resolve(code ?? undefined);
      });
    });
  }
}

function parseLine(line: string): Array<Record<string, unknown>> {
  try {
    return line.startsWith('{') ? [JSON.parse(line)] : [];
  } catch {
    return [];
  }
}

/** Throws when the programs are not built. */
export function requireBuild(): void {
  builtProgram(WATCHDOG);
}

function builtProgram(path: string): string {
  const program = join(repositoryRoot(), 'dist', path);
  if (!existsSync(program)) {
    throw new Error(`dist/${path} is missing: run npm run build first`);
  }
  return program;
}
