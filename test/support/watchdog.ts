import {rmSync} from 'node:fs';
import {createInterface} from 'node:readline';

/**
 * Cleans up after a launcher that exits or is killed. Reads `+pid` and `-pid` lines, for started and exited
 * processes, from standard input. When standard input closes, kills the processes that still run, removes the
 * directory given on the command line and exits.
 */
const processes = new Set<number>();

const lines = createInterface({input: process.stdin});
lines.on('line', line => {
  const pid = Number(line.slice(1));
  if (line.startsWith('+')) {
    processes.add(pid);
  } else {
    processes.delete(pid);
  }
});
lines.on('close', () => {
  processes.forEach(kill);
  const [, , directory] = process.argv;
  if (directory !== undefined) {
    rmSync(directory, {recursive: true, force: true, maxRetries: 3});
  }
});

function kill(pid: number): void {
  try {
    process.kill(pid, 'SIGKILL');
  } catch {
    // The process has already exited.
  }
}
