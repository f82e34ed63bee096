import {afterAll, beforeAll, beforeEach, expect, it} from 'vitest';

import {Answer, Work} from '../prove/observations.js';
import {ProofBench} from '../prove/proofBench.js';

/** Resubmissions while instances, stages or the store fail; the ledgers decide. */

const LONG_REPLY = 120;
const DEADLINE_MILLISECONDS = 30_000;

/** Longer than any confirmation of an instance's standing lasts. */
const LONG_PAUSE_MILLISECONDS = 12_500;

type KeyKind = 'plain' | 'bound';

let bench: ProofBench;

beforeAll(async () => {
  bench = await ProofBench.launch({}, DEADLINE_MILLISECONDS);
});

afterAll(() => bench?.dispose());

beforeEach(async () => {
  bench.startCase();
  const {system} = bench;
  await system.platform.setFault({fault: {kind: 'clear'}});
  for (const {entry} of system.instances) {
    if (!entry.isRunning) {
      await entry.restart();
    }
  }
  await system.awaitReady();
});

async function keyOf(kind: KeyKind, work: Work): Promise<string> {
  return kind === 'plain'
    ? `plain-${work.businessKey}`
    : bench.boundKey(bench.instance(0), work);
}

function statements(answers: readonly Answer[]): readonly unknown[] {
  return answers.map(({executed}) => executed);
}

it.each<KeyKind>(['plain', 'bound'])(
  'an entry instance is killed mid-reply: others tell what became of a %s key and run nothing again',
  async kind => {
    const [first, second, third] = bench.system.instances;
    const work = bench.newWork(LONG_REPLY);
    const key = await keyOf(kind, work);
    const cut = bench.submit(first!, work, key);
    await bench.untilBegun(work);
    await first!.entry.kill();
    expect((await cut).end).toBe('cut');
    const later = await Promise.all([
      bench.lookUp(second!, work, key),
      bench.submit(second!, work, key),
      bench.submit(third!, work, key),
    ]);
    expect(later.map(({end}) => end)).not.toContain('whole');
    expect(statements(later)).not.toContain('no');
    expect(bench.violations()).toEqual([]);
    expect(bench.runsOf(work)).toBe(1);
  },
);

it.each<KeyKind>(['plain', 'bound'])(
  'an instance that stops says nothing untrue of a %s key that runs at a killed one',
  async kind => {
    const [first, second] = bench.system.instances;
    const held = bench.newWork(LONG_REPLY);
    const work = bench.newWork(LONG_REPLY);
    const key = await keyOf(kind, work);
    const cut = bench.submit(first!, work, key);
    const holding = bench.submit(second!, held, `held-${held.businessKey}`);
    await bench.untilBegun(work);
    await bench.untilBegun(held);
    await first!.entry.kill();
    const stopped = second!.entry.terminate();
    await bench.system.until('the instance refuses', async () => {
      return !(await second!.isReady());
    });
    const refused = await bench.submit(second!, work, key);
    expect(refused.errorKind).toBe('shuttingDown');
    expect(refused.executed).toBe('unknown');
    await cut;
    expect((await holding).end).toBe('whole');
    expect(await stopped).toBe(0);
    expect(bench.violations()).toEqual([]);
  },
);

it('a key that a stopping instance has surely not run may be sent again under another', async () => {
  const [first] = bench.system.instances;
  const held = bench.newWork(LONG_REPLY);
  const work = bench.newWork(8);
  const key = await keyOf('bound', work);
  const holding = bench.submit(first!, held, `held-${held.businessKey}`);
  await bench.untilBegun(held);
  const stopped = first!.entry.terminate();
  await bench.system.until('the instance refuses', async () => {
    return !(await first!.isReady());
  });
  const refused = await bench.submit(first!, work, key);
  expect(refused).toMatchObject({errorKind: 'shuttingDown', executed: 'no'});
  expect(refused.addresses).not.toEqual([]);
  expect((await holding).end).toBe('whole');
  expect(await stopped).toBe(0);
  expect(bench.violations()).toEqual([]);
});

it.each<KeyKind>(['plain', 'bound'])(
  'a resubmission of a %s key at a second instance while the store is down',
  async kind => {
    const [first, second] = bench.system.instances;
    const work = bench.newWork(LONG_REPLY);
    const key = await keyOf(kind, work);
    const whole = bench.submit(first!, work, key);
    await bench.untilBegun(work);
    await bench.system.platform.setFault({
      fault: {kind: 'down'},
      part: 'table',
    });
    const again = await Promise.all([
      bench.submit(second!, work, key),
      bench.lookUp(second!, work, key),
    ]);
    expect(statements(again)).not.toContain('no');
    expect((await whole).end).toBe('whole');
    const ended = await bench.lookUp(second!, work, key);
    expect(ended.executed).not.toBe('no');
    expect(bench.violations()).toEqual([]);
    expect(bench.runsOf(work)).toBe(1);
  },
);

it('an instance wakes after a long pause: what went on elsewhere meanwhile is not run again', async () => {
  const [first, second] = bench.system.instances;
  const running = bench.newWork(LONG_REPLY);
  const plain = bench.newWork(8);
  const bound = bench.newWork(8);
  const call = bench.newWork(8, 'service');
  const boundKey = await keyOf('bound', bound);
  const runningKey = await keyOf('bound', running);
  const streaming = bench.submit(first!, running, runningKey);
  await bench.untilBegun(running);
  first!.entry.freeze();
  const pausedUntil = Date.now() + LONG_PAUSE_MILLISECONDS;
  // These wait in the paused process's sockets.
  const waiting = [
    bench.submit(first!, plain, 'plain-while-paused'),
    bench.submit(first!, call, 'call-while-paused'),
    bench.submit(first!, bound, boundKey),
  ];
  const elsewhere = await Promise.all([
    bench.submit(second!, plain, 'plain-while-paused'),
    bench.submit(second!, call, 'call-while-paused'),
    bench.submit(second!, bound, boundKey),
    bench.submit(second!, running, runningKey),
  ]);
  await bench.system.until('the pause is over', async () => {
    return Date.now() > pausedUntil;
  });
  first!.entry.resume();
  await Promise.all([streaming, ...waiting]);
  expect(elsewhere.map(({end}) => end)).toEqual([
    'whole',
    'whole',
    'failure',
    'failure',
  ]);
  expect(statements(elsewhere)).not.toContain('no');
  expect(bench.violations()).toEqual([]);
  expect(bench.runsOf(plain)).toBe(1);
  expect(bench.runsOf(call)).toBe(1);
  expect(bench.runsOf(running)).toBe(1);
});

it('a claim whose answer is lost, sent to all instances at once, runs at most once', async () => {
  const {system} = bench;
  const works = Array.from({length: 6}, (_, index) =>
    bench.newWork(8, index % 2 === 0 ? 'model' : 'service'),
  );
  await system.platform.setFault({
    fault: {kind: 'answerLost'},
    part: 'table',
    access: 'write',
    times: 5,
  });
  await Promise.all(
    works.flatMap(work =>
      system.instances.map(instance =>
        bench.submit(instance, work, `at-once-${work.businessKey}`),
      ),
    ),
  );
  expect(bench.violations()).toEqual([]);
  const again = await Promise.all(
    works.map(work =>
      bench.submit(bench.instance(0), work, `at-once-${work.businessKey}`),
    ),
  );
  expect(again.map(({end}) => end)).not.toContain('cut');
  expect(bench.violations()).toEqual([]);
});
