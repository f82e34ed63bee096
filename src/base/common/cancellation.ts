import {Disposable, DisposableStore, toDisposable} from './lifecycle.js';

/** Cancellation of asynchronous operations; tokens are passed down the call chain. */

/** Tells an operation whether it has been cancelled. */
export interface CancellationToken {
  readonly isCancelled: boolean;
  /** Why the operation was cancelled; undefined while it is not. */
  readonly reason: string | undefined;
  /** Calls the listener once on cancellation, or synchronously if already cancelled. */
  onDidCancel(listener: () => void): Disposable;
  /** The token as an `AbortSignal`, for Web APIs. */
  readonly signal: AbortSignal;
}

/** Creates and cancels a token, which is also cancelled with the optional parent. */
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

  /** Cancels the token; further calls have no effect. */
  cancel(reason: string): void {
    if (!this.controller.signal.aborted) {
      this.controller.abort(reason);
    }
  }

  /** Cancels the token after a delay, unless disposed before. */
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

  /** Returns a new signal each time: listeners would accumulate on a shared signal. */
  get signal(): AbortSignal {
    return new AbortController().signal;
  }

  /** Does not store the listener, for the same reason. */
  onDidCancel(): Disposable {
    return toDisposable(() => undefined);
  }
}

/** A token that is never cancelled. */
export const neverCancelled: CancellationToken = new NeverToken();
