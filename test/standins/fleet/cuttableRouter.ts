import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {Socket} from 'node:net';
import {join} from 'node:path';
import process from 'node:process';

import {CutDescription} from './cut.js';
import {repositoryRoot} from '../../support/managedProcess.js';

/**
 * Starts the bundled router with links that a test can cut: on SIGUSR2 it reads `<settings file>.cut` and applies it to its
 * connections to some ports. To the router this looks like a partition of its machine from the processes at those ports.
 */

const BUNDLED_ROUTER = 'target/redwing-router.cjs';

let current: CutDescription = {mode: 'none', ports: []};
const openSockets = new Map<Socket, number>();

function portOf(parameters: readonly unknown[]): number {
  // `net.connect` passes its normalized parameters as one array.
  const [first] = parameters;
  const target: unknown = Array.isArray(first) ? first[0] : first;
  return typeof target === 'object' && target !== null && 'port' in target
    ? Number(target.port)
    : Number(target);
}

function createError(code: string): Error {
  return Object.assign(new Error(`${code} of a cut link`), {code});
}

const connect = Socket.prototype.connect as (
  ...parameters: unknown[]
) => Socket;

Socket.prototype.connect = function (
  this: Socket,
  ...parameters: unknown[]
): Socket {
  const port = portOf(parameters);
  if (current.mode !== 'none' && current.ports.includes(port)) {
    if (current.mode !== 'hang') {
      process.nextTick(() => this.destroy(createError('ECONNREFUSED')));
    }
    return this;
  }
  openSockets.set(this, port);
  this.once('close', () => openSockets.delete(this));
  return connect.apply(this, parameters);
} as typeof Socket.prototype.connect;

/** Drops all further bytes in both directions. */
function hang(socket: Socket): void {
  socket.push = () => true;
  socket._write = () => undefined;
  socket._writev = () => undefined;
}

function applyCut(description: CutDescription): void {
  current = description;
  for (const [socket, port] of openSockets) {
    if (!description.ports.includes(port)) {
      continue;
    }
    if (description.mode === 'reset') {
      socket.destroy(createError('ECONNRESET'));
    } else if (description.mode === 'hang') {
      hang(socket);
    }
  }
}

const settingsFile = process.argv[2]!;
process.on('SIGUSR2', () =>
  applyCut(
    JSON.parse(readFileSync(`${settingsFile}.cut`, 'utf8')) as CutDescription,
  ),
);
const bundle = join(repositoryRoot(), BUNDLED_ROUTER);
createRequire(import.meta.url)(bundle);
