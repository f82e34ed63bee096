import fc from 'fast-check';
import {expect, test} from 'vitest';

import {CancellationToken} from '../../../base/common/cancellation.js';
import {success} from '../../../base/common/result.js';
import {
  RowWrite,
  StorageError,
  TableService,
} from '../../../infrastructure/table/common/tableService.js';
import {
  ACCOUNT,
  ClaimSimulation,
  completed,
  executedOf,
  Mutation,
  testSettings,
} from './claimSimulation.js';

/** Random interleavings: each key is dispatched at most once, and `executed: no` means that no claim is granted. */

const SLOTS = 3;
const SEED = 20260115;
const ROUNDS = 300;
/** The fingerprint of most submissions. */
const COMMON_FINGERPRINT = 'a.x';

type Action =
  | {
      readonly kind: 'submit';
      readonly slot: number;
      readonly key: number;
      readonly dispatchDelay: number;
      readonly deadline: number;
      readonly fingerprint?: string;
    }
  | {readonly kind: 'advance'; readonly milliseconds: number}
  | {readonly kind: 'pause' | 'resume' | 'restart'; readonly slot: number}
  | {readonly kind: 'down'; readonly milliseconds: number}
  | {
      readonly kind: 'lost';
      readonly takesEffect: boolean;
      readonly times: number;
    }
  | {readonly kind: 'slow'; readonly milliseconds: number};

const slotArbitrary = fc.nat(SLOTS - 1);
const submitArbitrary = fc.record({
  kind: fc.constant('submit' as const),
  slot: slotArbitrary,
  key: fc.nat(4),
  dispatchDelay: fc.constantFrom(0, 20, 300),
  deadline: fc.constantFrom(60, 1000),
  fingerprint: fc.constantFrom(
    COMMON_FINGERPRINT,
    COMMON_FINGERPRINT,
    COMMON_FINGERPRINT,
    'b.x',
    'a.y',
  ),
});
const actionArbitrary: fc.Arbitrary<Action> = fc.oneof(
  {weight: 8, arbitrary: submitArbitrary},
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      milliseconds: fc.constantFrom(20, 100, 400, 2000),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'pause' as const,
        'resume' as const,
        'restart' as const,
      ),
      slot: slotArbitrary,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('down' as const),
      milliseconds: fc.constantFrom(100, 600),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('lost' as const),
      takesEffect: fc.boolean(),
      times: fc.integer({min: 1, max: 6}),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('slow' as const),
      milliseconds: fc.constantFrom(80, 150, 700),
    }),
  },
);

async function run(
  actions: readonly Action[],
  mutation: Mutation,
  settings = testSettings,
): Promise<ClaimSimulation> {
  const simulation = new ClaimSimulation(SLOTS, mutation, settings);
  const grants = simulation.slots.map(slot => slot.service.issueGrant(ACCOUNT));
  // Two plain keys, and one key bound to the first incarnation of each slot.
  const keys = ['plain-0', 'plain-1', ...grants.map(grant => `${grant}.k`)];
  const pending: Array<Promise<unknown>> = [];
  for (const action of actions) {
    await perform(simulation, action, keys, pending);
  }
  simulation.platform.clearFaults();
  for (const slot of simulation.slots) {
    await simulation.resume(slot);
  }
  // Submits all keys at all instances, soon and after the retention of bound keys, to check what each reports.
  for (const wait of [600, 6000]) {
    await simulation.advance(wait);
    for (const key of keys) {
      for (const slot of simulation.slots) {
        pending.push(
          simulation.submit(slot, key, 0, 1000, completed, COMMON_FINGERPRINT),
        );
      }
    }
  }
  await simulation.advance(600);
  simulation.dispose();
  return simulation;
}

async function perform(
  simulation: ClaimSimulation,
  action: Action,
  keys: readonly string[],
  pending: Array<Promise<unknown>>,
): Promise<void> {
  switch (action.kind) {
    case 'submit': {
      const target = simulation.slots[action.slot]!;
      if (target.signalResume === undefined) {
        const {
          dispatchDelay,
          deadline,
          fingerprint = COMMON_FINGERPRINT,
        } = action;
        const key = keys[action.key]!;
        pending.push(
          simulation.submit(
            target,
            key,
            dispatchDelay,
            deadline,
            completed,
            fingerprint,
          ),
        );
      }
      return;
    }
    case 'advance':
      return simulation.advance(action.milliseconds);
    case 'pause':
      return simulation.pause(simulation.slots[action.slot]!);
    case 'resume':
      return simulation.resume(simulation.slots[action.slot]!);
    case 'restart':
      return simulation.restart(simulation.slots[action.slot]!);
    case 'down':
      simulation.addTableFault({kind: 'down'}, Number.POSITIVE_INFINITY);
      await simulation.advance(action.milliseconds);
      return simulation.platform.clearFaults();
    case 'lost':
      return simulation.addTableFault(
        {kind: action.takesEffect ? 'answerLost' : 'requestLost'},
        action.times,
      );
    case 'slow':
      return simulation.addTableFault(
        {kind: 'slow', milliseconds: action.milliseconds},
        2,
      );
  }
}

function property(mutation: Mutation, settings = testSettings) {
  return fc.asyncProperty(
    fc.array(actionArbitrary, {minLength: 5, maxLength: 40}),
    async actions => {
      const simulation = await run(actions, mutation, settings);
      return simulation.violations.length === 0;
    },
  );
}

const {gather} = testSettings;

/** The incarnation of a key under which nothing ran grants it again while its `not run` response is under way. */
const staleNotRun: readonly Action[] = [
  {kind: 'submit', slot: 0, key: 2, dispatchDelay: 300, deadline: 60},
  {kind: 'advance', milliseconds: 400},
  {kind: 'submit', slot: 1, key: 2, dispatchDelay: 0, deadline: 60},
  {kind: 'submit', slot: 0, key: 2, dispatchDelay: 0, deadline: 60},
];

test.each([
  {writer: 'a gatherer', aboveInstances: SLOTS - 1},
  {writer: 'each instance', aboveInstances: SLOTS},
])(
  'each key is dispatched at most once, and keys reported as not run did not run; rows written by $writer',
  async ({aboveInstances}) => {
    const settings = {...testSettings, gather: {...gather, aboveInstances}};
    await fc.assert(property({}, settings), {
      numRuns: ROUNDS,
      seed: SEED,
      examples: [[[...staleNotRun]]],
    });
  },
);

test('the interleavings produce every execution status', async () => {
  const seen = new Set<string>();
  await fc.assert(
    fc.asyncProperty(
      fc.array(actionArbitrary, {minLength: 20, maxLength: 40}),
      async actions => {
        const simulation = await run(actions, {});
        simulation.reportedStatuses.forEach(status => seen.add(status));
      },
    ),
    {numRuns: 30, seed: SEED},
  );
  expect([...seen].sort()).toEqual(['no', 'unknown', 'yes']);
});

/** A table that reports one kind of failure as success. */
class FailureMaskingTable extends TableService {
  constructor(
    private readonly table: TableService,
    private readonly maskedKind: StorageError['kind'],
  ) {
    super();
  }

  override read(keys: readonly string[], token: CancellationToken) {
    return this.table.read(keys, token);
  }

  override scan(
    prefix: string,
    after: string | undefined,
    limit: number,
    token: CancellationToken,
  ) {
    return this.table.scan(prefix, after, limit, token);
  }

  override async transact(
    writes: readonly RowWrite[],
    mode: 'all' | 'each',
    token: CancellationToken,
  ) {
    const result = await this.table.transact(writes, mode, token);
    return !result.ok && result.error.kind === this.maskedKind
      ? success(writes.map(() => ({kind: 'written' as const, version: 1})))
      : result;
  }
}

const mutations: ReadonlyArray<{
  readonly name: string;
  readonly mutation: Mutation;
}> = [
  {
    name: 'undecided claim reported as not run',
    mutation: {
      executedOf: decision =>
        decision.kind === 'undecided' ? 'no' : executedOf(decision),
    },
  },
  {
    name: 'key of an unreachable incarnation reported as not run',
    mutation: {
      executedOf: decision =>
        decision.kind === 'heldElsewhere' && decision.outcome === undefined
          ? 'no'
          : executedOf(decision),
    },
  },
  {name: 'nonces not unique', mutation: {createNonce: () => 'same'}},
  {
    name: 'lost response treated as success',
    mutation: {
      table: table => new FailureMaskingTable(table, 'outcomeUnknown'),
    },
  },
  {
    name: 'outage treated as success',
    mutation: {table: table => new FailureMaskingTable(table, 'unavailable')},
  },
  {
    name: 'incarnation check omitted',
    mutation: {
      ask: (request, {incarnation, service}) =>
        service.answer({...request, incarnation}),
    },
  },
  {
    name: 'evicted keys reported as never dispatched',
    mutation: {
      ask: (request, {service}) => {
        const response = service.answer(request);
        return response.kind === 'forgotten'
          ? {kind: 'notSeen', closed: true}
          : response;
      },
    },
  },
];

test.each(mutations)('the property detects: $name', async ({mutation}) => {
  const details = await fc.check(property(mutation), {
    numRuns: 2 * ROUNDS,
    seed: SEED,
    endOnFailure: true,
  });
  expect(details.failed).toBe(true);
});
