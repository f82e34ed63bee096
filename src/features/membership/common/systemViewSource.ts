import {Event} from '../../../base/common/event.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {EntryAnnouncement, SystemView} from './systemView.js';

/** Provides the view of the system to the entry program, from the control program of its instance. */
export abstract class SystemViewSource implements Disposable {
  /** The newest view; undefined before the first one. It remains in use while the source does not respond. */
  abstract readonly current: SystemView | undefined;

  /** Monotonic milliseconds of the last response; undefined before the first one. */
  abstract readonly lastResponseAt: number | undefined;

  /** Fires with each new view. */
  abstract readonly onDidChange: Event<SystemView>;

  /** Sends an announcement to the control program; repeated until delivered and after each restart of the program. */
  abstract announce(announcement: EntryAnnouncement): void | Promise<boolean>;

  abstract dispose(): void;
}
