import {Clock} from '../../../base/common/clock.js';
import {Event} from '../../../base/common/event.js';
import {DisposableStore} from '../../../base/common/lifecycle.js';
import {EntryAnnouncement, SystemView} from '../common/systemView.js';
import {SystemViewSource} from '../common/systemViewSource.js';
import {ControlViewSource} from './controlViewSource.js';

/** The view as the entry program uses it: what the control program said last, and when it said so. */
export class EntryViewSource extends SystemViewSource {
  private readonly owned = new DisposableStore();
  private lastHeardAt: number | undefined;

  constructor(
    private readonly source: ControlViewSource,
    clock: Clock,
  ) {
    super();
    this.owned.add(source);
    this.owned.add(
      source.onDidChange(({standing}) => {
        // The source itself makes this standing when the control program is silent.
        if (standing.kind !== 'cutOff') {
          this.lastHeardAt = clock.monotonicMilliseconds();
        }
      }),
    );
  }

  override get current(): SystemView | undefined {
    return this.source.current;
  }

  override get heardAt(): number | undefined {
    return this.lastHeardAt;
  }

  override get onDidChange(): Event<SystemView> {
    return this.source.onDidChange;
  }

  /** Begins to follow the control program. */
  start(): void {
    this.source.start();
  }

  /** Resolves with whether the control program took it, within about a second. */
  override announce(announcement: EntryAnnouncement): Promise<boolean> {
    return this.source.announce(announcement);
  }

  override dispose(): void {
    this.owned.dispose();
  }
}
