import Emittery from 'emittery';

import {Disposable, toDisposable} from './lifecycle.js';

/** Events of one type, carried by emittery; listeners run asynchronously, in order of subscription. */

/** Subscribes to an event; dispose the result to stop. */
export type Event<T> = (listener: (event: T) => void) => Disposable;

const EVENT_NAME = 'event';

/** Owns the sending side of an event; exposes `event` to others as `onDid…` or `onWill…`. */
export class Emitter<T> implements Disposable {
  private readonly emittery = new Emittery<{[EVENT_NAME]: T}>();

  /** The subscription function to hand out. */
  readonly event: Event<T> = listener => {
    const stop = this.emittery.on(EVENT_NAME, message =>
      listener(unwrap(message)),
    );
    return toDisposable(stop);
  };

  /** Sends an event to all current listeners. */
  fire(event: T): void {
    void this.emittery.emit(EVENT_NAME, event);
  }

  dispose(): void {
    this.emittery.clearListeners();
  }
}

function unwrap<T>(message: unknown): T {
  return message as T;
}
