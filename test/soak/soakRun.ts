import {monitorEventLoopDelay} from 'node:perf_hooks';

import {SeededRandomSource} from '../../src/base/common/randomSource.js';
import {StandInSystem} from '../standins/fleet/system.js';
import {checks} from './checks.js';
import {FailureReport, writeFailure} from './failureReport.js';
import {FaultPlayer} from './faultPlayer.js';
import {Attempt, Bounds, History} from './history.js';
import {HistoryIndex} from './historyIndex.js';
import {Schedule} from './schedule.js';
import {soakConfiguration, Traffic} from './traffic.js';
import {CheckResult} from './verdict.js';

/** One run of a schedule on real router processes. */

const EVENT_INTERVAL_MILLISECONDS = 40;
const PLAIN_WORK_MILLISECONDS = 150;
const ADDRESS_COUNT = 150;

/** Bounds of the users' first installation. */
const CONTACT_MILLISECONDS = 3_000;
const CONFIGURATION_MILLISECONDS = 2_000;
const LOSS_SLACK_MILLISECONDS = 200;
const DRAIN_MILLISECONDS = 2_000;
const ATTEMPTS = 2;

/** Instances need one or two reads of the list of engines before they serve. */
const SETTLE_SECONDS = 3;

/** What a run gave. */
export interface RunResult {
  readonly schedule: Schedule;
  readonly results: ReadonlyArray<{
    readonly check: string;
    readonly result: CheckResult;
  }>;
  readonly played: Readonly<Record<string, number>>;
  /** Numbers of requests by how their last attempt ended. */
  readonly outcomes: Readonly<Record<string, number>>;
  readonly attemptCount: number;
  /** Longest time for which this process, which judges, stood still. */
  readonly longestStandMilliseconds: number;
  /** File that explains the failure; undefined if all rules were kept. */
  readonly failureFile: string | undefined;
}

/** Plays a schedule, judges it and writes a file about a failure into a directory. */
export async function runSoak(
  schedule: Schedule,
  directory: string,
): Promise<RunResult> {
  const configuration = soakConfiguration();
  const system = await StandInSystem.start(schedule.instanceCount, {
    stopSeconds: schedule.stopSeconds,
    eventIntervalMilliseconds: EVENT_INTERVAL_MILLISECONDS,
    addressCount: ADDRESS_COUNT,
    configuration,
  });
  try {
    return await playOn(system, schedule, configuration, directory);
  } finally {
    await system.stop();
  }
}

async function playOn(
  system: StandInSystem,
  schedule: Schedule,
  configuration: Readonly<Record<string, unknown>>,
  directory: string,
): Promise<RunResult> {
  system.engines.followsTokenCount = true;
  system.plainReplicas.forEach(replica => {
    replica.workMilliseconds = PLAIN_WORK_MILLISECONDS;
  });
  const random = new SeededRandomSource(schedule.seed + 1);
  await new Traffic(system, random, 'settle').send(SETTLE_SECONDS);
  const traffic = new Traffic(system, random, 'caller');
  const player = new FaultPlayer(system, schedule, configuration);
  const delay = monitorEventLoopDelay();
  delay.enable();
  const start = performance.now();
  await Promise.all([player.play(), traffic.send(schedule.seconds)]);
  await traffic.finish();
  player.end();
  delay.disable();
  const history: History = {
    bounds: boundsOf(schedule),
    attempts: traffic.attempts,
    calls: system.upstreamLog.calls.filter(
      ({requestId}) => !requestId.startsWith('settle'),
    ),
    processEvents: player.processEvents,
    impairments: player.impairments,
    departures: player.departures,
  };
  const index = new HistoryIndex(history);
  const results = checks.map(({name, judge}) => ({
    check: name,
    result: judge(index),
  }));
  const report: FailureReport = {schedule, start, index, results};
  return {
    schedule,
    results,
    played: Object.fromEntries(player.played),
    outcomes: countOutcomes(traffic.attempts),
    attemptCount: traffic.attempts.length,
    longestStandMilliseconds: Math.round(delay.max / 1e6),
    failureFile: writeFailure(report, system.instances, directory),
  };
}

function boundsOf({stopSeconds}: Schedule): Bounds {
  return {
    stopMilliseconds: stopSeconds * 1000,
    contactMilliseconds: CONTACT_MILLISECONDS,
    configurationMilliseconds: CONFIGURATION_MILLISECONDS,
    lossSlackMilliseconds: LOSS_SLACK_MILLISECONDS,
    drainMilliseconds: DRAIN_MILLISECONDS,
    attempts: ATTEMPTS,
    eventIntervalMilliseconds: EVENT_INTERVAL_MILLISECONDS,
  };
}

function countOutcomes(attempts: readonly Attempt[]): Record<string, number> {
  const last = new Map<string, Attempt>();
  attempts.forEach(attempt => last.set(attempt.requestName, attempt));
  const counts: Record<string, number> = {};
  for (const attempt of last.values()) {
    const outcome = describeOutcome(attempt);
    counts[outcome] = (counts[outcome] ?? 0) + 1;
  }
  return counts;
}

function describeOutcome({end, status}: Attempt): string {
  switch (end.kind) {
    case 'answered':
      return status === 200 ? 'served' : `answered ${status}`;
    case 'left':
      return `left: ${end.why}`;
    default:
      return end.kind;
  }
}
