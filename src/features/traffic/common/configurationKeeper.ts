import {Clock} from '../../../base/common/clock.js';
import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {elapsedSince, Moment, momentOf} from '../../../base/common/moment.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {RouteTable} from './routeTable.js';
import {TrafficConfiguration} from './trafficConfiguration.js';

/** Holds the configuration in force. Versions only grow; how long ago it was confirmed is known. */
export class ConfigurationKeeper extends DisposableOwner {
  private readonly changed = this.register(new Emitter<RouteTable>());
  private readonly confirmedAgain = this.register(new Emitter<void>());
  private current: RouteTable | undefined;
  private confirmed: Moment | undefined;

  /** Fires when a newer version is in force. */
  readonly onDidChange = this.changed.event;
  /** Fires at each confirmation. */
  readonly onDidConfirm = this.confirmedAgain.event;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    /** After this time without confirmation keys may have been revoked unnoticed. */
    readonly confirmationLimitMilliseconds: number,
  ) {
    super();
  }

  /** The configuration in force; undefined until the first was read. */
  get table(): RouteTable | undefined {
    return this.current;
  }

  /** Now, to be taken before a read that may confirm the configuration. */
  now(): Moment {
    return momentOf(this.clock);
  }

  /** Takes a configuration; an older one changes nothing. */
  offer(configuration: TrafficConfiguration): void {
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
    this.changed.fire(this.current);
  }

  /** The configuration in force was the newest at some moment after `asOf`. */
  confirm(asOf: Moment): void {
    if (asOf.monotonic > (this.confirmed?.monotonic ?? -Infinity)) {
      this.confirmed = asOf;
      this.confirmedAgain.fire();
    }
  }

  /** Milliseconds since the configuration was surely the newest; Infinity when not known. */
  get age(): number {
    const {current, confirmed} = this;
    if (current === undefined || confirmed === undefined) {
      return Infinity;
    }
    return elapsedSince(this.clock, confirmed);
  }

  /** Whether decisions that depend on keys may be made. */
  get isConfirmed(): boolean {
    return this.age < this.confirmationLimitMilliseconds;
  }
}
