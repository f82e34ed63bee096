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

/** Admission control: whether this instance accepts new work, and where callers should go when it doesn't. */

/** Milliseconds without a response of the control program after which new work is refused. */
const MAX_VIEW_AGE_MILLISECONDS = 12000;

/** Milliseconds after which refused callers may retry at this instance. */
export const GATE_RETRY_MILLISECONDS = 1000;

/** Settings of the instance that the gate belongs to. */
export interface GateSettings extends Locality {
  readonly id: string;
  readonly concurrentRequestLimit: number;
}

/** Limits the requests in progress, and refuses new work while the instance can't serve it. */
export class RequestGate {
  private inProgress = 0;
  private leaving = false;
  private notifyIdle: (() => void) | undefined;

  constructor(
    private readonly views: SystemViewSource,
    private readonly clock: Clock,
    private readonly settings: GateSettings,
  ) {}

  /** Number of requests in progress. */
  get count(): number {
    return this.inProgress;
  }

  /** Whether a graceful shutdown has begun. */
  get isLeaving(): boolean {
    return this.leaving;
  }

  /** Whether new work is accepted. */
  get isServing(): boolean {
    return this.servingView().ok;
  }

  /** Acquires a slot for one request; fails when all are in use. Dispose the slot to release it. */
  tryAcquireSlot(): Result<Disposable, RequestFailure> {
    if (this.inProgress >= this.settings.concurrentRequestLimit) {
      return failure(this.tooManyRequests());
    }
    this.inProgress += 1;
    return success(toDisposable(() => this.leave()));
  }

  /** Refuses new work from now on; resolves once no request is in progress. */
  drain(): Promise<void> {
    this.leaving = true;
    return new Promise(resolve => {
      this.notifyIdle = resolve;
      this.notifyWhenIdle();
    });
  }

  /**
   * Returns caller addresses for an account, best first. This instance is included only while it accepts
   * new work. Its own state decides, because the view of the system lags behind it.
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

  /** Returns the caller address of the instance that runs an incarnation; undefined when none is known. */
  addressOf(incarnation: string): string | undefined {
    return addressOfIncarnation(
      this.views.current?.instances ?? [],
      incarnation,
    );
  }

  /** Returns the current view, or the refusal when this instance doesn't accept new work. */
  servingView(): Result<SystemView, RequestFailure> {
    if (this.leaving) {
      return failure(this.refusal('shuttingDown'));
    }
    const view = this.views.current;
    if (view === undefined || !this.hasConfirmedView(view)) {
      return failure(this.refusal('cutOff'));
    }
    if (view.standing.kind === 'leaving') {
      return failure(this.refusal('shuttingDown'));
    }
    return success(view);
  }

  private hasConfirmedView(view: SystemView): boolean {
    const kind = view.standing.kind;
    return (
      view.configuration.revision >= 1 &&
      kind !== 'starting' &&
      kind !== 'cutOff' &&
      this.isViewFresh()
    );
  }

  private isViewFresh(): boolean {
    const respondedAt = this.views.lastResponseAt;
    const now = this.clock.monotonicMilliseconds();
    return (
      respondedAt !== undefined && now - respondedAt < MAX_VIEW_AGE_MILLISECONDS
    );
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
