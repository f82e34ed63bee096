import {Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {RawHeaders} from '../common/headerCodec.js';
import {
  ExchangeFailure,
  ResponseListener,
  UpstreamConnector,
  UpstreamExchange,
  UpstreamRequest,
} from '../common/upstreamExchange.js';
import {ForwardingServices} from './forwardingServices.js';

/** Runs a callback and handles what it throws. */
export type Guard = (callback: () => void) => void;

/** Returns services whose timers and responses call back within a guard. */
export function guardServices(
  services: ForwardingServices,
  guard: Guard,
): ForwardingServices {
  return {
    ...services,
    clock: new GuardedClock(services.clock, guard),
    connector: new GuardedConnector(services.connector, guard),
  };
}

class GuardedClock extends Clock {
  constructor(
    private readonly clock: Clock,
    private readonly guard: Guard,
  ) {
    super();
  }

  override monotonicMilliseconds(): number {
    return this.clock.monotonicMilliseconds();
  }

  override wallMilliseconds(): number {
    return this.clock.wallMilliseconds();
  }

  override suspendedMilliseconds(): number {
    return this.clock.suspendedMilliseconds();
  }

  override setTimer(milliseconds: number, callback: () => void): Disposable {
    return this.clock.setTimer(milliseconds, () => this.guard(callback));
  }

  override setResponseTimer(
    milliseconds: number,
    callback: () => void,
  ): Disposable {
    return this.clock.setResponseTimer(milliseconds, () =>
      this.guard(callback),
    );
  }
}

class GuardedConnector extends UpstreamConnector {
  constructor(
    private readonly connector: UpstreamConnector,
    private readonly guard: Guard,
  ) {
    super();
  }

  override open(
    upstream: Upstream,
    request: UpstreamRequest,
    listener: ResponseListener,
  ): UpstreamExchange {
    const guarded = new GuardedListener(listener, this.guard);
    return this.connector.open(upstream, request, guarded);
  }
}

class GuardedListener extends ResponseListener {
  constructor(
    private readonly listener: ResponseListener,
    private readonly guard: Guard,
  ) {
    super();
  }

  override onHead(status: number, reason: string, headers: RawHeaders): void {
    this.guard(() => this.listener.onHead(status, reason, headers));
  }

  override onBody(chunk: Uint8Array): void {
    this.guard(() => this.listener.onBody(chunk));
  }

  override onEnd(isFramed: boolean): void {
    this.guard(() => this.listener.onEnd(isFramed));
  }

  override onFailure(failure: ExchangeFailure): void {
    this.guard(() => this.listener.onFailure(failure));
  }
}
