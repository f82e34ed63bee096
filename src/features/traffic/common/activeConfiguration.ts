import {Clock} from '../../../base/common/clock.js';
import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {
  elapsedSince,
  Moment,
  currentMoment,
} from '../../../base/common/moment.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {RouteTable} from './routeTable.js';
import {TrafficConfiguration} from './trafficConfiguration.js';

/** Holds the active configuration, whose version never decreases, and the time of its last confirmation. */
export class ActiveConfiguration extends DisposableOwner {
  private readonly changeEmitter = this.register(new Emitter<RouteTable>());
  private readonly confirmationEmitter = this.register(new Emitter<void>());
  private current: RouteTable | undefined;
  private confirmed: Moment | undefined;

  /** Fires when a newer version becomes active. */
  readonly onDidChange = this.changeEmitter.event;
  /** Fires when a confirmation extends the validity of the configuration. */
  readonly onDidConfirm = this.confirmationEmitter.event;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    /** Age from which the configuration is too old to rely on, since keys may have been revoked since. */
    readonly confirmationLimitMilliseconds: number,
  ) {
    super();
  }

  /** Routes and accounts of the active configuration; undefined until the first one is read. */
  get table(): RouteTable | undefined {
    return this.current;
  }

  /** The current time, to be taken before a read and passed to `confirm` after it. */
  now(): Moment {
    return currentMoment(this.clock);
  }

  /** Activates a configuration unless its version is the active one or older. */
  activateIfNewer(configuration: TrafficConfiguration): void {
    const before = this.current?.configuration.version;
    if (before !== undefined && configuration.version <= before) {
      return;
    }
    this.current = new RouteTable(configuration);
    this.logger.decision('configurationInForce', {
      version: configuration.version,
      before,
      routes: configuration.routes.length,
      services: configuration.services.length,
      accounts: configuration.accounts?.length,
    });
    this.changeEmitter.fire(this.current);
  }

  /** Records that the active configuration was the newest one at some time after `asOf`. */
  confirm(asOf: Moment): void {
    if (asOf.monotonic > (this.confirmed?.monotonic ?? -Infinity)) {
      this.confirmed = asOf;
      this.confirmationEmitter.fire();
    }
  }

  /** Upper bound of the milliseconds since the configuration was the newest; Infinity before the first confirmation. */
  get age(): number {
    const {current, confirmed} = this;
    if (current === undefined || confirmed === undefined) {
      return Infinity;
    }
    return elapsedSince(this.clock, confirmed);
  }

  /** Whether the configuration is recent enough to decide whether a key is valid. */
  get isConfirmed(): boolean {
    return this.age < this.confirmationLimitMilliseconds;
  }
}
