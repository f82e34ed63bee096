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
  SNAPSHOT_INTERVAL_REVISIONS,
} from '../common/configurationStore.js';

const clock = new FakeClock();
let platform: InMemoryPlatform;

interface Operator {
  readonly replica: ConfigurationReplica;
  readonly reader: ConfigurationReader;
  readonly proposer: ConfigurationProposer;
}

function createOperator(name: string): Operator {
  const ports = platform.servicesFor(name);
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
  operator: Operator,
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
  void operator.proposer
    .propose(proposal, name, neverCancelled)
    .then(outcome => {
      result = outcome;
    });
  for (let step = 0; step < 300 && result === undefined; step++) {
    await clock.advanceAsync(100);
  }
  if (result === undefined) {
    throw new Error('proposal did not complete within 30 s of simulated time');
  }
  return result;
}

function outcomeOf(result: ProposalResult): string {
  return result.ok ? 'accepted' : result.error.kind;
}

function countRowsWith(text: string): number {
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
    {name: 'the table down before the commit', fault: {kind: 'down'}, access: 'read', times: 1, outcome: 'unavailable', rows: 0},
    {name: 'the table down during the commit', fault: {kind: 'down'}, access: 'write', times: 1, outcome: 'unavailable', rows: 0},
    {name: 'the commit rate-limited', fault: {kind: 'rateLimited', retryAfterMilliseconds: 5}, access: 'write', times: 1, outcome: 'unavailable', rows: 0},
    {name: 'the commit response lost', fault: {kind: 'answerLost'}, access: 'write', times: 1, outcome: 'accepted', rows: 1},
    {name: 'the commit request lost', fault: {kind: 'requestLost'}, access: 'write', times: 1, outcome: 'unavailable', rows: 0},
    {name: 'the commit request delayed', fault: {kind: 'slow', milliseconds: 5_000}, access: 'write', times: 1, outcome: 'unavailable', rows: 0},
    {name: 'the commit and fencing requests lost', fault: {kind: 'requestLost'}, access: 'write', times: 3, outcome: 'unavailable', rows: 0},
    {name: 'all writes lost', fault: {kind: 'requestLost'}, access: 'write', times: 100, outcome: 'outcomeUnknown', rows: 0},
  ];

  it.each(faults)('has the expected outcome with $name', async row => {
    const ana = createOperator('ana');
    platform.addFault(row.fault, {
      part: 'table',
      access: row.access,
      times: row.times,
    });
    const result = await propose(ana, 'ana', 'small');
    expect(outcomeOf(result)).toBe(row.outcome);
    await clock.advanceAsync(20_000);
    expect(countRowsWith('small')).toBe(row.rows);
    platform.clearFaults();
    expect(outcomeOf(await propose(ana, 'ana', 'next'))).toBe('accepted');
  });

  it('has an unknown outcome when the table fails after a lost response, and is found later', async () => {
    const ana = createOperator('ana');
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
    expect(outcomeOf(await propose(ana, 'ana', 'small'))).toBe(
      'outcomeUnknown',
    );
    platform.clearFaults();
    await ana.reader.readHead(neverCancelled);
    expect(ana.replica.current.models).toHaveProperty('small');
  });

  it('on an outdated revision is refused with the winning revision and operator', async () => {
    const ana = createOperator('ana');
    const luz = createOperator('luz');
    await propose(ana, 'ana', 'small');
    const conflictingResult = await propose(luz, 'luz', 'large', 0);
    expect(conflictingResult).toMatchObject({
      error: {kind: 'conflict', winningRevision: 1, operator: 'ana'},
    });
  });

  it.each([{lost: false}, {lost: true}])(
    'is accepted from only one of several concurrent operators, responses lost: $lost',
    async ({lost}) => {
      const operators = ['ana', 'luz', 'eva'].map(createOperator);
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
      const kinds = results.map(outcomeOf).sort();
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
      expect(countRowsWith('model-')).toBe(1);
    },
  );
});

describe('the revision log', () => {
  it('is trimmed, and read by a starting instance from a snapshot and few rows', async () => {
    const ana = createOperator('ana');
    const total = SNAPSHOT_INTERVAL_REVISIONS * 5 + 3;
    for (let revision = 1; revision <= total; revision++) {
      await propose(ana, 'ana', `model-${revision}`);
      await ana.proposer.snapshotIfDue(revision, neverCancelled);
    }
    const rows = platform.rows.scan(
      'configuration/revision/',
      undefined,
      1_000,
    );
    expect(rows.length).toBeLessThanOrEqual(SNAPSHOT_INTERVAL_REVISIONS * 3);
    expect([...platform.objects.keys()]).toHaveLength(3);
    const before = platform.counts.reads;
    const startingInstance = createOperator('luz');
    await startingInstance.reader.readHead(neverCancelled);
    expect(startingInstance.replica.current).toEqual(ana.replica.current);
    expect(platform.counts.reads - before).toBeLessThanOrEqual(4);
  });

  it('accepts proposals after a trim that conflicted with one', async () => {
    const ana = createOperator('ana');
    await propose(ana, 'ana', 'small');
    platform.addFault(
      {kind: 'slow', milliseconds: 300},
      {part: 'table', instance: 'luz', access: 'write', times: 1},
    );
    const luz = createOperator('luz');
    const pendingProposal = propose(luz, 'luz', 'large');
    const head = JSON.stringify({revision: 1, firstRevision: 1});
    await platform
      .servicesFor('eva')
      .table.transact(
        [{key: 'configuration/head', value: head, condition: {kind: 'any'}}],
        'all',
        neverCancelled,
      );
    expect(outcomeOf(await pendingProposal)).toBe('unavailable');
    expect(countRowsWith('large')).toBe(0);
    expect(outcomeOf(await propose(luz, 'luz', 'third'))).toBe('accepted');
  });
});
