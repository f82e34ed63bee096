import {afterAll, beforeAll, beforeEach, expect, it} from 'vitest';

import {FaultTestFixture} from '../prove/faultTestFixture.js';
import {RecordedResponse, Work} from '../prove/observations.js';

/** Resubmissions while instances or the store fail; the checks compare all responses with the ledgers. */

const LONG_REPLY_TOKENS = 120;
const DEADLINE_MILLISECONDS = 30_000;

/** Longer than any confirmation of an instance's standing is valid. */
const LONG_PAUSE_MILLISECONDS = 12_500;

type KeyKind = 'plain' | 'bound';

let fixture: FaultTestFixture;

beforeAll(async () => {
  fixture = await FaultTestFixture.launch({}, DEADLINE_MILLISECONDS);
});

afterAll(() => fixture?.dispose());

beforeEach(async () => {
  fixture.startCase();
  const {system} = fixture;
  await system.platform.setFault({fault: {kind: 'clear'}});
  for (const {entry} of system.instances) {
    if (!entry.isRunning) {
      await entry.restart();
    }
  }
  await system.waitUntilReady();
});

async function createKey(kind: KeyKind, work: Work): Promise<string> {
  return kind === 'plain'
    ? `plain-${work.businessKey}`
    : fixture.boundKey(fixture.instance(0), work);
}

function executedOf(
  responses: readonly RecordedResponse[],
): readonly unknown[] {
  return responses.map(({executed}) => executed);
}

it.each<KeyKind>(['plain', 'bound'])(
  'when an entry instance is killed during a reply, other instances do not run its %s key again',
  async kind => {
    const [first, second, third] = fixture.system.instances;
    const work = fixture.newWork(LONG_REPLY_TOKENS);
    const key = await createKey(kind, work);
    const firstResponse = fixture.submit(first!, work, key);
    await fixture.awaitBegun(work);
    await first!.entry.kill();
    expect((await firstResponse).end).toBe('cut');
    const laterResponses = await Promise.all([
      fixture.lookUp(second!, work, key),
      fixture.submit(second!, work, key),
      fixture.submit(third!, work, key),
    ]);
    expect(laterResponses.map(({end}) => end)).not.toContain('whole');
    expect(executedOf(laterResponses)).not.toContain('no');
    expect(fixture.violations()).toEqual([]);
    expect(fixture.runCountOf(work)).toBe(1);
  },
);

it.each<KeyKind>(['plain', 'bound'])(
  'a stopping instance reports `executed: unknown` for a %s key that ran at a killed instance',
  async kind => {
    const [first, second] = fixture.system.instances;
    const otherWork = fixture.newWork(LONG_REPLY_TOKENS);
    const work = fixture.newWork(LONG_REPLY_TOKENS);
    const key = await createKey(kind, work);
    const firstResponse = fixture.submit(first!, work, key);
    const otherResponse = fixture.submit(
      second!,
      otherWork,
      `held-${otherWork.businessKey}`,
    );
    await fixture.awaitBegun(work);
    await fixture.awaitBegun(otherWork);
    await first!.entry.kill();
    const exitCode = second!.entry.terminate();
    await fixture.system.waitUntil('the instance refuses', async () => {
      return !(await second!.isReady());
    });
    const refused = await fixture.submit(second!, work, key);
    expect(refused.errorKind).toBe('shuttingDown');
    expect(refused.executed).toBe('unknown');
    await firstResponse;
    expect((await otherResponse).end).toBe('whole');
    expect(await exitCode).toBe(0);
    expect(fixture.violations()).toEqual([]);
  },
);

it('a stopping instance refuses its own unused key with `executed: no` and other addresses', async () => {
  const [first] = fixture.system.instances;
  const otherWork = fixture.newWork(LONG_REPLY_TOKENS);
  const work = fixture.newWork(8);
  const key = await createKey('bound', work);
  const otherResponse = fixture.submit(
    first!,
    otherWork,
    `held-${otherWork.businessKey}`,
  );
  await fixture.awaitBegun(otherWork);
  const exitCode = first!.entry.terminate();
  await fixture.system.waitUntil('the instance refuses', async () => {
    return !(await first!.isReady());
  });
  const refused = await fixture.submit(first!, work, key);
  expect(refused).toMatchObject({errorKind: 'shuttingDown', executed: 'no'});
  expect(refused.addresses).not.toEqual([]);
  expect((await otherResponse).end).toBe('whole');
  expect(await exitCode).toBe(0);
  expect(fixture.violations()).toEqual([]);
});

it.each<KeyKind>(['plain', 'bound'])(
  'a resubmission of a %s key to a second instance does not run again while the store is down',
  async kind => {
    const [first, second] = fixture.system.instances;
    const work = fixture.newWork(LONG_REPLY_TOKENS);
    const key = await createKey(kind, work);
    const firstResponse = fixture.submit(first!, work, key);
    await fixture.awaitBegun(work);
    await fixture.system.platform.setFault({
      fault: {kind: 'down'},
      part: 'table',
    });
    const resubmitted = await Promise.all([
      fixture.submit(second!, work, key),
      fixture.lookUp(second!, work, key),
    ]);
    expect(executedOf(resubmitted)).not.toContain('no');
    expect((await firstResponse).end).toBe('whole');
    const lookedUp = await fixture.lookUp(second!, work, key);
    expect(lookedUp.executed).not.toBe('no');
    expect(fixture.violations()).toEqual([]);
    expect(fixture.runCountOf(work)).toBe(1);
  },
);

it('an instance that resumes after a long pause does not run work again that ran elsewhere', async () => {
  const [first, second] = fixture.system.instances;
  const running = fixture.newWork(LONG_REPLY_TOKENS);
  const plain = fixture.newWork(8);
  const bound = fixture.newWork(8);
  const call = fixture.newWork(8, 'service');
  const boundKey = await createKey('bound', bound);
  const runningKey = await createKey('bound', running);
  const streaming = fixture.submit(first!, running, runningKey);
  await fixture.awaitBegun(running);
  first!.entry.freeze();
  const pausedUntil = Date.now() + LONG_PAUSE_MILLISECONDS;
  // These requests wait in the socket buffers of the paused process.
  const waiting = [
    fixture.submit(first!, plain, 'plain-while-paused'),
    fixture.submit(first!, call, 'call-while-paused'),
    fixture.submit(first!, bound, boundKey),
  ];
  const responsesElsewhere = await Promise.all([
    fixture.submit(second!, plain, 'plain-while-paused'),
    fixture.submit(second!, call, 'call-while-paused'),
    fixture.submit(second!, bound, boundKey),
    fixture.submit(second!, running, runningKey),
  ]);
  await fixture.system.waitUntil('the pause is over', async () => {
    return Date.now() > pausedUntil;
  });
  first!.entry.resume();
  await Promise.all([streaming, ...waiting]);
  expect(responsesElsewhere.map(({end}) => end)).toEqual([
    'whole',
    'whole',
    'failure',
    'failure',
  ]);
  expect(executedOf(responsesElsewhere)).not.toContain('no');
  expect(fixture.violations()).toEqual([]);
  expect(fixture.runCountOf(plain)).toBe(1);
  expect(fixture.runCountOf(call)).toBe(1);
  expect(fixture.runCountOf(running)).toBe(1);
});

it('work sent to all instances concurrently runs at most once when responses to its claim are lost', async () => {
  const {system} = fixture;
  const workItems = Array.from({length: 6}, (_, index) =>
    fixture.newWork(8, index % 2 === 0 ? 'model' : 'service'),
  );
  await system.platform.setFault({
    fault: {kind: 'answerLost'},
    part: 'table',
    access: 'write',
    times: 5,
  });
  await Promise.all(
    workItems.flatMap(work =>
      system.instances.map(instance =>
        fixture.submit(instance, work, `at-once-${work.businessKey}`),
      ),
    ),
  );
  expect(fixture.violations()).toEqual([]);
  const resubmitted = await Promise.all(
    workItems.map(work =>
      fixture.submit(fixture.instance(0), work, `at-once-${work.businessKey}`),
    ),
  );
  expect(resubmitted.map(({end}) => end)).not.toContain('cut');
  expect(fixture.violations()).toEqual([]);
});
