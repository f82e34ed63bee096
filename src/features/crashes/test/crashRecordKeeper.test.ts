import {expect, it, onTestFinished} from 'vitest';

import {
  FakeClock,
  runPendingCallbacks,
} from '../../../../test/support/fakeClock.js';
import {InMemoryPlatform} from '../../../../test/support/inMemoryPlatform.js';
import {neverCancelled} from '../../../base/common/cancellation.js';
import {Emitter} from '../../../base/common/event.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {EMPTY_RECORD} from '../common/crashRecord.js';
import {
  CRASH_RECORD_KEY,
  CrashRecordKeeper,
} from '../common/crashRecordKeeper.js';
import {formatRecordRow} from '../common/crashRecordRow.js';
import {forgetCrashes} from '../common/forgetCrashes.js';
import {PromptGuard} from '../common/promptGuard.js';

/** What one instance reads from the record of crashes, writes to it and leaves alone. */

const STEP_MILLISECONDS = 100;
const NESTED_LEVELS = 200_000;
const DAY_MILLISECONDS = 24 * 60 * 60_000;
/** Until the first trial of a part, and until its result is known. */
const TRIAL_MILLISECONDS = 60_000;
const TRIAL_RESULT_MILLISECONDS = 30_000;
/** Until the first in rank has read the row again. */
const READ_MILLISECONDS = 16_000;

const PROMPT = {account: 'a', promptParts: ['first', 'deadly', 'fresh']};

/** The platform, which outlasts the instances, on its own clock. */
class Fixture {
  private readonly clock = new FakeClock();
  private readonly clocks = [this.clock];
  readonly platform = new InMemoryPlatform(this.clock);
  readonly table = this.platform.servicesFor().table;

  /** Starts an instance whose own clock begins anew. */
  async start() {
    const clock = new FakeClock();
    const logger = new SilentLogger();
    const guard = new PromptGuard(clock, logger, true, () => true);
    const recovered = new Emitter<void>();
    const keeper = new CrashRecordKeeper(
      clock,
      logger,
      this.table,
      guard,
      () => 0,
      recovered.event,
    );
    onTestFinished(() => keeper.dispose());
    keeper.start();
    this.clocks.push(clock);
    await this.pass(STEP_MILLISECONDS);
    return {guard, keeper};
  }

  /** Lets time pass for the platform and all instances alike. */
  async pass(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      this.clocks.forEach(clock => clock.advance(STEP_MILLISECONDS));
      await runPendingCallbacks();
    }
  }

  get row(): string | undefined {
    return this.platform.rows.read([CRASH_RECORD_KEY])[0]?.value;
  }

  put(value: string): void {
    const condition = {kind: 'any'} as const;
    this.platform.rows.transact(
      [{key: CRASH_RECORD_KEY, value, condition}],
      'all',
    );
  }
}

/** Starts an instance and lets upstreams crash until the part is blocked and recorded. */
async function startWithCrashes(fixture: Fixture) {
  const instance = await fixture.start();
  for (let index = 0; index < 4; index++) {
    instance.guard.recordCrash(`upstream-${index}`, {
      request: `request-${index}`,
      account: 'a',
      promptParts: ['first', 'deadly', `own-${index}`],
    });
    await fixture.pass(200);
    instance.guard.recordSound(['first', `sound-${index}`]);
  }
  await fixture.pass(2_000);
  return instance;
}

const evidence = (at: number) => ({
  crashes: [0, 1, 2, 3, 4, 5].map(index => ({
    upstream: `upstream-${index}`,
    at: at + 200 * index,
    requests: [
      {
        request: `request-${index}`,
        account: 'a',
        promptParts: ['deadly', `own-${index}`],
      },
    ],
  })),
  soundParts: [],
});

const valid = formatRecordRow({...EMPTY_RECORD, early: evidence(-2_000)});

const rows: ReadonlyArray<{
  name: string;
  value: string;
  verdict: string;
  isReplaced: boolean;
}> = [
  {name: 'is valid', value: valid, verdict: 'blocked', isReplaced: true},
  {
    name: 'has a newer format',
    value: valid.replace('"format":1', '"format":2'),
    verdict: 'allowed',
    isReplaced: false,
  },
  ...[
    {name: 'is empty', value: ''},
    {name: 'is nested without end', value: '['.repeat(NESTED_LEVELS)},
    {name: 'is null', value: 'null'},
    {name: 'has no format', value: valid.replace('"format":1,', '')},
    {name: 'lacks an evidence', value: '{"format":1}'},
    {
      name: 'has a text for a time',
      value: valid.replace('"at":', '"at":"x","x":'),
    },
    {
      name: 'has a number that JavaScript does not print',
      value: valid.replace('"at":', '"at":1e400,"x":'),
    },
    {
      name: 'is larger than a record',
      value: valid.replace('"trials":[]', `"trials":[${'{},'.repeat(9)}{}]`),
    },
    {
      name: 'has times far ahead',
      value: formatRecordRow({
        ...EMPTY_RECORD,
        early: evidence(DAY_MILLISECONDS),
        forgottenUntil: DAY_MILLISECONDS,
      }),
    },
    {
      name: 'has times of days ago',
      value: formatRecordRow({
        ...EMPTY_RECORD,
        early: evidence(-2 * DAY_MILLISECONDS),
      }),
    },
  ].map(row => ({...row, verdict: 'allowed', isReplaced: true})),
];

it.each(rows)(
  'an instance serves, and leaves alone what a newer program wrote, when the row of crashes $name',
  async ({value, verdict, isReplaced}) => {
    const fixture = new Fixture();
    fixture.put(value);
    const started = await fixture.start();
    expect(started.guard.judge(PROMPT).kind).toBe(verdict);
    await startWithCrashes(fixture);
    expect(fixture.row !== value).toBe(isReplaced);
  },
);

it('a started instance judges as the killed one did, on its own clock, and refuses no sound prompt', async () => {
  const fixture = new Fixture();
  const first = await startWithCrashes(fixture);
  first.keeper.dispose();
  const {guard} = await fixture.start();
  const sound = {account: 'a', promptParts: ['first', 'fresh']};
  expect(guard.judge(PROMPT).kind).toBe('blocked');
  expect(guard.judge(sound).kind).toBe('allowed');
});

it('a restart is neither one more trial of a part nor one less', async () => {
  const fixture = new Fixture();
  const first = await startWithCrashes(fixture);
  first.guard.recordCrash('upstream-4', {request: 'again', ...PROMPT});
  await fixture.pass(4 * 4 * TRIAL_MILLISECONDS);
  expect(first.guard.admit('trial', PROMPT).kind).toBe('trial');
  await fixture.pass(2_000);
  first.keeper.dispose();
  const second = await fixture.start();
  expect(second.guard.judge(PROMPT).kind).toBe('blocked');
  await fixture.pass(TRIAL_RESULT_MILLISECONDS);
  expect(second.guard.judge(PROMPT).kind).toBe('trial');
});

it('a part that was cleared stays so after a restart, and against reports of an instance that was held', async () => {
  const fixture = new Fixture();
  const held = await startWithCrashes(fixture);
  const other = await fixture.start();
  await fixture.pass(1_000);
  other.guard.recordSound(PROMPT.promptParts);
  await fixture.pass(2_000);
  other.keeper.dispose();
  await fixture.pass(READ_MILLISECONDS);
  const started = await fixture.start();
  for (const {guard} of [held, started]) {
    expect(guard.judge(PROMPT).kind).toBe('allowed');
  }
});

it('instances forget crashes on the operators’ command, also when peers tell them again', async () => {
  const fixture = new Fixture();
  const running = await startWithCrashes(fixture);
  const peer = await fixture.start();
  peer.keeper.dispose();
  expect(await forgetCrashes(fixture.table, neverCancelled)).toMatchObject({
    ok: true,
  });
  await fixture.pass(READ_MILLISECONDS);
  running.guard.applyNews(peer.guard.createResponse({}));
  const started = await fixture.start();
  for (const {guard} of [running, started]) {
    expect(guard.judge(PROMPT).kind).toBe('allowed');
  }
});
