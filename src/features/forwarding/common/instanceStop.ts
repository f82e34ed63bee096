import {StopWindow} from './stopWindow.js';

/** Whether this instance stops, and how much time its requests have then. */
export class InstanceStop {
  private begun: StopWindow | undefined;

  /** The time that is available; undefined while the instance has not been told to stop. */
  get window(): StopWindow | undefined {
    return this.begun;
  }

  begin(window: StopWindow): void {
    this.begun ??= window;
  }
}
