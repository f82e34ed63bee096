import {Event} from '../../../base/common/event.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {EntryAnnouncement, SystemView} from './systemView.js';

/** Where the entry program gets its view of the system from: the control program of its instance. */
export abstract class SystemViewSource implements Disposable {
  /** The newest view; undefined until the first one came. It stays in use while the source is silent. */
  abstract readonly current: SystemView | undefined;

  /** Monotonic milliseconds at which the source last answered; undefined before the first answer. */
  abstract readonly heardAt: number | undefined;

  /** Fires with each newer view. */
  abstract readonly onDidChange: Event<SystemView>;

  /** Tells the control program which process serves and whether it is leaving; repeated until it was taken. */
  abstract announce(announcement: EntryAnnouncement): void | Promise<boolean>;

  abstract dispose(): void;
}
