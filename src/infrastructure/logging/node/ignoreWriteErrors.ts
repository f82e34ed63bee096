import {EventEmitter} from 'node:events';

/**
 * Keeps the errors of a stream that lines are written to from ending other work: a reader that has gone away concerns
 * none of the requests, and there is no log left to tell it to.
 */
export function ignoreWriteErrors(stream: EventEmitter): void {
  stream.on('error', () => undefined);
}
