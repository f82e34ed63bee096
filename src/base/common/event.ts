import Emittery from 'emittery';

import {Disposable, DisposableStore, toDisposable} from './lifecycle.js';

/** Typed events, implemented with emittery. Listeners run asynchronously, in the order of subscription. */

/** Subscribes to an event; dispose the result to unsubscribe. */
export type Event<T> = (listener: (event: T) => void) => Disposable;

const EVENT_NAME = 'event';

/** Fires an event. Its owner exposes `event` to subscribers as `onDid…` or `onWill…`. */
export class Emitter<T> implements Disposable {
  private readonly emittery = new Emittery<{[EVENT_NAME]: T}>();

  /** Subscribes a listener. */
  readonly event: Event<T> = listener => {
    const unsubscribe = this.emittery.on(EVENT_NAME, message =>
      listener(asEvent(message)),
    );
    return toDisposable(unsubscribe);
  };

  /** Notifies all current listeners. */
  fire(event: T): void {
    void this.emittery.emit(EVENT_NAME, event);
  }

  dispose(): void {
    this.emittery.clearListeners();
  }
}

/** Returns an event that fires whenever one of several events fires. */
export function anyEvent<T>(...events: ReadonlyArray<Event<T>>): Event<T> {
  return listener => {
    const subscriptions = new DisposableStore();
    events.forEach(event => subscriptions.add(event(listener)));
    return subscriptions;
  };
}

function asEvent<T>(message: unknown): T {
  return message as T;
}
