import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';

/**
 * Runs a call that is cancelled after a time-out or together with `parent`.
 * Resolves with undefined if the call was cancelled or failed; never rejects.
 */
export async function callWithTimeout<T>(
  clock: Clock,
  milliseconds: number,
  parent: CancellationToken | undefined,
  call: (token: CancellationToken) => Promise<T>,
): Promise<T | undefined> {
  const source = new CancellationSource(parent);
  const timer = clock.setTimer(milliseconds, () => source.cancel('timeout'));
  try {
    return await raceCancellation(source.token, call(source.token));
  } catch {
    return undefined;
  } finally {
    timer.dispose();
    source.dispose();
  }
}

/** Resolves with the value of the promise, or with undefined if `token` is cancelled first. */
export function raceCancellation<T>(
  token: CancellationToken,
  promise: Promise<T>,
): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    const listener = token.onDidCancel(() => resolve(undefined));
    promise.then(
      value => {
        listener.dispose();
        resolve(value);
      },
      (error: unknown) => {
        listener.dispose();
        reject(error instanceof Error ? error : new Error(String(error)));
      },
    );
  });
}

export function delay(clock: Clock, milliseconds: number): Promise<void> {
  return new Promise(resolve => {
    clock.setTimer(milliseconds, resolve);
  });
}

/** Waits; resolves with false if `token` is cancelled before the time has passed. */
export function cancellableDelay(
  clock: Clock,
  milliseconds: number,
  token: CancellationToken,
): Promise<boolean> {
  return new Promise(resolve => {
    const timer = clock.setTimer(milliseconds, () => {
      listener.dispose();
      resolve(true);
    });
    const listener = token.onDidCancel(() => {
      timer.dispose();
      resolve(false);
    });
  });
}
