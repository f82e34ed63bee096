import {StopWindow} from './stopWindow.js';

/** Whether this instance stops, and which requests would not be brought to their end then. */
export class InstanceStop {
  private begun: StopWindow | undefined;

  constructor(
    /** Whether another instance serves callers, as far as this one knows. */
    private readonly isServedElsewhere: () => boolean,
  ) {}

  /** The time that is available; undefined while the instance has not been told to stop. */
  get window(): StopWindow | undefined {
    return this.begun;
  }

  begin(window: StopWindow): void {
    this.begun ??= window;
  }

  /**
   * Whether the stop may end a request before its answer is whole. Only the request's time limit bounds its duration: how long
   * others took says nothing certain. Its caller can return to another instance at once, whereas an answer that is cut off
   * costs the caller all of it.
   * @param deadlineAt monotonic milliseconds at which the request ends by its time limit
   */
  mayCutOff(deadlineAt: number): boolean {
    return this.begun !== undefined && deadlineAt > this.begun.endsAt;
  }

  /** Milliseconds after which callers of this instance are probably served: at another instance at once, else by its next run. */
  servedAgainIn(now: number): number {
    return this.begun === undefined || this.isServedElsewhere()
      ? 0
      : Math.max(0, this.begun.endsAt - now);
  }
}
