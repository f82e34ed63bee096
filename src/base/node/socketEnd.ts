import {Socket} from 'node:net';

/** Tells how the other side closed a connection. */

/**
 * Whether a connection whose `end` is reported was reset. Node.js reports a reset right after data as a plain end, but then the
 * socket no longer has a remote address.
 */
export function isEndOfReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}
