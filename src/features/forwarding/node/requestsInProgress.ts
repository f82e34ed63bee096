import {Disposable, toDisposable} from '../../../base/common/lifecycle.js';

/** A request whose caller has no final response yet. */
export abstract class RequestInProgress {
  /** Ends the request because the instance stops: truthfully as not executed, or as one that may have been. */
  abstract endForStop(): void;
}

/** The requests of an instance that have no final response yet. */
export class RequestsInProgress {
  private readonly requests = new Set<RequestInProgress>();
  private onIdle: () => void = () => undefined;

  get count(): number {
    return this.requests.size;
  }

  /** Adds a request until the result is disposed. */
  add(request: RequestInProgress): Disposable {
    this.requests.add(request);
    return toDisposable(() => {
      this.requests.delete(request);
      if (this.requests.size === 0) {
        this.onIdle();
      }
    });
  }

  /** Resolves once no request is in progress. */
  idle(): Promise<void> {
    return this.requests.size === 0
      ? Promise.resolve()
      : new Promise(resolve => (this.onIdle = resolve));
  }

  /** Ends all requests because the instance stops. */
  endAll(): void {
    for (const request of [...this.requests]) {
      request.endForStop();
    }
  }
}
