import {Event} from '../../../base/common/event.js';
import {SystemView} from './systemView.js';

/** Where the entry program gets its view from. */
export abstract class ViewSource {
  /** The newest view; undefined until the first. */
  abstract readonly current: SystemView | undefined;
  /** Fires after each newer view. */
  abstract readonly onDidChange: Event<SystemView>;
}
