import * as fastCheck from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  Configuration,
  ConfigurationOperation,
  ConfigurationRevision,
  emptyConfiguration,
} from '../common/configuration.js';
import {ConfigurationReplica} from '../common/configurationReplica.js';
import {
  applyRevision,
  validateOperations,
} from '../common/configurationRules.js';
import {parseProposal} from '../common/operationSchemas.js';

const orders = {
  name: 'orders',
  firstTokenMilliseconds: 570,
  betweenTokensMilliseconds: 61,
  deadlineMilliseconds: 9_000,
  requestsPerSecond: 10,
  repeatable: false,
};
const model = {name: 'm', version: '1', layerCount: 8, adapters: []};
const account = {name: 'site', keyHash: 'a'.repeat(64)};

function revisionOf(
  revision: number,
  operations: readonly ConfigurationOperation[] = [
    {kind: 'setModel', value: {...model, name: `m${revision}`}},
  ],
): ConfigurationRevision {
  return {
    revision,
    operations,
    operator: 'ana',
    nonce: `n${revision}`,
    committedAtWallMilliseconds: 0,
  };
}

const current: Configuration = applyRevision(
  emptyConfiguration,
  revisionOf(1, [
    {kind: 'setClass', value: orders},
    {kind: 'setModel', value: model},
    {kind: 'setClientAccount', value: account},
  ]),
);

describe('parseProposal', () => {
  it.each([
    {
      name: 'a weight',
      value: {...orders, weight: 3},
      paths: ['$.operations[0].value.weight'],
    },
    {
      name: 'an address and a weight',
      value: {...orders, address: '10.0.0.1:1', weight: 1},
      paths: ['$.operations[0].value.address', '$.operations[0].value.weight'],
    },
    {
      name: 'a deadline of 0',
      value: {...orders, deadlineMilliseconds: 0},
      paths: ['$.operations[0].value.deadlineMilliseconds'],
    },
    {
      name: 'a name with a slash',
      value: {...orders, name: 'a/b'},
      paths: ['$.operations[0].value.name'],
    },
    {
      name: 'no target',
      value: {name: 'orders', repeatable: true},
      paths: [
        '$.operations[0].value.firstTokenMilliseconds',
        '$.operations[0].value.betweenTokensMilliseconds',
        '$.operations[0].value.deadlineMilliseconds',
        '$.operations[0].value.requestsPerSecond',
      ],
    },
  ])('refuses $name', ({value, paths}) => {
    const parsed = parseProposal(
      {operations: [{kind: 'setClass', value}]},
      'body',
    );
    expect(parsed.ok ? [] : parsed.error.map(finding => finding.path)).toEqual(
      paths,
    );
  });

  it('explains that operators define targets only', () => {
    const value = {...orders, weight: 3};
    const parsed = parseProposal(
      {operations: [{kind: 'setClass', value}]},
      'body',
    );
    expect(parsed.ok ? '' : parsed.error[0]?.expected).toContain(
      'targets only',
    );
  });

  it.each([
    undefined,
    null,
    3,
    [],
    {},
    {operations: []},
    {operations: [{kind: 'other'}]},
  ])('refuses the body %j', body =>
    expect(parseProposal(body, 'body').ok).toBe(false),
  );
});

describe('validateOperations', () => {
  const cases: ReadonlyArray<{
    readonly name: string;
    readonly operations: readonly ConfigurationOperation[];
    readonly paths: readonly string[];
  }> = [
    {
      name: 'no fault in a valid change',
      operations: [{kind: 'setClass', value: {...orders, name: 'other'}}],
      paths: [],
    },
    {
      name: 'the removal of the last class in use',
      operations: [{kind: 'removeClass', name: 'orders'}],
      paths: ['$.operations'],
    },
    {
      name: 'no fault in replacing the last class',
      operations: [
        {kind: 'removeClass', name: 'orders'},
        {kind: 'setClass', value: {...orders, name: 'other'}},
      ],
      paths: [],
    },
    {
      name: 'the removal of unknown entries',
      operations: [
        {kind: 'removeModel', name: 'x'},
        {kind: 'removeService', name: 'constructor'},
      ],
      paths: ['$.operations[0].name', '$.operations[1].name'],
    },
    {
      name: 'two operations on one entry',
      operations: [
        {kind: 'setModel', value: model},
        {kind: 'removeModel', name: 'm'},
      ],
      paths: ['$.operations[1].name'],
    },
    {
      name: 'a first-token target after the deadline',
      operations: [
        {kind: 'setClass', value: {...orders, firstTokenMilliseconds: 9_001}},
      ],
      paths: ['$.operations[0].value.firstTokenMilliseconds'],
    },
    {
      name: 'a key shared by two accounts',
      operations: [
        {kind: 'setClientAccount', value: {...account, name: 'two'}},
      ],
      paths: ['$.operations'],
    },
    {
      name: 'a duplicate call',
      operations: [
        {
          kind: 'setService',
          value: {
            name: 's',
            calls: [
              {method: 'GET', pathPrefix: '/', repeatable: true},
              {method: 'GET', pathPrefix: '/', repeatable: false},
            ],
          },
        },
      ],
      paths: ['$.operations[0].value.calls[1]'],
    },
  ];

  it.each(cases)('finds $name', ({operations, paths}) => {
    const findings = validateOperations(current, operations);
    expect(findings.map(finding => finding.path)).toEqual(paths);
  });
});

describe('ConfigurationReplica', () => {
  it('applies revisions in order regardless of arrival order, and never goes back', () => {
    const all = Array.from({length: 12}, (_, index) => revisionOf(index + 1));
    const expected = all.reduce(applyRevision, emptyConfiguration);
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(fastCheck.integer({min: 0, max: 11}), {maxLength: 60}),
        order => {
          const replica = new ConfigurationReplica();
          let last = 0;
          for (const index of order) {
            replica.applyRevisions(all.slice(index, index + 2));
            expect(replica.current.revision).toBeGreaterThanOrEqual(last);
            last = replica.current.revision;
            expect(Object.keys(replica.current.models)).toHaveLength(last);
          }
          replica.applySnapshot({...emptyConfiguration, revision: 0});
          expect(replica.current.revision).toBe(last);
          replica.applyRevisions(all);
          expect(replica.current).toEqual(expected);
        },
      ),
      {seed: 5},
    );
  });

  it('returns the revisions after one, or undefined if some are missing', () => {
    const replica = new ConfigurationReplica();
    replica.applySnapshot({...emptyConfiguration, revision: 4});
    replica.applyRevisions([revisionOf(5), revisionOf(6)]);
    expect(replica.revisionsAfter(6)).toEqual([]);
    expect(replica.revisionsAfter(4)).toEqual([revisionOf(5), revisionOf(6)]);
    expect(replica.revisionsAfter(3)).toBeUndefined();
  });
});
