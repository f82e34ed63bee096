import {Disposable, toDisposable} from '../../../base/common/lifecycle.js';

/** Whole answers of a service whose durations are remembered: those of some half a minute on a busy instance. */
const REMEMBERED_ANSWERS = 256;

/** Remembers how long the answers of each service lately took at this instance, and which are in progress. */
export class AnswerDurations {
  private readonly recent = new Map<string, number[]>();
  private readonly startedAt = new Map<string, Set<{readonly at: number}>>();

  /** Records an answer that begins at a monotonic time; dispose the result when it has ended. */
  begin(service: string, at: number): Disposable {
    const started = this.startedAt.get(service) ?? new Set();
    this.startedAt.set(service, started);
    const entry = {at};
    started.add(entry);
    return toDisposable(() => started.delete(entry));
  }

  /** Records the duration in milliseconds of an answer that ended as whole or at its time limit. */
  record(service: string, milliseconds: number): void {
    const durations = this.recent.get(service) ?? [];
    this.recent.set(service, durations);
    durations.push(milliseconds);
    if (durations.length > REMEMBERED_ANSWERS) {
      durations.shift();
    }
  }

  /** Number of answers of a service that are remembered. */
  count(service: string): number {
    return this.recent.get(service)?.length ?? 0;
  }

  /**
   * The longest of the recent answers in milliseconds, or the time for which one has been in progress if that is longer;
   * undefined if no answer of the service has ended.
   */
  longest(service: string, now: number): number | undefined {
    const durations = this.recent.get(service);
    if (durations === undefined) {
      return undefined;
    }
    const running = [...(this.startedAt.get(service) ?? [])];
    return Math.max(...durations, ...running.map(({at}) => now - at));
  }
}
