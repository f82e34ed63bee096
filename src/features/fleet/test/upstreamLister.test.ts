import {describe, expect, it} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {Result, success} from '../../../base/common/result.js';
import {
  Logger,
  SilentLogger,
} from '../../../infrastructure/logging/common/logger.js';
import {SuspicionTracker} from '../common/suspicionTracker.js';
import {UpstreamDirectory} from '../common/upstreamDirectory.js';
import {UpstreamListRefresher} from '../common/upstreamListRefresher.js';
import {UpstreamListing, UpstreamSource} from '../common/upstreamSource.js';
import {makeUpstream} from './upstreams.js';

const AGE_LIMIT_MILLISECONDS = 1_000;

const one = makeUpstream({id: 'one', address: '10.0.0.1:1'});
const two = makeUpstream({id: 'two', address: '10.0.0.2:1'});
const nextRun = makeUpstream({...two, id: 'two~2', name: 'two', startedAt: 2});
const malformedEntry = {
  name: 'two',
  field: 'State',
  detail: 'an unknown value',
};

/** A source whose list the test sets. */
class FakeUpstreamSource extends UpstreamSource {
  listing: UpstreamListing = {upstreams: [], findings: []};

  override async list(): Promise<Result<UpstreamListing, string>> {
    return success(this.listing);
  }
}

/** Records warnings. */
class WarningLogger extends Logger {
  readonly warnings: unknown[] = [];

  override warn(...parts: Parameters<Logger['warn']>): void {
    this.warnings.push(parts);
  }

  override info(): void {}
  override error(): void {}
  override decision(): void {}

  override child(): Logger {
    return this;
  }
}

/** Reads the listings in turn, after long enough intervals that no upstream is retained because of an outage. */
async function read(listings: readonly UpstreamListing[]) {
  const clock = new FakeClock();
  const logger = new WarningLogger();
  const directory = new UpstreamDirectory(clock, logger);
  const source = new FakeUpstreamSource();
  const lister = new UpstreamListRefresher(
    clock,
    new SeededRandomSource(1),
    logger,
    source,
    directory,
    () => AGE_LIMIT_MILLISECONDS,
  );
  source.listing = listings[0]!;
  lister.start();
  await clock.advanceAsync(4 * AGE_LIMIT_MILLISECONDS);
  for (const listing of listings.slice(1)) {
    source.listing = listing;
    await clock.advanceAsync(2 * AGE_LIMIT_MILLISECONDS);
  }
  lister.dispose();
  return {directory, logger, clock};
}

describe('the upstream lister', () => {
  it.each([
    {
      name: 'keeps an upstream whose row becomes malformed, but as leaving',
      listings: [
        {upstreams: [one, two], findings: []},
        {upstreams: [one], findings: [malformedEntry]},
      ],
      expected: [
        ['one', false],
        ['two', true],
      ],
    },
    {
      name: 'uses an upstream again as soon as its row is valid',
      listings: [
        {upstreams: [one, two], findings: []},
        {upstreams: [one], findings: [malformedEntry]},
        {upstreams: [one, two], findings: []},
      ],
      expected: [
        ['one', false],
        ['two', false],
      ],
    },
    {
      name: 'removes an upstream with a malformed row when the row is gone',
      listings: [
        {upstreams: [one, two], findings: []},
        {upstreams: [one], findings: [malformedEntry]},
        {upstreams: [one], findings: []},
      ],
      expected: [['one', false]],
    },
    {
      name: 'ignores a row that was never valid',
      listings: [{upstreams: [one], findings: [malformedEntry]}],
      expected: [['one', false]],
    },
    {
      name: 'lists a restarted upstream under a new identifier',
      listings: [
        {upstreams: [one, two], findings: []},
        {upstreams: [one, nextRun], findings: []},
      ],
      expected: [
        ['one', false],
        ['two~2', false],
      ],
    },
  ])('$name', async ({listings, expected}) => {
    const {directory} = await read(listings);
    const found = directory.ofService('s').map(u => [u.id, u.isLeaving]);
    expect(found).toEqual(expected);
  });

  it('logs an invalid field once, however often it is read', async () => {
    const bad = {upstreams: [one], findings: [malformedEntry]};
    const {logger} = await read([bad, bad, bad]);
    expect(logger.warnings).toEqual([
      ['malformed upstream entries', {count: 1, findings: [malformedEntry]}],
    ]);
  });

  it('logs a bounded number of malformed rows', async () => {
    const findings = Array.from({length: 500}, (_, index) => ({
      ...malformedEntry,
      name: `x-${index}`,
    }));
    const {logger} = await read([{upstreams: [one], findings}]);
    expect(logger.warnings).toEqual([
      [
        'malformed upstream entries',
        {count: 500, findings: findings.slice(0, 8)},
      ],
    ]);
  });
});

describe('the state kept for an upstream', () => {
  it('does not apply to its next run under the same name', async () => {
    const {clock} = await read([{upstreams: [one, two], findings: []}]);
    const suspicions = new SuspicionTracker(clock, new SilentLogger());
    suspicions.suspect(two.id, 'silent', {});
    expect(suspicions.isSuspect(nextRun.id)).toBe(false);
  });
});
