import {Dispatcher} from 'undici';

import {Clock} from '../../../base/common/clock.js';
import {EventLoop, isLoopLate} from '../../../base/common/eventLoop.js';
import {ResponseTimer} from '../../../base/node/responseTimer.js';
import {
  ConnectionWatch,
  FramingTooLongError,
  PausedEndError,
  WatchedConnection,
} from '../../../infrastructure/http/node/connectionWatch.js';
import {marksItsEnd} from '../../../infrastructure/http/node/responseFraming.js';
import {
  ExchangeFailure,
  ResponseListener,
  UpstreamExchange,
  UpstreamRequest,
} from '../common/upstreamExchange.js';

/** One HTTP exchange; used only once. A request that is alone has a dispatcher of its own, which is destroyed with it. */
export class HttpUpstreamExchange
  extends UpstreamExchange
  implements Dispatcher.DispatchHandler
{
  private controller: Dispatcher.DispatchController | undefined;
  private connectTimer: ResponseTimer | undefined;
  private wasSent = false;
  /** Whether it is sent again, since the event loop was late right before it was written. */
  private isPostponed = false;
  /** Monotonic milliseconds before the last poll that it waited for. */
  private polledAt = -Infinity;
  /** The connection of the response, once its head has arrived. */
  private connection: WatchedConnection | undefined;
  private isFramed = false;
  /** Length of the body as the head states it. */
  private statedBytes = NaN;
  private receivedBytes = 0;
  private isDone = false;

  constructor(
    private readonly listener: ResponseListener,
    private readonly dispatcher: Dispatcher,
    private readonly request: UpstreamRequest,
    private readonly clock: Clock,
    private readonly eventLoop: EventLoop,
    private readonly connectionWatch: ConnectionWatch,
  ) {
    super();
  }

  /** Sends the request. */
  start(): void {
    this.connectTimer = new ResponseTimer(
      this.request.connectMilliseconds,
      () => this.fail('connection timeout'),
    );
    this.dispatch();
  }

  private dispatch(): void {
    const {request} = this;
    const hasBody = request.body.length > 0;
    try {
      this.dispatcher.dispatch(
        {
          method: request.method as Dispatcher.HttpMethod,
          path: request.target,
          headers: [...request.headers],
          body: hasBody ? request.body : null,
          // Set explicitly, since undici otherwise closes the connection after some methods without a body.
          reset: request.isAlone,
        },
        this,
      );
    } catch (error) {
      this.fail(describeError(error));
    }
  }

  override pause(): void {
    this.setPaused(true);
    this.controller?.pause();
  }

  override resume(): void {
    this.setPaused(false);
    this.controller?.resume();
  }

  private setPaused(isPaused: boolean): void {
    if (this.connection !== undefined && !this.isDone) {
      this.connection.isPaused = isPaused;
    }
  }

  override dispose(): void {
    if (!this.isDone) {
      this.finish();
      this.abort();
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isDone) {
      controller.abort(new Error('cancelled before sending'));
      return;
    }
    if (this.mayHaveLeft()) {
      this.postpone(controller);
      return;
    }
    this.connectTimer?.dispose();
    this.wasSent = true;
  }

  /** Whether the caller may have left, since this process was held between the last poll and now. */
  private mayHaveLeft(): boolean {
    return isLoopLate(this.clock, this.eventLoop, this.polledAt);
  }

  /** Gives up a dispatch of which nothing was written; sends the request after the loop has read whether its caller has left. */
  private postpone(controller: Dispatcher.DispatchController): void {
    this.isPostponed = true;
    const polledAt = this.clock.monotonicMilliseconds();
    controller.abort(new Error('postponed before sending'));
    void this.eventLoop.nextPoll().then(() => {
      if (!this.isDone) {
        this.isPostponed = false;
        this.polledAt = polledAt;
        this.dispatch();
      }
    });
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Readonly<Record<string, unknown>>,
    reason = '',
  ): void {
    // Informational responses precede the final one.
    if (this.isDone || status < 200) {
      return;
    }
    this.connection = this.connectionWatch.current;
    this.isFramed = marksItsEnd(status, headers);
    this.statedBytes = Number(headers['content-length']);
    this.listener.onHead(status, reason, toRawHeaders(controller));
  }

  onResponseData(_: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.isDone) {
      this.receivedBytes += chunk.length;
      this.connection?.recordBody(chunk.length);
      this.listener.onBody(chunk);
    }
  }

  onResponseEnd(): void {
    if (this.isDone) {
      return;
    }
    this.finish();
    this.connection?.recordEnd();
    this.listener.onEnd(this.isFramed);
  }

  onResponseError(_: Dispatcher.DispatchController, error: Error): void {
    if (this.isPostponed) {
      return;
    }
    const isWhole =
      error instanceof PausedEndError &&
      (!this.isFramed || this.receivedBytes === this.statedBytes);
    if (isWhole) {
      this.onResponseEnd();
    } else {
      this.fail(describeError(error), error instanceof FramingTooLongError);
    }
  }

  private fail(detail: string, isFlood = false): void {
    if (this.isDone) {
      return;
    }
    const failure: ExchangeFailure = {wasSent: this.wasSent, detail, isFlood};
    this.finish();
    this.abort();
    this.listener.onFailure(failure);
  }

  private abort(): void {
    this.controller?.abort(new Error('request cancelled'));
  }

  private finish(): void {
    this.setPaused(false);
    this.isDone = true;
    this.connectTimer?.dispose();
    if (this.request.isAlone) {
      // Runs after the client's own callback has returned; only one connection is left to be closed.
      setImmediate(() => void this.dispatcher.destroy().catch(() => undefined));
    }
  }
}

function toRawHeaders(
  controller: Dispatcher.DispatchController,
): readonly string[] {
  const raw = controller.rawHeaders;
  return Array.isArray(raw) ? raw.map(value => value.toString('latin1')) : [];
}

function describeError(error: unknown): string {
  if (!(error instanceof Error)) {
    return 'unknown error';
  }
  const {code} = error as NodeJS.ErrnoException;
  return code === undefined ? error.message : `${code}: ${error.message}`;
}
