import {Clock} from '../../base/common/clock.js';
import {Disposable, DisposableStore} from '../../base/common/lifecycle.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';
import {RouterSettings} from './routerSettings.js';

/** What an address is for. */
export type AddressPurpose = keyof RouterSettings['listen'];

/** Time between attempts to open an address. */
const RETRY_MILLISECONDS = 200;

/** Time between log lines on an address that stays taken. */
const LOG_PERIOD_MILLISECONDS = 5_000;

/**
 * Errors that may pass while the process waits: another process has the address, the host does not have it yet, or descriptors or
 * memory are short.
 */
const PASSING_ERRORS: ReadonlySet<string | undefined> = new Set([
  'EADDRINUSE',
  'EADDRNOTAVAIL',
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);

/** Begins to listen on an address `IP:port`; resolves once it does. */
type Open = (address: string) => Promise<Disposable | void>;

/** Opens the addresses of a process, and tries again while an address is not to be had. */
export class AddressOpener implements Disposable {
  private readonly owned = new DisposableStore();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Resolves once the address is open; rejects with an error that does not pass. Never resolves after disposal. */
  async open(
    purpose: AddressPurpose,
    address: string,
    open: Open,
  ): Promise<void> {
    const startedAt = this.now;
    let loggedAt = -Infinity;
    while (!this.owned.isDisposed) {
      try {
        this.own(await open(address));
        this.logOpened(purpose, address, startedAt, loggedAt);
        return;
      } catch (cause) {
        if (!PASSING_ERRORS.has((cause as NodeJS.ErrnoException).code)) {
          const detail = `${purpose} address ${address}: ${String(cause)}`;
          throw new Error(detail, {cause});
        }
        if (this.now - loggedAt >= LOG_PERIOD_MILLISECONDS) {
          loggedAt = this.now;
          this.logger.warn('address can not be opened; trying again', {
            purpose,
            address,
            detail: String(cause),
            milliseconds: Math.round(this.now - startedAt),
          });
        }
      }
      await this.pause();
    }
  }

  /** Opens an address that is not needed to serve callers, later if need be. Resolves after the first attempt. */
  async openLater(
    purpose: AddressPurpose,
    address: string,
    open: Open,
  ): Promise<void> {
    const opened = this.open(purpose, address, open).catch((error: unknown) =>
      this.logger.error('address is not served', {detail: String(error)}),
    );
    await Promise.race([opened, this.pause()]);
  }

  dispose(): void {
    this.owned.dispose();
  }

  private own(opened: Disposable | void): void {
    if (opened !== undefined) {
      this.owned.add(opened);
    }
  }

  private logOpened(
    purpose: AddressPurpose,
    address: string,
    startedAt: number,
    loggedAt: number,
  ): void {
    if (loggedAt > 0) {
      this.logger.info('address is open', {
        purpose,
        address,
        milliseconds: Math.round(this.now - startedAt),
      });
    }
  }

  private pause(): Promise<void> {
    return new Promise(resolve => {
      const timer = this.clock.setTimer(RETRY_MILLISECONDS, () => {
        this.owned.delete(timer);
        resolve();
      });
      this.owned.add(timer);
    });
  }

  private get now(): number {
    return this.clock.monotonicMilliseconds();
  }
}
