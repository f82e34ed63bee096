/** Infers which upstreams are lost from which streams are silent and which progress. */

/** Observed progress of one stream. */
export interface StreamProgress {
  readonly requestId: string;
  /** Upstreams on its path. */
  readonly upstreams: readonly string[];
  /** Monotonic time in milliseconds of its last event, or of sending its request before the first event. */
  readonly lastActivityAt: number;
  readonly hasBegun: boolean;
  /** Moving average of the time between two events. */
  readonly meanGapMilliseconds: number;
  /** Time between two events that its path should need. */
  readonly expectedGapMilliseconds: number;
}

/** A silent stream and the upstreams that may be the cause. */
export interface SilentStream {
  readonly requestId: string;
  readonly silentMilliseconds: number;
  /** Upstreams on its path through which no other stream has progressed since it fell silent. */
  readonly suspects: readonly string[];
}

/**
 * Minimum silence before a stream is investigated. Callers allow a pause of about 200 ms; after a loss,
 * probing takes 30 ms of it, repeating the prefill 60 ms, and twice as much when many streams were broken.
 */
const MIN_SILENCE_MILLISECONDS = 45;

/**
 * A stream is silent after this many of its mean gaps, since streams on slow paths pause longer. A false
 * alarm only costs a probe or two.
 */
const SILENCE_GAP_FACTOR = 2;

/**
 * Silence limit before the first event. Such streams wait for capacity and for prefill, so only a long wait
 * indicates a fault.
 */
const FIRST_EVENT_SILENCE_MILLISECONDS = 350;

/** A stream whose mean gap exceeds the expected gap by this factor runs on a slow or overloaded upstream. */
const SLOW_FACTOR = 2;

/** Whether a stream is slower than its path explains. */
export function isSlow(stream: StreamProgress): boolean {
  const {meanGapMilliseconds, expectedGapMilliseconds} = stream;
  return (
    stream.hasBegun &&
    meanGapMilliseconds > SLOW_FACTOR * expectedGapMilliseconds
  );
}

/** How long a stream may be silent before it is investigated. */
export function silenceLimitMilliseconds(stream: StreamProgress): number {
  return stream.hasBegun
    ? Math.max(
        MIN_SILENCE_MILLISECONDS,
        SILENCE_GAP_FACTOR * stream.meanGapMilliseconds,
      )
    : FIRST_EVENT_SILENCE_MILLISECONDS;
}

/** Returns the streams that are silent now, each with the upstreams that may be the cause. */
export function findSilentStreams(
  streams: readonly StreamProgress[],
  now: number,
): readonly SilentStream[] {
  const silent = streams.filter(
    stream => now - stream.lastActivityAt > silenceLimitMilliseconds(stream),
  );
  if (silent.length === 0) {
    return [];
  }
  const lastEventAt = lastEventByUpstream(streams);
  return silent.map(stream => ({
    requestId: stream.requestId,
    silentMilliseconds: now - stream.lastActivityAt,
    suspects: stream.upstreams.filter(
      upstream =>
        (lastEventAt.get(upstream) ?? -Infinity) <=
        stream.lastActivityAt + stream.meanGapMilliseconds,
    ),
  }));
}

/** Monotonic time in milliseconds of the last event through each upstream. */
function lastEventByUpstream(
  streams: readonly StreamProgress[],
): ReadonlyMap<string, number> {
  const byUpstream = new Map<string, number>();
  for (const stream of streams) {
    if (!stream.hasBegun) {
      continue;
    }
    for (const upstream of stream.upstreams) {
      const latest = byUpstream.get(upstream) ?? -Infinity;
      byUpstream.set(upstream, Math.max(latest, stream.lastActivityAt));
    }
  }
  return byUpstream;
}
