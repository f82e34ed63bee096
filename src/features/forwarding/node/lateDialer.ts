import {Socket} from 'node:net';

import {buildConnector} from 'undici';

import {Clock} from '../../../base/common/clock.js';
import {EventLoop, isLoopLate} from '../../../base/common/eventLoop.js';
import {Event} from '../../../base/common/event.js';
import {Dialer} from '../../../infrastructure/http/node/dialer.js';

/**
 * Hands out a connection that was opened while the event loop was late only after the loop has read which callers have left, since a client
 * sends its request at once.
 */
export class LateDialer extends Dialer {
  override readonly onDidChangeWay: Event<string | undefined>;

  constructor(
    private readonly dialer: Dialer,
    private readonly clock: Clock,
    private readonly eventLoop: EventLoop,
  ) {
    super();
    this.onDidChangeWay = dialer.onDidChangeWay;
  }

  override readonly connect: buildConnector.connector = (options, callback) =>
    this.dialer.connect(options, (...result) => {
      const [error, socket] = result;
      // With an error, undici gives no second argument, whatever its types say.
      if (error !== null || !isLoopLate(this.clock, this.eventLoop)) {
        callback(...result);
      } else {
        void this.handOut(socket, callback);
      }
    });

  private async handOut(
    socket: Socket,
    callback: buildConnector.Callback,
  ): Promise<void> {
    let failure: Error | undefined;
    const onError = (error: Error): void => {
      failure = error;
    };
    socket.on('error', onError);
    await this.eventLoop.nextPoll();
    socket.off('error', onError);
    if (socket.destroyed) {
      callback(failure ?? new Error('the connection was closed'), null);
    } else {
      callback(null, socket);
    }
  }
}
