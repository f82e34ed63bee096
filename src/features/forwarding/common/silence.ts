/** Infers which upstream is lost from which streams are silent and which flow. */

/** What is seen of one stream. */
export interface StreamProgress {
  readonly requestId: string;
  /** Upstreams on its path. */
  readonly upstreams: readonly string[];
  /** Monotonic milliseconds of its last event, or of its sending before the first. */
  readonly lastProgressAt: number;
  readonly hasBegun: boolean;
  /** Usual milliseconds between two events. */
  readonly usualGapMilliseconds: number;
  /** What its path should need between two events. */
  readonly expectedGapMilliseconds: number;
}

/** A stream that is silent, and the upstreams that may be the cause. */
export interface SilentStream {
  readonly requestId: string;
  readonly silentMilliseconds: number;
  /** Those on its path through which no other stream flowed since it fell silent. */
  readonly suspects: readonly string[];
}

/**
 * Least silence that is looked into. Callers allow a pause of some 200 ms; after a loss the trial call
 * takes 30 ms of it, reading the prompt again 60 ms, and twice as much when many streams were broken.
 */
const LEAST_SILENCE_MILLISECONDS = 45;

/**
 * A stream is silent after this many of its usual gaps, since slow paths pause longer. Only trial calls
 * follow from it, so a false alarm costs a report or two.
 */
const USUAL_GAPS = 2;

/** Streams that have not begun wait for room and for the prompt to be read; only a long wait says something. */
const BEGIN_SILENCE_MILLISECONDS = 350;

/** A stream whose gaps are this much longer than its path should need runs on a slow upstream, or a crowded one. */
const SLOW_FACTOR = 2;

/** Whether a stream is slower than its path explains. */
export function isSlow(stream: StreamProgress): boolean {
  const {usualGapMilliseconds, expectedGapMilliseconds} = stream;
  return (
    stream.hasBegun &&
    usualGapMilliseconds > SLOW_FACTOR * expectedGapMilliseconds
  );
}

/** How long a stream may be silent before it is looked into. */
export function silenceLimit(stream: StreamProgress): number {
  return stream.hasBegun
    ? Math.max(
        LEAST_SILENCE_MILLISECONDS,
        USUAL_GAPS * stream.usualGapMilliseconds,
      )
    : BEGIN_SILENCE_MILLISECONDS;
}

/** The streams that are silent now, with what may be the cause. */
export function findSilentStreams(
  streams: readonly StreamProgress[],
  now: number,
): readonly SilentStream[] {
  const silent = streams.filter(
    stream => now - stream.lastProgressAt > silenceLimit(stream),
  );
  if (silent.length === 0) {
    return [];
  }
  const flowedAt = lastFlowThrough(streams);
  return silent.map(stream => ({
    requestId: stream.requestId,
    silentMilliseconds: now - stream.lastProgressAt,
    suspects: stream.upstreams.filter(
      upstream =>
        (flowedAt.get(upstream) ?? -Infinity) <=
        stream.lastProgressAt + stream.usualGapMilliseconds,
    ),
  }));
}

/** When an event last came through each upstream. */
function lastFlowThrough(
  streams: readonly StreamProgress[],
): ReadonlyMap<string, number> {
  const flowedAt = new Map<string, number>();
  for (const stream of streams) {
    if (!stream.hasBegun) {
      continue;
    }
    for (const upstream of stream.upstreams) {
      const known = flowedAt.get(upstream) ?? -Infinity;
      flowedAt.set(upstream, Math.max(known, stream.lastProgressAt));
    }
  }
  return flowedAt;
}
