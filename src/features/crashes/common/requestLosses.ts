import {Clock} from '../../../base/common/clock.js';
import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {EndedUpstreams} from '../../fleet/common/endedUpstreams.js';

/**
 * Upstreams that were lost under each request, over all attempts of its caller and all instances. Unlike the evidence on prompt
 * parts it errs on the side of caution: an upstream counts until it is known to run.
 */

/** Upstreams that may end under a request and its repeats; it is not sent again afterwards. */
export const REQUEST_END_LIMIT = 3;

/** Upstreams that a request must have lost until peers are told: most lose one by chance. */
const LOSSES_FOR_NEWS = 2;

/** Time after which an instance relies on its own view of an upstream: one that has ended has left the list by then. */
const VERIFICATION_MILLISECONDS = 5_000;

/** How long the finding that an upstream runs is valid. */
const RUNNING_VALID_MILLISECONDS = 2_000;

/** Callers give up a request in less, and operators replace what is faulty. */
const RETENTION_MILLISECONDS = 10 * 60_000;

/** Bounds on memory and on messages. */
const REQUEST_LIMIT = 1_024;
export const REQUEST_NEWS_LIMIT = 64;

/** Time for which peers are told of a change; gossip reaches hundreds of instances in less. */
const NEWS_MILLISECONDS = 2_000;

/** How a request lost an upstream. */
export type LossKind =
  /** Its connection ended, or it was suspected. */
  | 'lost'
  /** The request left it although it answered probes; it counts only if it ends later. */
  | 'left';

/** How urgently peers are to be told of a loss. */
export type LossUrgency =
  /** Nothing new is known. */
  | 'known'
  /** At once, but only the peer that collects the losses of the request; nothing waits for it. */
  | 'toCollector'
  /** Before the request is given up, since its caller may repeat it at one of them. */
  | 'beforeAnswer';

/** The loss of an upstream under a request, as peers are told of it. */
export interface RequestLossReport {
  /** Identifies a request and its repeats. */
  readonly key: string;
  /** Identifier of the run of the upstream. */
  readonly upstream: string;
  readonly kind: LossKind;
  /** Whether the sender has a proof that the run has ended. */
  readonly isProved: boolean;
  readonly ageMilliseconds: number;
}

/** A request that was answered whole after it had lost upstreams. */
export interface AnsweredRequestReport {
  readonly key: string;
  readonly ageMilliseconds: number;
}

/** What instances tell each other about requests that lost upstreams. */
export interface RequestLossNews {
  readonly losses: readonly RequestLossReport[];
  readonly answered: readonly AnsweredRequestReport[];
}

/** What is known after a peer has reported losses to the instance that collects them. */
export interface CollectedLosses {
  /** All that is known of the reported requests, for the peer. */
  readonly known: RequestLossNews | undefined;
  /** Requests that have lost so many upstreams by now that all peers are to be told. */
  readonly keysForAll: readonly string[];
}

interface StoredLoss {
  readonly upstream: string;
  readonly kind: LossKind;
  readonly isProved: boolean;
  /** Monotonic milliseconds. */
  readonly at: number;
  /** Monotonic milliseconds at which this instance learned of it. */
  readonly learnedAt: number;
}

/** What is known of one request and its repeats. */
interface LosingRequest {
  readonly key: string;
  /** By upstream. */
  readonly losses: Map<string, StoredLoss>;
  /** Whether an attempt has failed, so that peers are told however few upstreams were lost. */
  hasFailed: boolean;
  /** When it was last answered whole, in monotonic milliseconds; -Infinity for never. */
  answeredAt: number;
}

/** Remembers which upstreams may have ended under each request. */
export class RequestLosses extends DisposableOwner {
  private readonly learned = this.register(new Emitter<void>());
  /** By key, the one that changed last at the end. */
  private readonly requests = new Map<string, LosingRequest>();
  /** When requests of which peers are told changed, in monotonic milliseconds, the last one at the end. */
  private readonly changedAt = new Map<string, number>();

  /** Fires when peers have told of losses. */
  readonly onDidLearn = this.learned.event;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly endedUpstreams: EndedUpstreams,
    /** Whether a run has ended as far as this instance knows: it is suspected or not listed. */
    private readonly hasLikelyEnded: (upstream: string) => boolean,
    /** Whether this instance reaches no upstream itself, so that what it loses shows nothing. */
    private readonly isCutOff: () => boolean,
  ) {
    super();
  }

  /** Whether nothing is remembered, so that no request needs to be looked up. */
  get isEmpty(): boolean {
    return this.requests.size === 0;
  }

  /** Upstreams that may have ended under a request since it was last answered. */
  endedUnder(key: string): readonly string[] {
    const losses = this.requests.get(key)?.losses.values() ?? [];
    return [...losses]
      .filter(loss => this.mayHaveEnded(loss))
      .map(({upstream}) => upstream);
  }

  /** Whether so many upstreams may have ended under a request that it must not be sent again. */
  isBlocked(key: string): boolean {
    return this.endedUnder(key).length >= REQUEST_END_LIMIT;
  }

  /** Records the loss of an upstream; returns how urgently peers are to be told. */
  record(key: string, upstream: string, kind: LossKind): LossUrgency {
    const at = this.now();
    const loss = {upstream, kind, isProved: false, at, learnedAt: at};
    if (!this.addLoss(key, loss)) {
      return 'known';
    }
    const ended = this.endedUnder(key).length;
    const fields = {key, upstream, kind, ended};
    this.logger.decision('requestLostUpstream', fields);
    return kind === 'lost' && ended >= LOSSES_FOR_NEWS
      ? 'beforeAnswer'
      : 'toCollector';
  }

  /** Records that an attempt ended without a whole answer, so that its caller may repeat the request. */
  recordFailed(key: string): void {
    const request = this.requests.get(key);
    if (request !== undefined && request.losses.size > 0) {
      request.hasFailed = true;
      this.recordChange(request);
    }
  }

  /** Records that a request was answered whole, so that its upstreams did not end because of it. */
  recordAnswered(key: string, ageMilliseconds = 0): void {
    const request = this.requests.get(key);
    const at = this.now() - ageMilliseconds;
    const earlier = [...(request?.losses.values() ?? [])].filter(
      loss => loss.at <= at,
    );
    // Without losses it is no news: what a peer passes on would come back, a little younger each time.
    if (request === undefined || earlier.length === 0) {
      return;
    }
    request.answeredAt = at;
    earlier.forEach(({upstream}) => request.losses.delete(upstream));
    this.recordChange(request);
  }

  /** What gossip tells peers; undefined if there is nothing to tell. */
  createNews(): RequestLossNews | undefined {
    for (const [key, changedAt] of this.changedAt) {
      if (this.ageOf(changedAt) <= NEWS_MILLISECONDS) {
        break;
      }
      this.changedAt.delete(key);
    }
    const keys = [...this.changedAt.keys()];
    return this.createNewsOf(keys.slice(-REQUEST_NEWS_LIMIT));
  }

  /** What a peer that has just started is told: all that is remembered, the last changes if that is too much. */
  createNewsForStarted(): RequestLossNews | undefined {
    const keys = [...this.requests.values()]
      .filter(request => request.losses.size > 0 && this.isNews(request))
      .map(({key}) => key);
    return this.createNewsOf(keys.slice(-REQUEST_NEWS_LIMIT));
  }

  /** What peers are told of some requests; undefined if there is nothing to tell. */
  createNewsOf(keys: readonly string[]): RequestLossNews | undefined {
    const requests = keys.flatMap(key => this.requests.get(key) ?? []);
    const losses = requests.flatMap(request => this.lossNewsOf(request));
    const answered = requests
      .filter(({answeredAt}) => answeredAt > -Infinity)
      .map(({key, answeredAt}) => ({
        key,
        ageMilliseconds: this.ageOf(answeredAt),
      }));
    return losses.length + answered.length === 0
      ? undefined
      : {
          losses: losses.slice(-REQUEST_NEWS_LIMIT),
          answered: answered.slice(-REQUEST_NEWS_LIMIT),
        };
  }

  /** Applies what a peer tells. */
  applyNews({losses, answered}: RequestLossNews): void {
    const learnedAt = this.now();
    let hasLearned = false;
    for (const {key, ageMilliseconds, ...loss} of losses) {
      const at = learnedAt - ageMilliseconds;
      hasLearned = this.addLoss(key, {...loss, at, learnedAt}) || hasLearned;
    }
    for (const {key, ageMilliseconds} of answered) {
      this.recordAnswered(key, ageMilliseconds);
    }
    if (hasLearned) {
      this.learned.fire();
    }
  }

  /** Applies losses that a peer reports to this instance, which collects those of the requests. */
  collect(news: RequestLossNews): CollectedLosses {
    const keys = [...new Set(news.losses.map(({key}) => key))];
    const endedBefore = new Map(
      keys.map(key => [key, this.endedUnder(key).length]),
    );
    this.applyNews(news);
    const keysForAll = keys.filter(key => {
      const ended = this.endedUnder(key).length;
      return ended >= LOSSES_FOR_NEWS && ended > (endedBefore.get(key) ?? 0);
    });
    return {known: this.createNewsOf(keys), keysForAll};
  }

  /** Lets gossip tell of a request if it is of interest to peers. */
  private recordChange(request: LosingRequest): void {
    if (this.isNews(request)) {
      this.changedAt.delete(request.key);
      this.changedAt.set(request.key, this.now());
    }
  }

  /** Whether a request has lost so many upstreams, has failed or was answered. */
  private isNews({losses, hasFailed, answeredAt}: LosingRequest): boolean {
    return (
      hasFailed ||
      losses.size >= LOSSES_FOR_NEWS ||
      this.ageOf(answeredAt) <= NEWS_MILLISECONDS
    );
  }

  private lossNewsOf({
    key,
    losses,
  }: LosingRequest): readonly RequestLossReport[] {
    const isCutOff = this.isCutOff();
    return [...losses.values()]
      .map(({upstream, kind, isProved, at}) => ({
        key,
        upstream,
        kind,
        isProved: isProved || this.endedUpstreams.hasEnded(upstream),
        ageMilliseconds: this.ageOf(at),
      }))
      .filter(({isProved}) => isProved || !isCutOff);
  }

  /** Whether an upstream may have ended under a request, by this instance's own findings or else by those of peers. */
  private mayHaveEnded({upstream, kind, isProved, at}: StoredLoss): boolean {
    if (this.endedUpstreams.hasEnded(upstream)) {
      return true;
    }
    const runningAt = this.endedUpstreams.lastRunningAt(upstream);
    if (this.ageOf(runningAt) < RUNNING_VALID_MILLISECONDS) {
      return false;
    }
    const isUnverified =
      kind === 'lost' && this.ageOf(at) < VERIFICATION_MILLISECONDS;
    const isTold = (isProved || isUnverified) && runningAt < at;
    return isTold || this.hasLikelyEnded(upstream);
  }

  /** Adds a loss; returns whether it told anything new. */
  private addLoss(key: string, loss: StoredLoss): boolean {
    const request = this.requests.get(key) ?? createRequest(key);
    const known = request.losses.get(loss.upstream);
    const tellsNothing =
      known !== undefined &&
      (known.isProved || !loss.isProved) &&
      (known.kind === 'lost' || loss.kind === 'left');
    if (tellsNothing || loss.at <= request.answeredAt) {
      return false;
    }
    request.losses.set(loss.upstream, loss);
    this.requests.delete(key);
    this.requests.set(key, request);
    this.recordChange(request);
    this.removeExcess();
    return true;
  }

  /** Forgets the requests whose last change is too old, and the oldest ones beyond the limit. */
  private removeExcess(): void {
    for (const [key, {losses, answeredAt}] of this.requests) {
      const lastAt = Math.max(
        answeredAt,
        ...[...losses.values()].map(({learnedAt}) => learnedAt),
      );
      const isExcess = this.requests.size > REQUEST_LIMIT;
      if (!isExcess && this.ageOf(lastAt) < RETENTION_MILLISECONDS) {
        break;
      }
      this.requests.delete(key);
      this.changedAt.delete(key);
    }
  }

  /** Whole milliseconds since a moment of the monotonic clock. */
  private ageOf(at: number): number {
    const age = this.clock.monotonicMilliseconds() - at;
    return Math.max(0, Math.round(age));
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}

function createRequest(key: string): LosingRequest {
  return {key, losses: new Map(), hasFailed: false, answeredAt: -Infinity};
}
