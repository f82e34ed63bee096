import {
  Disposable,
  DisposableOwner,
  toDisposable,
} from '../../../base/common/lifecycle.js';
import {Suspicion, Suspicions} from '../../fleet/common/suspicions.js';
import {Slowness} from '../../fleet/common/slowness.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {
  findSilentStreams,
  isSlow,
  SilentStream,
  StreamProgress,
} from '../common/silence.js';
import {UpstreamTrials} from './upstreamTrials.js';
import {Clock} from '../../../base/common/clock.js';

/** Streams that fell silent together and share a single suspect prove it without a trial call. */
const STREAMS_FOR_PROOF = 3;

/** Time from the notice that an upstream leaves until streams are moved off it. */
const LEAVING_MILLISECONDS = 600;

/**
 * When more streams than these are silent though everything answers, there is too much load and not a
 * dead connection: beginning them again would only add to it.
 */
const FEW_STREAMS = 2;
const CROWDED_SHARE = 0.1;

/**
 * A look that comes so much too late says that this process was held up: events that came meanwhile have not
 * been read yet, and every stream would seem silent.
 */
const HELD_UP_MILLISECONDS = 15;

/** A report says how slow an upstream is for this long. */
const SLOW_MILLISECONDS = 1_500;

/** A stream that can be moved off upstreams that are lost. */
export abstract class WatchedStream {
  /** What is seen of it; undefined while nothing is awaited. */
  abstract get progress(): StreamProgress | undefined;
  /** An upstream on its path is held to be lost. */
  abstract leave(upstream: string): void;
  /** An upstream on its path is leaving, or slow: to be left where another can take its part. */
  abstract leaveInTime(upstream: string): void;
  /** It is silent although other streams flow through each upstream on its path. */
  abstract onSilence(milliseconds: number): void;
}

/** Watches the running streams for silence, and tells those on a path through a lost upstream. */
export class StreamWatch extends DisposableOwner {
  private readonly streams = new Set<WatchedStream>();
  /** Leaving upstreams whose streams will be told. */
  private readonly leaving = new Set<string>();
  private timer: Disposable | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly directory: UpstreamDirectory,
    private readonly suspicions: Suspicions,
    slowness: Slowness,
    private readonly trials: UpstreamTrials,
    private readonly periodMilliseconds: number,
    private readonly isOn: boolean,
  ) {
    super();
    this.register(toDisposable(() => this.timer?.dispose()));
    this.register(suspicions.onDidSuspect(suspicion => this.tell(suspicion)));
    this.register(directory.onDidChange(() => this.tellLeaving()));
    this.register(slowness.onDidSlow(id => this.tellStreamsOn(id)));
  }

  /** Watches a stream until disposed. */
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
      const late = this.clock.monotonicMilliseconds() - dueAt;
      this.timer = this.schedule();
      if (this.isOn && late < HELD_UP_MILLISECONDS) {
        this.look();
      }
    });
  }

  private tell({upstream, reason}: Suspicion): void {
    // One that refuses new work may well finish what it has.
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
   * Leaving upstreams go on for two seconds or more, and streams of usual length end in that time. After
   * a part of it the others are moved, one by one instead of all when the upstream ends.
   */
  private tellLeaving(): void {
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
        this.clock.setTimer(LEAVING_MILLISECONDS, () => {
          this.leaving.delete(id);
          this.tellStreamsOn(id);
        });
      }
    }
  }

  private tellStreamsOn(upstream: string): void {
    for (const stream of [...this.streams]) {
      if (stream.progress?.upstreams.includes(upstream)) {
        stream.leaveInTime(upstream);
      }
    }
  }

  private look(): void {
    const byRequest = new Map<string, WatchedStream>();
    const progress: StreamProgress[] = [];
    for (const stream of this.streams) {
      const seen = stream.progress;
      if (seen !== undefined) {
        progress.push(seen);
        byRequest.set(seen.requestId, stream);
      }
    }
    this.lookIntoSlow(progress);
    const silent = findSilentStreams(
      progress,
      this.clock.monotonicMilliseconds(),
    );
    const proven = this.findProven(silent);
    const isCrowded =
      silent.length > FEW_STREAMS + CROWDED_SHARE * progress.length;
    for (const stream of silent) {
      this.lookInto(stream, proven);
      this.leaveLost(byRequest.get(stream.requestId));
      if (stream.suspects.length === 0 && !isCrowded) {
        byRequest.get(stream.requestId)?.onSilence(stream.silentMilliseconds);
      }
    }
  }

  /** Asks what slow streams run on; a report says how slow an upstream is. */
  private lookIntoSlow(streams: readonly StreamProgress[]): void {
    for (const stream of streams.filter(isSlow)) {
      for (const id of stream.upstreams) {
        const upstream = this.directory.find(id);
        const isKnown = this.trials.hasAnsweredWithin(id, SLOW_MILLISECONDS);
        if (upstream !== undefined && !isKnown) {
          const {requestId: request, usualGapMilliseconds: gap} = stream;
          void this.trials.try(upstream, 'silent', {request, gap});
        }
      }
    }
  }

  /** A stream that could not leave a lost upstream at once, for want of budget or room, tries again. */
  private leaveLost(stream: WatchedStream | undefined): void {
    const lost = stream?.progress?.upstreams.find(id =>
      this.suspicions.isLost(id),
    );
    if (lost !== undefined) {
      stream?.leave(lost);
    }
  }

  /** The only suspect of several streams that fell silent. */
  private findProven(silent: readonly SilentStream[]): string | undefined {
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

  private lookInto(stream: SilentStream, proven: string | undefined): void {
    const silence = Math.round(stream.silentMilliseconds);
    const evidence = {
      request: stream.requestId,
      silence,
      suspects: stream.suspects.length,
    };
    if (proven !== undefined && !this.trials.hasJustAnswered(proven)) {
      this.suspicions.suspect(proven, 'silent', {...evidence, proven: true});
      return;
    }
    for (const id of stream.suspects) {
      const upstream = this.directory.find(id);
      if (upstream !== undefined && !this.trials.hasJustAnswered(id)) {
        const trial = this.trials.try(upstream, 'silent', evidence);
        void trial.then(report => {
          for (const {requestId, address} of report?.stalled ?? []) {
            this.suspectStalled(address, requestId);
          }
        });
      }
    }
  }

  private suspectStalled(address: string, request: string): void {
    const upstream = this.directory.findByAddress(address);
    if (upstream !== undefined && !this.trials.hasJustAnswered(upstream.id)) {
      const evidence = {request};
      this.suspicions.suspect(upstream.id, 'namedByUpstream', evidence);
    }
  }
}
