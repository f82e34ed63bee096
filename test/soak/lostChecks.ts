import {UpstreamCall} from '../standins/fleet/upstreamLog.js';
import {Attempt} from './history.js';
import {HistoryIndex} from './historyIndex.js';
import {checkAll, CheckResult, Verdict} from './verdict.js';

/** The rule LOST: requests that were read whole and whose connection ended without a whole answer. */

/** Planned work lasts until so long after the time for a stop. */
const STOP_EXTRA_MILLISECONDS = 1_000;

/** Requests sent later than this after SIGTERM are never excused by the end of the time for a stop. */
const EXCUSED_START_MILLISECONDS = 3_000;

/** Excused while the upstream is still at work in this last part of the time for a stop. */
const LAST_PART = 1 / 6;

/** A connection in the kept state may be closed so often at any time. */
const ALLOWED_AT_ANY_TIME = 3;

/** An attempt whose connection ended without a whole answer, after the whole request was sent. */
interface CutAttempt extends Attempt {
  readonly sentAt: number;
  readonly endedAt: number;
}

/** Requests that were lost around SIGTERM and SIGHUP. */
export function findLost(index: HistoryIndex): CheckResult {
  const cut = index.attempts.filter(isCut).filter(attempt => {
    return findStop(index, attempt) !== undefined || isAtReload(index, attempt);
  });
  return checkAll(cut, attempt => judgeLost(index, attempt));
}

function isCut(attempt: Attempt): attempt is CutAttempt {
  return (
    attempt.end.kind === 'cut' &&
    attempt.sentAt !== undefined &&
    attempt.endedAt !== undefined
  );
}

/** The first SIGTERM of the stop in which an attempt was cut; those of earlier lives of the process don't count. */
function findStop(
  index: HistoryIndex,
  {instance, startedAt, endedAt}: CutAttempt,
): number | undefined {
  const window = index.bounds.stopMilliseconds + STOP_EXTRA_MILLISECONDS;
  const born = index.lastStartBefore(instance, startedAt);
  const stop = index
    .signalsOf(instance, 'SIGTERM')
    .find(at => at >= born && at <= endedAt);
  return stop !== undefined && endedAt <= stop + window ? stop : undefined;
}

function isAtReload(
  index: HistoryIndex,
  {instance, startedAt, endedAt}: CutAttempt,
): boolean {
  const window = index.bounds.configurationMilliseconds;
  return index
    .signalsOf(instance, 'SIGHUP')
    .some(at => startedAt <= at + window && endedAt >= at);
}

function judgeLost(index: HistoryIndex, attempt: CutAttempt): Verdict {
  if (!wasRead(index, attempt) || isExcused(index, attempt)) {
    return {kind: 'excused'};
  }
  return {
    kind: 'broken',
    violation: {
      subject: attempt.requestId,
      detail: describe(index, attempt),
    },
  };
}

/**
 * Passed on, or left open for longer than the slack. A reset tells that bytes were left unread, so it doesn't count
 * without a call to an upstream.
 */
function wasRead(index: HistoryIndex, attempt: CutAttempt): boolean {
  const isPassedOn = index
    .callsOf(attempt)
    .some(({arrivedAt}) => arrivedAt <= attempt.endedAt);
  const isLate =
    attempt.endedAt > attempt.sentAt + index.bounds.lossSlackMilliseconds;
  const isReset = attempt.end.kind === 'cut' && attempt.end.isReset;
  return isPassedOn || (isLate && !isReset);
}

function isExcused(index: HistoryIndex, attempt: CutAttempt): boolean {
  const {instance, startedAt, endedAt, timeLimitMilliseconds} = attempt;
  const span = {
    from: startedAt - index.bounds.contactMilliseconds,
    until: endedAt,
  };
  const calls = index.callsOf(attempt);
  return (
    index.hasUnplannedImpairment(instance, span) ||
    index.isImpaired(impairable(attempt, calls), span) ||
    calls.some(({end}) => end === 'brokeOff') ||
    endedAt - startedAt >= timeLimitMilliseconds ||
    wasAtWorkInLastPart(index, attempt, calls)
  );
}

/** Trouble of the store alone excuses nothing for requests without streaming. */
function impairable(
  {kind}: CutAttempt,
  calls: readonly UpstreamCall[],
): readonly string[] {
  const upstreams = calls.flatMap(({path}) => path);
  return kind === 'safe' || kind === 'unsafe'
    ? upstreams
    : [...upstreams, 'store'];
}

function wasAtWorkInLastPart(
  index: HistoryIndex,
  attempt: CutAttempt,
  calls: readonly UpstreamCall[],
): boolean {
  const stop = findStop(index, attempt);
  if (
    stop === undefined ||
    attempt.sentAt > stop + EXCUSED_START_MILLISECONDS
  ) {
    return false;
  }
  const lastPart = stop + index.bounds.stopMilliseconds * (1 - LAST_PART);
  return calls.some(({endedAt}) => (endedAt ?? Infinity) >= lastPart);
}

function describe(index: HistoryIndex, attempt: CutAttempt): string {
  const {instance, kind, sentAt, endedAt, status} = attempt;
  const stop = findStop(index, attempt);
  const since = (moment: number): string =>
    stop === undefined ? 'SIGHUP' : `${Math.round(moment - stop)} ms`;
  return `${kind} at ${instance}, status ${status}, sent ${since(sentAt)} and cut ${since(endedAt)} after the signal`;
}

/** Requests on kept connections that an instance in touch passed on to a sound upstream and closed unanswered. */
export function findLostAnyTime(index: HistoryIndex): CheckResult {
  const cut = index.attempts
    .filter(isCut)
    .filter(
      ({isKeptConnection, status}) => isKeptConnection && status === undefined,
    );
  const result = checkAll(cut, attempt => {
    const {instance, startedAt, endedAt, requestId} = attempt;
    const calls = index.callsOf(attempt);
    const path = calls.flatMap(call => call.path);
    const isCounted =
      calls.length > 0 &&
      calls.every(({end}) => end !== 'brokeOff') &&
      !index.isImpaired(path, {from: startedAt, until: endedAt}) &&
      index.isInTouch(instance, endedAt);
    return isCounted
      ? {
          kind: 'broken',
          violation: {
            subject: requestId,
            detail: `${instance} closed the connection`,
          },
        }
      : {kind: 'excused'};
  });
  return result.violations.length > ALLOWED_AT_ANY_TIME
    ? result
    : {...result, excused: result.judged, violations: []};
}
