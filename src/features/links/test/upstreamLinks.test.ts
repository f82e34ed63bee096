import {describe, expect, it} from 'vitest';

import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {LinkTest, UpstreamLinks} from '../common/upstreamLinks.js';

const lostLink: LinkTest = {isDirect: false, isRelayed: true};
const lostUpstream: LinkTest = {isDirect: false, isRelayed: false};
const sound: LinkTest = {isDirect: true, isRelayed: undefined};

interface LinkCase {
  readonly name: string;
  /** Tests in their order, 100 ms apart. */
  readonly tests: ReadonlyArray<readonly [string, LinkTest]>;
  readonly relayed: readonly string[];
  readonly isCutOff: boolean;
}

const cases: readonly LinkCase[] = [
  {
    name: 'an upstream that only a peer reaches is relayed',
    tests: [['a', lostLink]],
    relayed: ['a'],
    isCutOff: false,
  },
  {
    name: 'an upstream that nobody reaches is lost, and not relayed',
    tests: [['a', lostUpstream]],
    relayed: [],
    isCutOff: false,
  },
  {
    name: 'a relayed upstream stays relayed after one direct connection',
    tests: [
      ['a', lostLink],
      ['a', sound],
    ],
    relayed: ['a'],
    isCutOff: false,
  },
  {
    name: 'a relayed upstream is reached directly after two direct connections in a row',
    tests: [
      ['a', lostLink],
      ['a', sound],
      ['a', sound],
    ],
    relayed: [],
    isCutOff: false,
  },
  {
    name: 'a relayed upstream stays relayed while direct connections fail in between',
    tests: [
      ['a', lostLink],
      ['a', sound],
      ['a', lostLink],
      ['a', sound],
    ],
    relayed: ['a'],
    isCutOff: false,
  },
  {
    name: 'an instance that reached three upstreams only through peers is cut off from all',
    tests: [
      ['a', lostLink],
      ['b', lostLink],
      ['c', lostLink],
    ],
    relayed: ['a', 'b', 'c', 'd', 'other'],
    isCutOff: true,
  },
  {
    name: 'an instance that connects to one upstream is not cut off from all',
    tests: [
      ['a', lostLink],
      ['b', lostLink],
      ['c', lostLink],
      ['d', sound],
    ],
    relayed: ['a', 'b', 'c'],
    isCutOff: false,
  },
];

function play(tests: LinkCase['tests']) {
  const clock = new FakeClock();
  const links = new UpstreamLinks(clock, new SilentLogger());
  for (const [address, test] of tests) {
    clock.advance(100);
    links.recordTest(address, test);
  }
  return {clock, links};
}

describe('the links to upstreams', () => {
  it.each(cases)('$name', ({tests, relayed, isCutOff}) => {
    const {links} = play(tests);
    const addresses = ['a', 'b', 'c', 'd', 'other'];
    expect(addresses.filter(address => links.isRelayed(address))).toEqual(
      relayed,
    );
    expect(links.isCutOff).toBe(isCutOff);
  });

  it('may have open connections through peers for some time after they are direct again', () => {
    const {clock, links} = play([
      ['a', lostLink],
      ['a', sound],
      ['a', sound],
    ]);
    expect(links.wasRelayed('a')).toBe(true);
    clock.advance(30_000);
    expect(links.wasRelayed('a')).toBe(false);
    expect(links.wasRelayed('b')).toBe(false);
  });

  it('to addresses that are no longer listed are forgotten', () => {
    const {links} = play([['a', lostLink]]);
    links.retain(address => address !== 'a');
    expect(links.isRelayed('a')).toBe(false);
  });
});
