/** Ownership of resources that must be released, such as timers, listeners and connections. */

/** An object that holds resources. `dispose` releases them and is idempotent. */
export interface Disposable {
  dispose(): void;
}

/** Creates a disposable from a function, which is called at most once. */
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

/** Owns disposables and disposes them together, in reverse order of addition. */
export class DisposableStore implements Disposable {
  private readonly owned = new Set<Disposable>();
  private disposed = false;

  /** Takes ownership of a disposable; one that is added after disposal is disposed immediately. */
  add<T extends Disposable>(disposable: T): T {
    if (this.disposed) {
      disposable.dispose();
      return disposable;
    }
    this.owned.add(disposable);
    return disposable;
  }

  /** Disposes one owned disposable and removes it. */
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
    const disposables = [...this.owned].reverse();
    this.owned.clear();
    for (const disposable of disposables) {
      disposable.dispose();
    }
  }
}

/** Base class of objects whose disposables are disposed with them. */
export abstract class DisposableOwner implements Disposable {
  private readonly store = new DisposableStore();

  /** Registers a disposable to be disposed with this object. */
  protected register<T extends Disposable>(disposable: T): T {
    return this.store.add(disposable);
  }

  /** Whether this object has been disposed. */
  protected get isDisposed(): boolean {
    return this.store.isDisposed;
  }

  dispose(): void {
    this.store.dispose();
  }
}
