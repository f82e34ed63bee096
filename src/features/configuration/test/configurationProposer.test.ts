import {beforeEach, describe, expect, it} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {
  InMemoryPlatform,
  PlatformFault,
} from '../../../../test/support/inMemoryPlatform.js';
import {neverCancelled} from '../../../base/common/cancellation.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {ProposalResult} from '../common/configuration.js';
import {ConfigurationProposer} from '../common/configurationProposer.js';
import {ConfigurationReader} from '../common/configurationReader.js';
import {ConfigurationReplica} from '../common/configurationReplica.js';
import {
  ConfigurationStore,
  SNAPSHOT_EVERY,
} from '../common/configurationStore.js';

const clock = new FakeClock();
let platform: InMemoryPlatform;

interface Operator {
  readonly replica: ConfigurationReplica;
  readonly reader: ConfigurationReader;
  readonly proposer: ConfigurationProposer;
}

function operator(name: string): Operator {
  const ports = platform.portsOf(name);
  const store = new ConfigurationStore(ports.table, ports.objects);
  const replica = new ConfigurationReplica();
  const reader = new ConfigurationReader(store, replica, clock);
  let count = 0;
  const proposer = new ConfigurationProposer(
    store,
    reader,
    replica,
    clock,
    () => `${name}-${++count}`,
    new SilentLogger(),
  );
  return {replica, reader, proposer};
}

async function propose(
  by: Operator,
  name: string,
  model: string,
  expectedRevision?: number,
): Promise<ProposalResult> {
  let result: ProposalResult | undefined;
  const value = {name: model, version: '1', layerCount: 8, adapters: []};
  const proposal = {
    operations: [{kind: 'setModel' as const, value}],
    expectedRevision,
  };
  void by.proposer.propose(proposal, name, neverCancelled).then(outcome => {
    result = outcome;
  });
  for (let step = 0; step < 300 && result === undefined; step++) {
    await clock.advanceAsync(100);
  }
  if (result === undefined) {
    throw new Error('no outcome in time');
  }
  return result;
}

function kindOf(result: ProposalResult): string {
  return result.ok ? 'accepted' : result.error.kind;
}

function rowsWith(text: string): number {
  return platform.rows
    .scan('configuration/revision/', undefined, 100)
    .filter(row => row.value.includes(text)).length;
}

beforeEach(() => {
  platform = new InMemoryPlatform(clock);
});

describe('a proposal', () => {
  interface FaultCase {
    readonly name: string;
    readonly fault: PlatformFault;
    readonly access: 'read' | 'write';
    readonly times: number;
    readonly outcome: string;
    readonly rows: number;
  }

  // prettier-ignore
  const faults: readonly FaultCase[] = [
    {name: 'the table down before', fault: {kind: 'down'}, access: 'read', times: 1, outcome: 'unavailable', rows: 0},
    {name: 'the table down at the commit', fault: {kind: 'down'}, access: 'write', times: 1, outcome: 'unavailable', rows: 0},
    {name: 'the commit rate-limited', fault: {kind: 'rateLimited', retryAfterMilliseconds: 5}, access: 'write', times: 1, outcome: 'unavailable', rows: 0},
    {name: 'the answer lost after the effect', fault: {kind: 'answerLost'}, access: 'write', times: 1, outcome: 'accepted', rows: 1},
    {name: 'the request lost', fault: {kind: 'requestLost'}, access: 'write', times: 1, outcome: 'unavailable', rows: 0},
    {name: 'the request late by seconds', fault: {kind: 'slow', milliseconds: 5_000}, access: 'write', times: 1, outcome: 'unavailable', rows: 0},
    {name: 'the request and its fencing lost', fault: {kind: 'requestLost'}, access: 'write', times: 3, outcome: 'unavailable', rows: 0},
    {name: 'all writes lost', fault: {kind: 'requestLost'}, access: 'write', times: 100, outcome: 'outcomeUnknown', rows: 0},
  ];

  it.each(faults)('with $name', async row => {
    const ana = operator('ana');
    platform.addFault(row.fault, {
      part: 'table',
      access: row.access,
      times: row.times,
    });
    const result = await propose(ana, 'ana', 'small');
    expect(kindOf(result)).toBe(row.outcome);
    await clock.advanceAsync(20_000);
    expect(rowsWith('small')).toBe(row.rows);
    platform.clearFaults();
    expect(kindOf(await propose(ana, 'ana', 'next'))).toBe('accepted');
  });

  it('with the table down after the lost answer is unknown, then found', async () => {
    const ana = operator('ana');
    platform.addFault(
      {kind: 'answerLost'},
      {part: 'table', access: 'write', times: 1},
    );
    platform.addFault(
      {kind: 'slow', milliseconds: 1},
      {part: 'table', access: 'read', times: 1},
    );
    platform.addFault(
      {kind: 'down'},
      {part: 'table', access: 'read', times: 100},
    );
    expect(kindOf(await propose(ana, 'ana', 'small'))).toBe('outcomeUnknown');
    platform.clearFaults();
    await ana.reader.readHead(neverCancelled);
    expect(ana.replica.current.models).toHaveProperty('small');
  });

  it('that comes second names the winner', async () => {
    const ana = operator('ana');
    const luz = operator('luz');
    await propose(ana, 'ana', 'small');
    const stale = await propose(luz, 'luz', 'large', 0);
    expect(stale).toMatchObject({
      error: {kind: 'conflict', winningRevision: 1, operator: 'ana'},
    });
  });

  it.each([{lost: false}, {lost: true}])(
    'of racing operators wins once, answers lost: $lost',
    async ({lost}) => {
      const operators = ['ana', 'luz', 'eva'].map(operator);
      if (lost) {
        platform.addFault(
          {kind: 'answerLost'},
          {part: 'table', access: 'write', times: 3},
        );
      }
      const names = ['ana', 'luz', 'eva'];
      const results = await Promise.all(
        operators.map((by, index) =>
          propose(by, names[index] ?? '', `model-${index}`),
        ),
      );
      const kinds = results.map(kindOf).sort();
      expect(kinds).toEqual(['accepted', 'conflict', 'conflict']);
      const winner = names[results.findIndex(result => result.ok)];
      results.forEach(result => {
        if (!result.ok) {
          expect(result.error).toMatchObject({
            winningRevision: 1,
            operator: winner,
          });
        }
      });
      expect(rowsWith('model-')).toBe(1);
    },
  );
});

describe('the log', () => {
  it('is read by a starting instance from a snapshot and few rows, and is trimmed', async () => {
    const ana = operator('ana');
    const total = SNAPSHOT_EVERY * 5 + 3;
    for (let revision = 1; revision <= total; revision++) {
      await propose(ana, 'ana', `model-${revision}`);
      await ana.proposer.snapshotIfDue(revision, neverCancelled);
    }
    const rows = platform.rows.scan(
      'configuration/revision/',
      undefined,
      1_000,
    );
    expect(rows.length).toBeLessThanOrEqual(SNAPSHOT_EVERY * 3);
    expect([...platform.objects.keys()]).toHaveLength(3);
    const before = platform.counts.reads;
    const late = operator('luz');
    await late.reader.readHead(neverCancelled);
    expect(late.replica.current).toEqual(ana.replica.current);
    expect(platform.counts.reads - before).toBeLessThanOrEqual(4);
  });

  it('goes on after a trim that raced with a proposal', async () => {
    const ana = operator('ana');
    await propose(ana, 'ana', 'small');
    platform.addFault(
      {kind: 'slow', milliseconds: 300},
      {part: 'table', instance: 'luz', access: 'write', times: 1},
    );
    const luz = operator('luz');
    const racing = propose(luz, 'luz', 'large');
    const head = JSON.stringify({revision: 1, firstRevision: 1});
    await platform
      .portsOf('eva')
      .table.transact(
        [{key: 'configuration/head', value: head, condition: {kind: 'any'}}],
        'all',
        neverCancelled,
      );
    expect(kindOf(await racing)).toBe('unavailable');
    expect(rowsWith('large')).toBe(0);
    expect(kindOf(await propose(luz, 'luz', 'third'))).toBe('accepted');
  });
});
