import {expect, it} from 'vitest';

import {failure, Result, success} from '../../../base/common/result.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {ConfigurationFollower} from '../common/configurationFollower.js';
import {ConfigurationKeeper} from '../common/configurationKeeper.js';
import {
  ConfigurationReading,
  ConfigurationSource,
  SourceError,
} from '../common/configurationSource.js';
import {makeConfiguration} from './trafficConfigurations.js';

type Answer = Result<ConfigurationReading, SourceError>;

/** Answers calls from a list and then never again. */
class ListedSource extends ConfigurationSource {
  readonly calls: string[] = [];

  constructor(private readonly answers: Answer[]) {
    super();
  }

  override read(): Promise<Answer> {
    this.calls.push('read');
    return this.next();
  }

  override awaitChange(position: number): Promise<Answer> {
    this.calls.push(`await ${position}`);
    return this.next();
  }

  private next(): Promise<Answer> {
    const answer = this.answers.shift();
    return answer === undefined
      ? new Promise(() => undefined)
      : Promise.resolve(answer);
  }
}

const changed = (version: number, position: number): Answer =>
  success({configuration: makeConfiguration({version}), position});
const unchanged = (position: number): Answer =>
  success({configuration: undefined, position});
const away: Answer = failure({kind: 'unavailable', detail: 'away'});

const cases: ReadonlyArray<{
  name: string;
  answers: Answer[];
  calls: string[];
  version: number;
}> = [
  {
    name: 'follows from where it read',
    answers: [changed(1, 10), unchanged(11), changed(2, 12)],
    calls: ['read', 'await 10', 'await 11', 'await 12'],
    version: 2,
  },
  {
    name: 'goes on from its place after an outage',
    answers: [changed(1, 10), away, away, changed(3, 15)],
    calls: ['read', 'await 10', 'await 10', 'await 10', 'await 15'],
    version: 3,
  },
  {
    name: 'reads all anew when the history is lost',
    answers: [changed(1, 10), failure({kind: 'historyLost'}), changed(4, 40)],
    calls: ['read', 'await 10', 'read', 'await 40'],
    version: 4,
  },
  {
    name: 'keeps the last good configuration when one is malformed',
    answers: [
      changed(1, 10),
      failure({kind: 'malformed', detail: '$.Routes.0.Host'}),
      changed(1, 11),
    ],
    calls: ['read', 'await 10', 'read', 'await 11'],
    version: 1,
  },
  {
    name: 'never goes back',
    answers: [changed(5, 10), changed(4, 11)],
    calls: ['read', 'await 10', 'await 11'],
    version: 5,
  },
];

it.each(cases)('$name', async ({answers, calls, version}) => {
  const clock = new FakeClock();
  const logger = new SilentLogger();
  const keeper = new ConfigurationKeeper(clock, logger, 4000);
  const source = new ListedSource([...answers]);
  const follower = new ConfigurationFollower(clock, logger, source, keeper);
  void follower.run();
  await clock.advanceAsync(5000);
  follower.dispose();
  expect(source.calls).toEqual(calls);
  expect(keeper.table?.configuration.version).toBe(version);
});
