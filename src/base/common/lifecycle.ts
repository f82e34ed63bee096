/** Ownership of things that must be released: timers, listeners, connections. */

/** Something that releases what it holds; safe to call more than once. */
export interface Disposable {
  dispose(): void;
}

/** Makes a disposable from a function that runs at most once. */
export function toDisposable(release: () => void): Disposable {
  let released = false;
  return {
    dispose: () => {
      if (released) {
        return;
      }
      released = true;
      release();
    },
  };
}

/** Owns disposables and releases them together, last added first. */
export class DisposableStore implements Disposable {
  private readonly owned = new Set<Disposable>();
  private disposed = false;

  /** Takes ownership; what is added after disposal is released at once. */
  add<T extends Disposable>(disposable: T): T {
    if (this.disposed) {
      disposable.dispose();
      return disposable;
    }
    this.owned.add(disposable);
    return disposable;
  }

  /** Releases one owned disposable before the others. */
  delete(disposable: Disposable): void {
    if (this.owned.delete(disposable)) {
      disposable.dispose();
    }
  }

  /** Whether `dispose` has run. */
  get isDisposed(): boolean {
    return this.disposed;
  }

  dispose(): void {
    this.disposed = true;
    const releasing = [...this.owned].reverse();
    this.owned.clear();
    for (const disposable of releasing) {
      disposable.dispose();
    }
  }
}

/** Base for classes that own disposables for as long as they live. */
export abstract class DisposableOwner implements Disposable {
  private readonly store = new DisposableStore();

  /** Registers a disposable to be released with this object. */
  protected register<T extends Disposable>(disposable: T): T {
    return this.store.add(disposable);
  }

  /** Whether this object was disposed. */
  protected get isDisposed(): boolean {
    return this.store.isDisposed;
  }

  dispose(): void {
    this.store.dispose();
  }
}
