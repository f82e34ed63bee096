import {
  Disposable,
  DisposableOwner,
  toDisposable,
} from '../../../base/common/lifecycle.js';
import {
  Suspicion,
  SuspicionTracker,
} from '../../fleet/common/suspicionTracker.js';
import {SlownessTracker} from '../../fleet/common/slownessTracker.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {
  findSilentStreams,
  isSlow,
  SilentStream,
  StreamProgress,
} from '../common/silentStreams.js';
import {UpstreamProber} from './upstreamProber.js';
import {Clock} from '../../../base/common/clock.js';

/**
 * This many streams that fell silent together with a single common suspect prove its loss without a probe.
 */
const STREAMS_FOR_PROOF = 3;

/** Time between the notice that an upstream is leaving and moving streams off it. */
const LEAVING_GRACE_MILLISECONDS = 600;

/**
 * More silent streams than this while all upstreams respond indicate overload instead of dead connections;
 * restarting them would only add to the load.
 */
const OVERLOAD_STREAM_COUNT = 2;
const OVERLOAD_STREAM_SHARE = 0.1;

/**
 * A check that runs this late indicates that the event loop was blocked. Events that arrived in the
 * meantime have not been read yet, so every stream would seem silent.
 */
const TIMER_DELAY_LIMIT_MILLISECONDS = 15;

/** How long the slowness in a report is valid. */
const SLOWNESS_VALID_MILLISECONDS = 1_500;

/** A stream that can be moved off lost upstreams. */
export abstract class WatchedStream {
  /** Observed progress; undefined while no event is expected. */
  abstract get progress(): StreamProgress | undefined;
  /** Called when an upstream on its path is suspected to be lost. */
  abstract leave(upstream: string): void;
  /**
   * Called when an upstream on its path is leaving or slow; the stream moves if another upstream can take
   * its part.
   */
  abstract onUpstreamDegraded(upstream: string): void;
  /** Called when it is silent although other streams progress through each upstream on its path. */
  abstract onSilence(milliseconds: number): void;
}

/** Watches the running streams for silence and notifies those whose path includes a lost upstream. */
export class StreamMonitor extends DisposableOwner {
  private readonly streams = new Set<WatchedStream>();
  /** Leaving upstreams whose streams will be notified. */
  private readonly leaving = new Set<string>();
  private timer: Disposable | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly directory: UpstreamDirectory,
    private readonly suspicions: SuspicionTracker,
    slowness: SlownessTracker,
    private readonly prober: UpstreamProber,
    private readonly periodMilliseconds: number,
    private readonly isEnabled: boolean,
  ) {
    super();
    this.register(toDisposable(() => this.timer?.dispose()));
    this.register(
      suspicions.onDidSuspect(suspicion => this.notifyStreams(suspicion)),
    );
    this.register(directory.onDidChange(() => this.scheduleLeaveNotices()));
    this.register(slowness.onDidBecomeSlow(id => this.notifyDegraded(id)));
  }

  /** Watches a stream until the returned object is disposed. */
  add(stream: WatchedStream): Disposable {
    this.streams.add(stream);
    this.timer ??= this.schedule();
    return toDisposable(() => this.remove(stream));
  }

  private remove(stream: WatchedStream): void {
    this.streams.delete(stream);
    if (this.streams.size === 0) {
      this.timer?.dispose();
      this.timer = undefined;
    }
  }

  private schedule(): Disposable {
    const dueAt = this.clock.monotonicMilliseconds() + this.periodMilliseconds;
    return this.clock.setTimer(this.periodMilliseconds, () => {
      const delay = this.clock.monotonicMilliseconds() - dueAt;
      this.timer = this.schedule();
      if (this.isEnabled && delay < TIMER_DELAY_LIMIT_MILLISECONDS) {
        this.checkStreams();
      }
    });
  }

  private notifyStreams({upstream, reason}: Suspicion): void {
    // An upstream that refuses new work may still finish its running work.
    if (reason === 'refusing') {
      return;
    }
    for (const stream of [...this.streams]) {
      if (stream.progress?.upstreams.includes(upstream)) {
        stream.leave(upstream);
      }
    }
  }

  /**
   * Leaving upstreams continue for two seconds or more, and streams of usual length end in that time. After
   * a part of it the remaining streams are moved, one by one instead of all at once when the upstream ends.
   */
  private scheduleLeaveNotices(): void {
    const leaving = new Set<string>();
    for (const stream of this.streams) {
      for (const id of stream.progress?.upstreams ?? []) {
        if (this.directory.find(id)?.isLeaving) {
          leaving.add(id);
        }
      }
    }
    for (const id of leaving) {
      if (!this.leaving.has(id)) {
        this.leaving.add(id);
        this.clock.setTimer(LEAVING_GRACE_MILLISECONDS, () => {
          this.leaving.delete(id);
          this.notifyDegraded(id);
        });
      }
    }
  }

  private notifyDegraded(upstream: string): void {
    for (const stream of [...this.streams]) {
      if (stream.progress?.upstreams.includes(upstream)) {
        stream.onUpstreamDegraded(upstream);
      }
    }
  }

  private checkStreams(): void {
    const byRequest = new Map<string, WatchedStream>();
    const progress: StreamProgress[] = [];
    for (const stream of this.streams) {
      const streamProgress = stream.progress;
      if (streamProgress !== undefined) {
        progress.push(streamProgress);
        byRequest.set(streamProgress.requestId, stream);
      }
    }
    this.readSlowness(progress);
    const silent = findSilentStreams(
      progress,
      this.clock.monotonicMilliseconds(),
    );
    const provenSuspect = this.findProvenSuspect(silent);
    const isOverloaded =
      silent.length >
      OVERLOAD_STREAM_COUNT + OVERLOAD_STREAM_SHARE * progress.length;
    for (const stream of silent) {
      this.probeSuspects(stream, provenSuspect);
      this.retryLeaving(byRequest.get(stream.requestId));
      if (stream.suspects.length === 0 && !isOverloaded) {
        byRequest.get(stream.requestId)?.onSilence(stream.silentMilliseconds);
      }
    }
  }

  /** Requests reports of the upstreams of slow streams, since a report states how slow an upstream is. */
  private readSlowness(streams: readonly StreamProgress[]): void {
    for (const stream of streams.filter(isSlow)) {
      for (const id of stream.upstreams) {
        const upstream = this.directory.find(id);
        const isKnown = this.prober.hasRespondedWithin(
          id,
          SLOWNESS_VALID_MILLISECONDS,
        );
        if (upstream !== undefined && !isKnown) {
          void this.prober.requestReport(upstream);
        }
      }
    }
  }

  /** Retries to move a stream that could not leave a lost upstream at once, for lack of budget or capacity. */
  private retryLeaving(stream: WatchedStream | undefined): void {
    const lost = stream?.progress?.upstreams.find(id =>
      this.suspicions.isLost(id),
    );
    if (lost !== undefined) {
      stream?.leave(lost);
    }
  }

  /** Returns the only suspect of several streams that fell silent. */
  private findProvenSuspect(
    silent: readonly SilentStream[],
  ): string | undefined {
    const [first] = silent;
    const [suspect] = first?.suspects ?? [];
    const isProven =
      silent.length >= STREAMS_FOR_PROOF &&
      suspect !== undefined &&
      silent.every(
        ({suspects}) => suspects.length === 1 && suspects[0] === suspect,
      );
    return isProven ? suspect : undefined;
  }

  private probeSuspects(
    stream: SilentStream,
    provenSuspect: string | undefined,
  ): void {
    const silence = Math.round(stream.silentMilliseconds);
    const evidence = {
      request: stream.requestId,
      silence,
      suspects: stream.suspects.length,
    };
    if (
      provenSuspect !== undefined &&
      !this.prober.hasRecentlyResponded(provenSuspect)
    ) {
      this.suspicions.suspect(provenSuspect, 'silent', {
        ...evidence,
        proven: true,
      });
      return;
    }
    for (const id of stream.suspects) {
      const upstream = this.directory.find(id);
      if (upstream !== undefined && !this.prober.hasRecentlyResponded(id)) {
        const pendingReport = this.prober.probe(upstream, 'silent', evidence);
        void pendingReport.then(report => {
          for (const {requestId, address} of report?.stalled ?? []) {
            this.suspectStalled(address, requestId);
          }
        });
      }
    }
  }

  private suspectStalled(address: string, request: string): void {
    const upstream = this.directory.findByAddress(address);
    if (
      upstream !== undefined &&
      !this.prober.hasRecentlyResponded(upstream.id)
    ) {
      const evidence = {request};
      this.suspicions.suspect(upstream.id, 'namedByUpstream', evidence);
    }
  }
}
