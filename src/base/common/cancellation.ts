import {Disposable, DisposableStore, toDisposable} from './lifecycle.js';

/** Cancellation of asynchronous work, passed down every asynchronous path. */

/** Observes whether work is still wanted. */
export interface CancellationToken {
  readonly isCancelled: boolean;
  /** Why the work was cancelled; undefined while it is wanted. */
  readonly reason: string | undefined;
  /** Calls back once, at once when already cancelled. */
  onDidCancel(listener: () => void): Disposable;
  /** The same token in the form that web interfaces take. */
  readonly signal: AbortSignal;
}

/** Creates a token and cancels it; follows an optional parent. */
export class CancellationSource implements Disposable {
  private readonly controller = new AbortController();
  private readonly owned = new DisposableStore();
  readonly token: CancellationToken;

  constructor(parent?: CancellationToken) {
    this.token = new SignalToken(this.controller.signal);
    if (parent) {
      this.owned.add(
        parent.onDidCancel(() =>
          this.cancel(parent.reason ?? 'parent cancelled'),
        ),
      );
    }
  }

  /** Cancels once; later calls have no effect. */
  cancel(reason: string): void {
    if (!this.controller.signal.aborted) {
      this.controller.abort(reason);
    }
  }

  /** Cancels after a time; the timer is released on dispose. */
  cancelAfter(milliseconds: number, reason: string): void {
    const timer = setTimeout(() => this.cancel(reason), milliseconds);
    this.owned.add(toDisposable(() => clearTimeout(timer)));
  }

  dispose(): void {
    this.owned.dispose();
  }
}

class SignalToken implements CancellationToken {
  constructor(readonly signal: AbortSignal) {}

  get isCancelled(): boolean {
    return this.signal.aborted;
  }

  get reason(): string | undefined {
    return this.signal.aborted ? String(this.signal.reason) : undefined;
  }

  onDidCancel(listener: () => void): Disposable {
    if (this.signal.aborted) {
      listener();
      return toDisposable(() => undefined);
    }
    this.signal.addEventListener('abort', listener, {once: true});
    return toDisposable(() =>
      this.signal.removeEventListener('abort', listener),
    );
  }
}

class NeverToken implements CancellationToken {
  readonly isCancelled = false;
  readonly reason = undefined;

  /** A new one each time: users of a shared one would pile up their listeners on it. */
  get signal(): AbortSignal {
    return new AbortController().signal;
  }

  /** Keeps no listener, for the same reason. */
  onDidCancel(): Disposable {
    return toDisposable(() => undefined);
  }
}

/** A token that is never cancelled. */
export const neverCancelled: CancellationToken = new NeverToken();
