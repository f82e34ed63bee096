import {neverCancelled} from '../../base/common/cancellation.js';
import {Clock} from '../../base/common/clock.js';
import {nextPoll} from '../../base/node/nextPoll.js';
import {StopWindow} from '../../features/forwarding/common/stopWindow.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';
import {CallerListener} from './callerListener.js';
import {RouterComponents} from './routerComponents.js';

/**
 * Share of the shutdown time after which idle connections are closed. Callers keep addresses for three times as long as they
 * are told, so an instance that has nothing to do is still there for them until then.
 */
const CLOSE_IDLE_SHARE = 0.4;

/** Time before the end of a stop at which the port is closed, so that connections that were accepted get a response. */
const CLOSE_PORT_MILLISECONDS = 200;

/** Time reserved for an orderly exit before the platform kills the process. */
const EXIT_MARGIN_MILLISECONDS = 400;

/** Time after the end of a stop in which whole responses that a slow reader has not taken are still written. */
const LAST_WRITES_MILLISECONDS = 150;

/** Period in which a stop looks whether the machine was suspended. */
const SUSPENSION_CHECK_PERIOD_MILLISECONDS = 50;

/** Shorter suspensions aren't told from the resolution of the clocks, and the time for the exit covers them. */
const SHORTEST_SUSPENSION_MILLISECONDS = 100;

/** The time that the platform allows for a stop; monotonic milliseconds. */
export interface StopTime {
  /** When the platform may have asked for the stop at the earliest. */
  readonly signalledAt: number;
  /** What the clock said at that moment of the time for which the machine was suspended. */
  readonly suspendedBefore: number;
  /** From the platform's request until it kills the process. */
  readonly stopMilliseconds: number;
}

/** What a graceful stop acts on. */
export type StoppingComponents = Pick<
  RouterComponents,
  'gossip' | 'handler' | 'instances' | 'layers' | 'registry' | 'tunnels'
>;

/** Stops an instance within the time that the platform allows, finishing requests in progress as far as possible. */
export class GracefulStop {
  private readonly window: StopWindow;
  /** Milliseconds from the signal until requests without a whole answer are ended. */
  private readonly length: number;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly components: StoppingComponents,
    private readonly callers: CallerListener,
    private readonly instanceName: string,
    private readonly time: StopTime,
  ) {
    const suspended = (): number => this.suspendedMilliseconds;
    const {signalledAt, stopMilliseconds} = time;
    this.length = stopMilliseconds - EXIT_MARGIN_MILLISECONDS;
    const unsuspendedEnd = signalledAt + this.length;
    this.window = {
      startedAt: signalledAt,
      get endsAt() {
        return unsuspendedEnd - suspended();
      },
    };
  }

  /** Resolves when no request is in progress any more. */
  async run(): Promise<void> {
    const {handler, instances, tunnels} = this.components;
    instances.state = 'stopping';
    this.logger.info('stopping', {
      inProgress: handler.count,
      milliseconds: Math.round(this.timeLeft),
      afterSignal: this.elapsedMilliseconds,
    });
    handler.beginStop(this.window);
    this.callers.closeAfterResponses();
    void this.leave();
    await this.sleepUntil(this.time.stopMilliseconds * CLOSE_IDLE_SHARE);
    this.callers.closeIdle();
    await Promise.race([
      handler.idle(),
      this.sleepUntil(this.length - CLOSE_PORT_MILLISECONDS),
    ]);
    this.callers.stopListening();
    await Promise.race([
      this.untilIdle(),
      // What has arrived by the end is still read, however late the event loop is.
      this.sleepUntil(this.length).then(nextPoll),
    ]);
    this.logger.info('stopped', {
      unfinished: handler.count,
      tunnels: tunnels.count,
      milliseconds: this.elapsedMilliseconds,
      suspended: Math.round(this.suspendedMilliseconds),
      isTimeUp: this.timeLeft <= 0,
    });
    handler.endAll();
    await Promise.race([
      this.callers.written(),
      this.sleepUntil(this.length + LAST_WRITES_MILLISECONDS),
    ]);
  }

  /**
   * Resolves when no request, response or tunnel is left. While one kind of work is waited for, kept connections may bring
   * more of another.
   */
  private async untilIdle(): Promise<void> {
    const {handler, tunnels} = this.components;
    const isBusy = (): boolean =>
      handler.count > 0 || this.callers.unwrittenCount > 0 || tunnels.count > 0;
    while (isBusy()) {
      await Promise.all([
        handler.idle().then(() => this.callers.written()),
        tunnels.idle(),
      ]);
    }
  }

  /** Tells peers and gives up what this instance holds; logs each step. */
  private async leave(): Promise<void> {
    const {layers, registry, gossip} = this.components;
    await Promise.all([
      this.logStep('peers told', gossip.exchangeWithAll(neverCancelled)),
      this.logStep('lease released', layers.leave(neverCancelled)),
    ]);
    await this.logStep(
      'registration withdrawn',
      registry.withdraw(this.instanceName, neverCancelled),
    );
  }

  /** Waits for a step of leaving. A step that fails doesn't hold up the others or the stop. */
  private async logStep(step: string, done: Promise<unknown>): Promise<void> {
    try {
      await done;
      const milliseconds = this.elapsedMilliseconds;
      this.logger.info('stop step done', {step, milliseconds});
    } catch (error) {
      const milliseconds = this.elapsedMilliseconds;
      const detail = String(error);
      this.logger.error('stop step failed', {step, milliseconds, detail});
    }
  }

  /** Time since the signal, whether the machine ran or was suspended. */
  private get elapsedMilliseconds(): number {
    return Math.round(this.length - this.timeLeft);
  }

  private get timeLeft(): number {
    return this.window.endsAt - this.clock.monotonicMilliseconds();
  }

  /** Time since the signal for which the machine was suspended. */
  private get suspendedMilliseconds(): number {
    const suspended =
      this.clock.suspendedMilliseconds() - this.time.suspendedBefore;
    return suspended < SHORTEST_SUSPENSION_MILLISECONDS ? 0 : suspended;
  }

  /**
   * Resolves when a time has passed since the signal. Timers don't count the time for which the machine is suspended, so it looks
   * again and again.
   */
  private async sleepUntil(elapsed: number): Promise<void> {
    let left: number;
    while ((left = elapsed - this.length + this.timeLeft) > 0) {
      await this.sleep(Math.min(left, SUSPENSION_CHECK_PERIOD_MILLISECONDS));
    }
  }

  private sleep(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.setTimer(milliseconds, resolve);
    });
  }
}
