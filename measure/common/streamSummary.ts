import * as zod from 'zod';

/** Summarizes why streams missed their latency targets, from the decision lines of the router's log. */

/** Latency targets of a route. The log lines state only the measured times. */
export interface StreamTargets {
  readonly firstEventMilliseconds: number;
  readonly longestPauseMilliseconds: number;
}

/** Streams with the same outcome and the same cause. */
export interface StreamSummaryRow {
  /** `answered` (late), `notRun`, `failed`, `brokenOff` or `callerLeft`, with the reason that the router logged. */
  readonly outcome: string;
  /** Which target was missed: time to the first event, or longest pause; undefined if neither. */
  readonly late: 'first' | 'pause' | undefined;
  /** Events that affected the streams, in the order of first occurrence; `nothing` when no line states one. */
  readonly cause: string;
  readonly count: number;
  /** Request ids of a few of the streams, for searching the log. */
  readonly examples: readonly string[];
}

/** Outcomes of all streams of a log. */
export interface StreamSummary {
  readonly streams: number;
  readonly inTime: number;
  /** Most frequent first. The counts of all rows and `inTime` add up to `streams`. */
  readonly rows: readonly StreamSummaryRow[];
  /** Streams without an end line, such as those of an instance that was killed. Not part of `streams`. */
  readonly withoutEnd: number;
}

const EXAMPLE_LIMIT = 3;

const lineSchema = zod.looseObject({
  decision: zod.string(),
  request: zod.string(),
  cause: zod.string().optional(),
  reason: zod.string().optional(),
  outcome: zod.string().optional(),
  ok: zod.boolean().optional(),
  misdirected: zod.boolean().optional(),
  events: zod.number().optional(),
  first: zod.number().optional(),
  longestPause: zod.number().optional(),
});

/** A decision line of the log about one request. */
type DecisionLine = zod.infer<typeof lineSchema>;

/** Describes the event of a line as a cause; undefined for events that every request has. */
function describeCause(line: DecisionLine): string | undefined {
  switch (line.decision) {
    case 'pathChosen':
      return line.cause === 'first' ? undefined : line.cause;
    case 'streamMoved':
      return line.ok === true ? 'moved' : 'not moved';
    case 'waitingForPath':
      return `waited, ${line.reason ?? ''}`;
    case 'notRestarted':
      return 'no repeats left';
    case 'refusedByUpstream':
      return line.misdirected === true ? 'misdirected' : 'refused by upstream';
    case 'answerLost':
    case 'upstreamFailed':
      return line.decision;
    default:
      return undefined;
  }
}

/** Parses a log line, ignoring any prefix that a log collector added. Returns undefined for other lines. */
export function parseDecisionLine(text: string): DecisionLine | undefined {
  const start = text.indexOf('{');
  if (start === -1) {
    return undefined;
  }
  try {
    return lineSchema.safeParse(JSON.parse(text.slice(start))).data;
  } catch {
    // Truncated lines and lines of other programs are not decision lines.
    return undefined;
  }
}

function classifyLateness(
  {first = 0, longestPause = 0}: DecisionLine,
  targets: StreamTargets,
): StreamSummaryRow['late'] {
  if (first > targets.firstEventMilliseconds) {
    return 'first';
  }
  return longestPause > targets.longestPauseMilliseconds ? 'pause' : undefined;
}

function createRow(
  lines: readonly DecisionLine[],
  end: DecisionLine,
  targets: StreamTargets,
): StreamSummaryRow {
  const causes = new Set(lines.flatMap(line => describeCause(line) ?? []));
  const {outcome = 'unknown', reason} = end;
  return {
    outcome: reason === undefined ? outcome : `${outcome}, ${reason}`,
    late: classifyLateness(end, targets),
    cause: [...causes].join(' + ') || 'nothing',
    count: 1,
    examples: [end.request],
  };
}

function mergeRow(
  existing: StreamSummaryRow | undefined,
  row: StreamSummaryRow,
): StreamSummaryRow {
  return existing === undefined
    ? row
    : {
        ...existing,
        count: existing.count + 1,
        examples: [...existing.examples, ...row.examples].slice(
          0,
          EXAMPLE_LIMIT,
        ),
      };
}

/** Groups the lines by request, and the streams that missed their targets by outcome and cause. */
export function summarizeStreams(
  texts: Iterable<string>,
  targets: StreamTargets,
): StreamSummary {
  const byRequest = new Map<string, DecisionLine[]>();
  for (const text of texts) {
    const line = parseDecisionLine(text);
    if (line !== undefined) {
      const lines = byRequest.get(line.request) ?? [];
      lines.push(line);
      byRequest.set(line.request, lines);
    }
  }
  const rows = new Map<string, StreamSummaryRow>();
  let inTime = 0;
  let streams = 0;
  let withoutEnd = 0;
  for (const lines of byRequest.values()) {
    const end = lines.findLast(({decision}) => decision === 'requestEnded');
    const isStream = end === undefined || end.events !== undefined;
    if (end === undefined) {
      withoutEnd += lines.some(({decision}) => decision === 'pathChosen')
        ? 1
        : 0;
    } else if (isStream) {
      streams++;
      const row = createRow(lines, end, targets);
      if (row.outcome.startsWith('answered') && row.late === undefined) {
        inTime++;
      } else {
        const name = `${row.outcome} ${row.late} ${row.cause}`;
        rows.set(name, mergeRow(rows.get(name), row));
      }
    }
  }
  const sorted = [...rows.values()].sort(
    (left, right) => right.count - left.count,
  );
  return {streams, inTime, rows: sorted, withoutEnd};
}
