import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';

/**
 * Runs a call that is cancelled after a time or with its parent, if it has one.
 * Resolves with undefined when it was given up or threw; never rejects.
 */
export async function callWithin<T>(
  clock: Clock,
  milliseconds: number,
  parent: CancellationToken | undefined,
  call: (token: CancellationToken) => Promise<T>,
): Promise<T | undefined> {
  const source = new CancellationSource(parent);
  const timer = clock.setTimer(milliseconds, () => source.cancel('timeout'));
  try {
    return await untilCancelled(source.token, call(source.token));
  } catch {
    return undefined;
  } finally {
    timer.dispose();
    source.dispose();
  }
}

/** Waits for a promise or for cancellation, which gives undefined. */
export function untilCancelled<T>(
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

/** Waits for a time. */
export function delay(clock: Clock, milliseconds: number): Promise<void> {
  return new Promise(resolve => {
    clock.setTimer(milliseconds, resolve);
  });
}

/** Waits for a time; false when cancelled first. */
export function delayWithin(
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
