import {UpstreamCall} from '../standins/fleet/upstreamLog.js';
import {Attempt, ProcessEvent, RequestKind} from './history.js';
import {HistoryIndex} from './historyIndex.js';
import {findLost, findLostAnyTime} from './lostChecks.js';
import {checkAll, CheckResult, Verdict} from './verdict.js';

/** The promises of the users' rules, judged from what callers and upstreams saw. */

/** The statuses that promise that a request has not run and never will. */
const PROMISES: readonly number[] = [408, 421, 429, 503];

/** The rules let so many requests pass, or so large a share. */
const FEW_REQUESTS = 3;
const GONE_SHARE = 0.25;
const GONE_MILLISECONDS = 500;
/** A share of fewer requests says nothing. */
const GONE_LEAST_REQUESTS = 8;

/** A process that gets SIGTERM before it has set up its handlers ends by the signal. */
const HANDLERS_READY_MILLISECONDS = 1_000;

/** A rule and how it is judged. */
export interface Check {
  readonly name: string;
  readonly judge: (index: HistoryIndex) => CheckResult;
}

/** All checks; a name begins with the rule. */
export const checks: readonly Check[] = [
  {name: 'LOST around planned work', judge: findLost},
  {name: 'LOST at any time', judge: findLostAnyTime},
  {name: 'TWICE', judge: findTwice},
  {name: 'REFUSED', judge: findRefused},
  {name: 'MIXED answers', judge: findMixed},
  {name: 'MIXED and ORDER of streams', judge: findDisorder},
  {name: 'UNASKED', judge: findUnasked},
  {name: 'BUDGET of attempts', judge: findBudget},
  {name: 'DRAIN', judge: findDrain},
  {name: 'GONE', judge: findGone},
  {name: 'GONE at any time', judge: findLateArrivals},
  {name: 'exit codes', judge: findExits},
];

/** Whether a request may run only once. */
export function isOnce(kind: RequestKind): boolean {
  return kind === 'unsafe' || kind === 'oneTimeStream';
}

function isStream({lastEvent}: Attempt): boolean {
  return lastEvent > 0;
}

function broken(subject: string, detail: string): Verdict {
  return {kind: 'broken', violation: {subject, detail}};
}

function findTwice(index: HistoryIndex): CheckResult {
  const attempts = index.attempts.filter(({kind}) => isOnce(kind));
  return checkAll(attempts, attempt => {
    const runs = index.runsOf(attempt);
    return runs.length > 1
      ? broken(attempt.requestId, `ran ${runs.length} times`)
      : {kind: 'kept'};
  });
}

function findRefused(index: HistoryIndex): CheckResult {
  const attempts = index.attempts.filter(
    ({kind, status}) => isOnce(kind) && PROMISES.includes(status ?? 0),
  );
  return checkAll(attempts, attempt =>
    index.runsOf(attempt).length > 0
      ? broken(attempt.requestId, `has run and was answered ${attempt.status}`)
      : {kind: 'kept'},
  );
}

/** Answers bear the stamp and the status of an upstream that ran the request, and plain ones its body. */
function findMixed(index: HistoryIndex): CheckResult {
  const answered = index.attempts.filter(
    ({status, stamp}) => isSuccess(status) || stamp !== undefined,
  );
  return checkAll(answered, attempt => {
    const {requestId, stamp, status} = attempt;
    const run = index.runsOf(attempt).find(call => call.stamp === stamp);
    if (stamp === undefined || run === undefined) {
      return broken(requestId, `no upstream gave the stamp ${stamp}`);
    }
    if (run.status !== status) {
      return broken(requestId, `answered ${status} instead of ${run.status}`);
    }
    const isWhole = attempt.end.kind === 'answered';
    const body = `${run.upstream} did ${requestId}`;
    return isWhole && !isStream(attempt) && attempt.response !== body
      ? broken(requestId, `body is ${JSON.stringify(attempt.response)}`)
      : {kind: 'kept'};
  });
}

function isSuccess(status: number | undefined): boolean {
  return status !== undefined && status >= 200 && status < 300;
}

/** Events of streams are those of the request, in order, and all of them where the response is whole. */
function findDisorder(index: HistoryIndex): CheckResult {
  const streams = index.attempts.filter(
    attempt => isStream(attempt) && isSuccess(attempt.status),
  );
  return checkAll(streams, attempt => {
    const expected = eventsOf(attempt);
    const isSound =
      attempt.end.kind === 'answered'
        ? attempt.response === expected
        : expected.startsWith(attempt.response);
    return isSound
      ? {kind: 'kept'}
      : broken(attempt.requestId, describeDisorder(attempt, expected));
  });
}

/** The bytes that a stream consists of. */
export function eventsOf({requestId, firstEvent, lastEvent}: Attempt): string {
  let text = '';
  for (let event = firstEvent; event <= lastEvent; event++) {
    text += `id: ${event}\ndata: piece ${event} of ${requestId}\n\n`;
  }
  return text;
}

function describeDisorder({response}: Attempt, expected: string): string {
  let common = 0;
  while (common < response.length && response[common] === expected[common]) {
    common++;
  }
  const received = JSON.stringify(response.slice(common, common + 60));
  return `${response.length} of ${expected.length} bytes, differs from byte ${common}: ${received}`;
}

function findUnasked(index: HistoryIndex): CheckResult {
  const runs = index.history.calls.filter(({hasRun}) => hasRun);
  return checkAll(runs, call => {
    const attempt = index.attemptOf(call);
    if (attempt === undefined) {
      return broken(call.requestId, `${call.upstream} ran an unknown request`);
    }
    const isSame =
      call.method === attempt.method &&
      call.target === attempt.target &&
      call.body === attempt.body;
    return isSame
      ? {kind: 'kept'}
      : broken(call.requestId, `${call.upstream} ran a changed request`);
  });
}

function findBudget(index: HistoryIndex): CheckResult {
  const result = checkAll(index.attempts, attempt => {
    // A stream that is resumed at an upstream runs there again; the bound is on upstreams.
    const upstreams = new Set(
      index
        .runsOf(attempt)
        .filter(call => call.end !== 'brokeOff')
        .map(({upstream}) => upstream),
    );
    return upstreams.size > index.bounds.attempts
      ? broken(attempt.requestId, `ran on ${upstreams.size} upstreams`)
      : {kind: 'kept'};
  });
  return allowFew(result, FEW_REQUESTS);
}

/** Drops the violations if there are no more than the rule allows. */
function allowFew(result: CheckResult, allowed: number): CheckResult {
  return result.violations.length > allowed
    ? result
    : {
        ...result,
        violations: [],
        excused: result.excused + result.violations.length,
      };
}

function findDrain(index: HistoryIndex): CheckResult {
  const {departures, calls} = index.history;
  const late = departures.flatMap(({upstream, at}) =>
    calls
      .filter(call => call.upstream === upstream && call.arrivedAt > at)
      .map(call => ({call, at})),
  );
  return checkAll(late, ({call, at}) => {
    const delay = call.arrivedAt - at;
    const isLate = delay > index.bounds.drainMilliseconds;
    const attempt = index.attemptOf(call);
    if (!isLate || attempt === undefined || call.status === 421) {
      return {kind: 'kept'};
    }
    const isBound =
      index.isInTouch(attempt.instance, at) &&
      index.isInTouch(attempt.instance, call.arrivedAt);
    return isBound
      ? broken(call.requestId, `reached ${call.upstream} ${delay} ms later`)
      : {kind: 'excused'};
  });
}

function findGone(index: HistoryIndex): CheckResult {
  const left = index.attempts.filter(
    ({end, endedAt, instance}) =>
      end.kind === 'left' &&
      endedAt !== undefined &&
      index.isInTouch(instance, endedAt + GONE_MILLISECONDS),
  );
  return joinResults(judgeArrivals(index, left), findWorkLeft(index, left));
}

/** Requests that are sent on late also by an instance that was held. */
function findLateArrivals(index: HistoryIndex): CheckResult {
  const left = index.attempts.filter(({end}) => end.kind === 'left');
  return judgeArrivals(index, left);
}

function judgeArrivals(
  index: HistoryIndex,
  left: readonly Attempt[],
): CheckResult {
  const arrivals = checkAll(left, attempt => {
    const isLate = index
      .callsOf(attempt)
      .some(call => call.arrivedAt > endOf(attempt) + GONE_MILLISECONDS);
    return isLate
      ? broken(attempt.requestId, 'reached an upstream after its caller left')
      : {kind: 'kept'};
  });
  return allowFew(arrivals, FEW_REQUESTS);
}

/** Work that goes on after the caller has left, where that is too large a share. */
function findWorkLeft(
  index: HistoryIndex,
  left: readonly Attempt[],
): CheckResult {
  const lasting = left.filter(
    attempt =>
      attempt.kind === 'resumable' &&
      index.runsOf(attempt).length > 0 &&
      remainingMilliseconds(index, attempt) > GONE_MILLISECONDS,
  );
  const result = checkAll(lasting, attempt =>
    index.runsOf(attempt).some(call => isAtWork(call, attempt))
      ? broken(attempt.requestId, 'an upstream works on after the caller left')
      : {kind: 'kept'},
  );
  const share = result.violations.length / Math.max(1, lasting.length);
  const isJudged = lasting.length >= GONE_LEAST_REQUESTS && share > GONE_SHARE;
  return isJudged ? result : allowFew(result, Infinity);
}

function isAtWork(call: UpstreamCall, attempt: Attempt): boolean {
  return (call.endedAt ?? Infinity) > endOf(attempt) + GONE_MILLISECONDS;
}

/** How long a stream would have lasted after its caller left. */
function remainingMilliseconds(index: HistoryIndex, attempt: Attempt): number {
  const received = attempt.response.split('\n\n').length - 1;
  const rest = attempt.lastEvent - attempt.firstEvent + 1 - received;
  return rest * index.bounds.eventIntervalMilliseconds;
}

function endOf({endedAt}: Attempt): number {
  return endedAt ?? Infinity;
}

function joinResults(left: CheckResult, right: CheckResult): CheckResult {
  return {
    judged: left.judged + right.judged,
    excused: left.excused + right.excused,
    violations: [...left.violations, ...right.violations],
  };
}

/** A process ends only when it is told to, in time, and a stop ends with code 0. */
function findExits(index: HistoryIndex): CheckResult {
  const exits = index.history.processEvents.filter(
    event => event.kind === 'exit',
  );
  return checkAll(exits, exit => {
    const life = lifeBefore(index.eventsOf(exit.instance), exit.at);
    const subject = `${exit.instance} at ${Math.round(exit.at)}`;
    const problem = describeExit(life, exit.at, exit.code);
    return problem === undefined ? {kind: 'kept'} : broken(subject, problem);
  });
}

/** Events of a process from its start to a moment. */
function lifeBefore(
  events: readonly ProcessEvent[],
  moment: number,
): readonly ProcessEvent[] {
  const before = events.filter(({at}) => at <= moment);
  const start = before.findLastIndex(({kind}) => kind === 'start');
  return before.slice(Math.max(0, start));
}

function describeExit(
  life: readonly ProcessEvent[],
  endedAt: number,
  code: number | undefined,
): string | undefined {
  const signals = life.filter(event => event.kind === 'signal');
  const kill = signals.find(({signal}) => signal === 'SIGKILL');
  const stop = signals.find(({signal}) => signal === 'SIGTERM');
  if (kill !== undefined) {
    const wasFrozen = life.some(({kind}) => kind === 'freeze');
    return kill.isOverdue && !wasFrozen ? 'stop took too long' : undefined;
  }
  if (stop === undefined) {
    return `ended by itself with code ${code}`;
  }
  const start = life.find(({kind}) => kind === 'start');
  const age = endedAt - (start?.at ?? -Infinity);
  const isYoung = code === undefined && age < HANDLERS_READY_MILLISECONDS;
  return code === 0 || isYoung ? undefined : `stopped with code ${code}`;
}
