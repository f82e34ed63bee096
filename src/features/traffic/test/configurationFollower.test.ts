import {expect, it} from 'vitest';

import {CancellationToken} from '../../../base/common/cancellation.js';
import {Emitter} from '../../../base/common/event.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {ConfigurationFollower} from '../common/configurationFollower.js';
import {ActiveConfiguration} from '../common/activeConfiguration.js';
import {
  ConfigurationUpdate,
  ConfigurationSource,
  ConfigurationSourceError,
} from '../common/configurationSource.js';
import {makeConfiguration} from './trafficConfigurations.js';

type ReadResult = Result<ConfigurationUpdate, ConfigurationSourceError>;

/** Returns scripted results in order; calls after the last one resolve only when they are cancelled. */
class ScriptedSource extends ConfigurationSource {
  readonly calls: string[] = [];
  readonly waits: number[] = [];
  readonly recovered = new Emitter<void>();
  override readonly onDidRecover = this.recovered.event;

  constructor(readonly results: ReadResult[]) {
    super();
  }

  override read(token: CancellationToken): Promise<ReadResult> {
    this.calls.push('read');
    return this.next(token);
  }

  override awaitChange(
    position: number,
    waitMilliseconds: number,
    token: CancellationToken,
  ): Promise<ReadResult> {
    this.calls.push(`await ${position}`);
    this.waits.push(waitMilliseconds);
    return this.next(token);
  }

  private next(token: CancellationToken): Promise<ReadResult> {
    const result = this.results.shift();
    return result === undefined
      ? new Promise(resolve => token.onDidCancel(() => resolve(unavailable)))
      : Promise.resolve(result);
  }
}

const changedAt = (version: number, position: number): ReadResult =>
  success({configuration: makeConfiguration({version}), position});
const unchangedAt = (position: number): ReadResult =>
  success({configuration: undefined, position});
const inapplicableAt = (position: number): ReadResult =>
  success({
    configuration: makeConfiguration({version: 9, routes: [null as never]}),
    position,
  });
const unavailable: ReadResult = failure({kind: 'unavailable', detail: 'away'});

const cases: ReadonlyArray<{
  name: string;
  results: ReadResult[];
  calls: string[];
  version: number;
}> = [
  {
    name: 'waits for changes from the position of its read',
    results: [changedAt(1, 10), unchangedAt(11), changedAt(2, 12)],
    calls: ['read', 'await 10', 'await 11', 'await 12'],
    version: 2,
  },
  {
    name: 'waits for the first configuration, and does not read again and again',
    results: [unchangedAt(10), unchangedAt(11), changedAt(1, 12)],
    calls: ['read', 'await 10', 'await 11', 'await 12'],
    version: 1,
  },
  {
    name: 'resumes from its position after an outage',
    results: [changedAt(1, 10), unavailable, unavailable, changedAt(3, 15)],
    calls: ['read', 'await 10', 'await 10', 'await 10', 'await 15'],
    version: 3,
  },
  {
    name: 'reads the configuration anew when the feed has lost its history',
    results: [
      changedAt(1, 10),
      failure({kind: 'historyLost'}),
      changedAt(4, 40),
    ],
    calls: ['read', 'await 10', 'read', 'await 40'],
    version: 4,
  },
  {
    name: 'keeps the last valid configuration when a newer one is malformed',
    results: [
      changedAt(1, 10),
      failure({kind: 'malformed', detail: '$.Routes.0.Host'}),
      changedAt(1, 11),
    ],
    calls: ['read', 'await 10', 'read', 'await 11'],
    version: 1,
  },
  {
    name: 'goes on after a configuration that cannot be applied',
    results: [changedAt(1, 10), inapplicableAt(11), changedAt(2, 12)],
    calls: ['read', 'await 10', 'read', 'await 12'],
    version: 2,
  },
  {
    name: 'ignores an older version',
    results: [changedAt(5, 10), changedAt(4, 11)],
    calls: ['read', 'await 10', 'await 11'],
    version: 5,
  },
];

function follow(results: readonly ReadResult[]) {
  const clock = new FakeClock();
  const logger = new SilentLogger();
  const activeConfiguration = new ActiveConfiguration(clock, logger, 4000);
  const source = new ScriptedSource([...results]);
  const follower = new ConfigurationFollower(
    clock,
    logger,
    source,
    activeConfiguration,
    source.onDidRecover,
  );
  void follower.run();
  return {clock, activeConfiguration, source, follower};
}

it('reads the newest version alone after an outage in which its confirmation ran out', async () => {
  const outage = Array<ReadResult>(14).fill(unavailable);
  const {clock, source, follower} = follow([changedAt(1, 10), ...outage]);
  await clock.advanceAsync(3_900);
  expect(source.calls.slice(1)).not.toContain('read');
  await clock.advanceAsync(1_000);
  expect(source.calls.at(-1)).toBe('read');
  follower.dispose();
});

it.each(cases)('$name', async ({results, calls, version}) => {
  const {clock, activeConfiguration, source, follower} = follow(results);
  await clock.advanceAsync(5000);
  follower.dispose();
  expect(source.calls).toEqual(calls);
  expect(activeConfiguration.table?.configuration.version).toBe(version);
});

const DEAD_CONNECTION: readonly ReadResult[] = [];
const FAILURES = Array<ReadResult>(20).fill(unavailable);

it.each([
  {during: 'a short wait', results: DEAD_CONNECTION, isConfirmed: true},
  {during: 'a pause after failures', results: FAILURES, isConfirmed: true},
  {during: 'a long wait', results: DEAD_CONNECTION, isConfirmed: false},
  {during: 'a late pause', results: FAILURES, isConfirmed: false},
])(
  'the configuration is confirmed at once when the store answers another call during $during',
  async ({results, isConfirmed}) => {
    const {clock, activeConfiguration, source, follower} = follow([
      changedAt(1, 10),
      ...results,
    ]);
    await clock.advanceAsync(isConfirmed ? 3_000 : 5_050);
    const before = source.calls.length;
    expect(activeConfiguration.isConfirmed).toBe(isConfirmed);
    source.results.splice(0, Infinity, unchangedAt(10));
    source.recovered.fire();
    source.recovered.fire();
    await clock.advanceAsync(20);
    expect(activeConfiguration.age).toBeLessThan(50);
    // One call that returns at once, and the next long poll.
    const first = isConfirmed ? 'await 10' : 'read';
    expect(source.calls.slice(before)).toEqual([first, 'await 10']);
    if (isConfirmed) {
      expect(source.waits.at(-2)).toBe(0);
    }
    expect(source.waits.at(-1)).toBeGreaterThan(1_000);
    follower.dispose();
  },
);
