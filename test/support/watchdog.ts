import {rmSync} from 'node:fs';
import {createInterface} from 'node:readline';

/**
 * Ends what a launcher left behind. Reads lines `+pid` and `-pid` from standard input; when that ends,
 * also because the launcher was killed, it kills the processes still listed, removes the directory named
 * on the command line, then exits.
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
    // It ended by itself.
  }
}
