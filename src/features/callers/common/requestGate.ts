import {Clock} from '../../../base/common/clock.js';
import {Disposable, toDisposable} from '../../../base/common/lifecycle.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {SystemView} from '../../membership/common/systemView.js';
import {SystemViewSource} from '../../membership/common/systemViewSource.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {
  addressOfIncarnation,
  EntrypointCandidate,
  Locality,
  orderEntrypoints,
} from './entrypoints.js';
import {notExecuted} from './failureBody.js';

/** Whether this instance takes new work, and where callers should go when it doesn't. */

/** Milliseconds without an answer of the control program after which no new work is taken. */
const VIEW_AGE_LIMIT_MILLISECONDS = 12000;

/** Milliseconds after which refused callers may come back to this instance. */
export const GATE_RETRY_MILLISECONDS = 1000;

/** What the gate needs to know of its own instance. */
export interface GateSettings extends Locality {
  readonly id: string;
  readonly concurrentRequestLimit: number;
}

/** Counts the requests in progress and refuses what can't be taken. */
export class RequestGate {
  private inProgress = 0;
  private leaving = false;
  private notifyIdle: (() => void) | undefined;

  constructor(
    private readonly views: SystemViewSource,
    private readonly clock: Clock,
    private readonly settings: GateSettings,
  ) {}

  /** Requests in progress. */
  get count(): number {
    return this.inProgress;
  }

  /** Whether a planned stop has begun. */
  get isLeaving(): boolean {
    return this.leaving;
  }

  /** Whether new work is taken at present. */
  get isServing(): boolean {
    return this.servingView().ok;
  }

  /** Takes a place, or says why there is none. */
  enter(): Result<Disposable, RequestFailure> {
    if (this.inProgress >= this.settings.concurrentRequestLimit) {
      return failure(this.tooManyRequests());
    }
    this.inProgress += 1;
    return success(toDisposable(() => this.leave()));
  }

  /** Refuses new work from now on; resolves when no request is in progress. */
  drain(): Promise<void> {
    this.leaving = true;
    return new Promise(resolve => {
      this.notifyIdle = resolve;
      this.notifyWhenIdle();
    });
  }

  /**
   * Caller addresses for an account, best first. This instance is named exactly while it takes new
   * work: what peers have heard of it comes later.
   */
  addressesFor(clientAccount: string): readonly string[] {
    const instances = this.views.current?.instances ?? [];
    const {isServing} = this;
    const candidates = instances.map((view): EntrypointCandidate => {
      const isOwn = view.member.id === this.settings.id;
      const ready = isOwn ? isServing : view.ready;
      return {view: {...view, ready}, weight: 1};
    });
    return orderEntrypoints(candidates, clientAccount, this.settings);
  }

  /** The caller address of the instance that runs an incarnation. */
  addressOf(incarnation: string): string | undefined {
    return addressOfIncarnation(
      this.views.current?.instances ?? [],
      incarnation,
    );
  }

  /** The view to decide new work by, or why none is taken. */
  servingView(): Result<SystemView, RequestFailure> {
    if (this.leaving) {
      return failure(this.refusal('shuttingDown'));
    }
    const view = this.views.current;
    if (view === undefined || !this.isConfirmed(view)) {
      return failure(this.refusal('cutOff'));
    }
    if (view.standing.kind === 'leaving') {
      return failure(this.refusal('shuttingDown'));
    }
    return success(view);
  }

  private isConfirmed(view: SystemView): boolean {
    const kind = view.standing.kind;
    return (
      view.configuration.revision >= 1 &&
      kind !== 'starting' &&
      kind !== 'cutOff' &&
      this.isFresh()
    );
  }

  private isFresh(): boolean {
    const heardAt = this.views.heardAt;
    const now = this.clock.monotonicMilliseconds();
    return heardAt !== undefined && now - heardAt < VIEW_AGE_LIMIT_MILLISECONDS;
  }

  private refusal(kind: 'shuttingDown' | 'cutOff'): RequestFailure {
    const others = (this.views.current?.instances ?? []).filter(
      view => view.member.id !== this.settings.id,
    );
    const candidates = others.map(view => ({view, weight: 1}));
    const addresses = orderEntrypoints(candidates, '', this.settings);
    const retryAfter = addresses.length > 0 ? 0 : GATE_RETRY_MILLISECONDS;
    return notExecuted({kind}, retryAfter, addresses);
  }

  private tooManyRequests(): RequestFailure {
    const detail = 'this instance has as many requests as it may';
    return notExecuted(
      {kind: 'cannotMeetTarget', detail},
      GATE_RETRY_MILLISECONDS,
    );
  }

  private leave(): void {
    this.inProgress -= 1;
    this.notifyWhenIdle();
  }

  private notifyWhenIdle(): void {
    if (this.leaving && this.inProgress === 0) {
      this.notifyIdle?.();
    }
  }
}
