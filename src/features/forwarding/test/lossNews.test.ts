import {describe, expect, it} from 'vitest';

import {FakeCaller} from './fakeCaller.js';
import {ForwardingHarness} from './forwardingHarness.js';
import {createHarness} from './forwardingSetup.js';

/** Which losses of upstreams under a request all peers are told of at once. */

interface NewsCase {
  readonly name: string;
  readonly target: string;
  readonly play: (
    harness: ForwardingHarness,
    caller: FakeCaller,
  ) => Promise<void>;
  /** Reports, each of which is a call to one peer. */
  readonly reports: number;
  /** Announcements, each of which is a call to every peer. */
  readonly announcements: number;
}

/** Ends the upstream of the last attempt. */
async function loseUpstream(harness: ForwardingHarness): Promise<void> {
  const {last} = harness.connector;
  harness.control.unreachableIds.add(last.upstream.id);
  last.head();
  last.fail(true);
  await harness.flushPromises();
}

async function answer(harness: ForwardingHarness): Promise<void> {
  const {last} = harness.connector;
  last.head();
  last.sendEvents(1, 3);
  last.end();
  await harness.flushPromises();
}

const cases: readonly NewsCase[] = [
  {
    name: 'has lost one and was then answered whole',
    target: '/stream/',
    play: async harness => {
      await loseUpstream(harness);
      await answer(harness);
    },
    reports: 1,
    announcements: 0,
  },
  {
    name: 'has lost one and goes on',
    target: '/stream/',
    play: loseUpstream,
    reports: 1,
    announcements: 0,
  },
  {
    name: 'has lost one and fails',
    target: '/once/',
    play: loseUpstream,
    reports: 1,
    announcements: 0,
  },
  {
    name: 'has lost one and whose caller has left',
    target: '/stream/',
    play: async (harness, caller) => {
      await loseUpstream(harness);
      caller.leave();
      await harness.flushPromises();
    },
    reports: 1,
    announcements: 0,
  },
  {
    name: 'has lost two and goes on',
    target: '/stream/',
    play: async harness => {
      await loseUpstream(harness);
      await loseUpstream(harness);
    },
    reports: 1,
    announcements: 1,
  },
];

describe('peers of an instance', () => {
  // Guards against n calls for each of the n times as many losses at n instances.
  it.each(cases)(
    'are called as seldom as is safe for a request that $name',
    async ({target, play, reports, announcements}) => {
      const harness = createHarness();
      const caller = await harness.send(target);
      await play(harness, caller);
      const {announcedKeys, reportedKeys} = harness.lossAnnouncer;
      expect(reportedKeys).toHaveLength(reports);
      expect(announcedKeys).toHaveLength(announcements);
    },
  );
});
