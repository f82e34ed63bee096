import {describe, expect, it} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {Result, success} from '../../../base/common/result.js';
import {
  Logger,
  SilentLogger,
} from '../../../infrastructure/logging/common/logger.js';
import {Suspicions} from '../common/suspicions.js';
import {UpstreamDirectory} from '../common/upstreamDirectory.js';
import {UpstreamLister} from '../common/upstreamLister.js';
import {UpstreamListing, UpstreamSource} from '../common/upstreamSource.js';
import {makeUpstream} from './upstreams.js';

const AGE_LIMIT_MILLISECONDS = 1_000;

const one = makeUpstream({id: 'one', address: '10.0.0.1:1'});
const two = makeUpstream({id: 'two', address: '10.0.0.2:1'});
const again = makeUpstream({...two, id: 'two~2', name: 'two', startedAt: 2});
const unreadable = {name: 'two', field: 'State', detail: 'an unknown value'};

/** A list that a test writes. */
class WrittenSource extends UpstreamSource {
  listing: UpstreamListing = {upstreams: [], findings: []};

  override async list(): Promise<Result<UpstreamListing, string>> {
    return success(this.listing);
  }
}

/** Keeps the warnings. */
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

/** Reads the listings in turn, each long enough after the last that nothing is kept for an outage. */
async function read(listings: readonly UpstreamListing[]) {
  const clock = new FakeClock();
  const logger = new WarningLogger();
  const directory = new UpstreamDirectory(clock, logger);
  const source = new WrittenSource();
  const lister = new UpstreamLister(
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

describe('the list of upstreams', () => {
  it.each([
    {
      name: 'keeps one whose row can no longer be read, for what it runs only',
      listings: [
        {upstreams: [one, two], findings: []},
        {upstreams: [one], findings: [unreadable]},
      ],
      expected: [
        ['one', false],
        ['two', true],
      ],
    },
    {
      name: 'uses it again as soon as its row can be read',
      listings: [
        {upstreams: [one, two], findings: []},
        {upstreams: [one], findings: [unreadable]},
        {upstreams: [one, two], findings: []},
      ],
      expected: [
        ['one', false],
        ['two', false],
      ],
    },
    {
      name: 'lets it go when the row is gone',
      listings: [
        {upstreams: [one, two], findings: []},
        {upstreams: [one], findings: [unreadable]},
        {upstreams: [one], findings: []},
      ],
      expected: [['one', false]],
    },
    {
      name: 'knows nothing of a row that could never be read',
      listings: [{upstreams: [one], findings: [unreadable]}],
      expected: [['one', false]],
    },
    {
      name: 'has another upstream where one started again under its name',
      listings: [
        {upstreams: [one, two], findings: []},
        {upstreams: [one, again], findings: []},
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

  it('says once which field is at fault, however often it is read', async () => {
    const bad = {upstreams: [one], findings: [unreadable]};
    const {logger} = await read([bad, bad, bad]);
    expect(logger.warnings).toEqual([
      ['malformed upstream entries', {count: 1, findings: [unreadable]}],
    ]);
  });

  it('names a bounded number of malformed rows', async () => {
    const findings = Array.from({length: 500}, (_, index) => ({
      ...unreadable,
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

describe('what is known of an upstream', () => {
  it('does not count for its next run under the same name', async () => {
    const {clock} = await read([{upstreams: [one, two], findings: []}]);
    const suspicions = new Suspicions(clock, new SilentLogger());
    suspicions.suspect(two.id, 'silent', {});
    expect(suspicions.has(again.id)).toBe(false);
  });
});
