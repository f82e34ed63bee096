import * as zod from 'zod';

/** Accounts for the streams that were not served in time, from the router's decision lines. */

/** Targets of a route; the lines say how long a stream took, not what was asked. */
export interface AccountTargets {
  readonly firstMilliseconds: number;
  readonly pauseMilliseconds: number;
}

/** Streams with the same end and the same cause. */
export interface AccountRow {
  /** `answered` late, `notRun`, `failed`, `brokenOff` or `callerLeft`, with the reason that the router gave. */
  readonly outcome: string;
  /** What was too long; undefined where nothing was. */
  readonly late: 'first' | 'pause' | undefined;
  /** What befell the streams, in the order in which it first did; `nothing` where no line says. */
  readonly cause: string;
  readonly count: number;
  /** Some request ids, to be looked up in the log. */
  readonly examples: readonly string[];
}

/** What became of all streams of a log. */
export interface RequestAccount {
  readonly streams: number;
  readonly inTime: number;
  /** Most frequent first; with those in time they add up to all. */
  readonly rows: readonly AccountRow[];
  /** Streams whose log ends before they did, as on an instance that was killed. */
  readonly withoutEnd: number;
}

/** Examples of each row. */
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

/** One decision line about a request. */
type DecisionLine = zod.infer<typeof lineSchema>;

/** What a line adds to the cause; undefined where it is part of every request. */
function causeOf(line: DecisionLine): string | undefined {
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

/** The line that a text holds behind whatever a collector put before it. */
export function parseDecisionLine(text: string): DecisionLine | undefined {
  const start = text.indexOf('{');
  if (start === -1) {
    return undefined;
  }
  try {
    return lineSchema.safeParse(JSON.parse(text.slice(start))).data;
  } catch {
    // Lines that were cut off, or of another program, are no decision lines.
    return undefined;
  }
}

function lateness(
  {first = 0, longestPause = 0}: DecisionLine,
  targets: AccountTargets,
): AccountRow['late'] {
  if (first > targets.firstMilliseconds) {
    return 'first';
  }
  return longestPause > targets.pauseMilliseconds ? 'pause' : undefined;
}

function rowOf(
  lines: readonly DecisionLine[],
  end: DecisionLine,
  targets: AccountTargets,
): AccountRow {
  const causes = new Set(lines.flatMap(line => causeOf(line) ?? []));
  const {outcome = 'unknown', reason} = end;
  return {
    outcome: reason === undefined ? outcome : `${outcome}, ${reason}`,
    late: lateness(end, targets),
    cause: [...causes].join(' + ') || 'nothing',
    count: 1,
    examples: [end.request],
  };
}

function added(known: AccountRow | undefined, row: AccountRow): AccountRow {
  return known === undefined
    ? row
    : {
        ...known,
        count: known.count + 1,
        examples: [...known.examples, ...row.examples].slice(0, EXAMPLE_LIMIT),
      };
}

/** Groups lines by request and sorts the streams that were not in time by how they ended and why. */
export function accountFor(
  texts: Iterable<string>,
  targets: AccountTargets,
): RequestAccount {
  const byRequest = new Map<string, DecisionLine[]>();
  for (const text of texts) {
    const line = parseDecisionLine(text);
    if (line !== undefined) {
      const lines = byRequest.get(line.request) ?? [];
      lines.push(line);
      byRequest.set(line.request, lines);
    }
  }
  const rows = new Map<string, AccountRow>();
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
      const row = rowOf(lines, end, targets);
      if (row.outcome.startsWith('answered') && row.late === undefined) {
        inTime++;
      } else {
        const name = `${row.outcome} ${row.late} ${row.cause}`;
        rows.set(name, added(rows.get(name), row));
      }
    }
  }
  const sorted = [...rows.values()].sort(
    (left, right) => right.count - left.count,
  );
  return {streams, inTime, rows: sorted, withoutEnd};
}
