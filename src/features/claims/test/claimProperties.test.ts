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
  ClaimWorld,
  completed,
  executedOf,
  Mutation,
  testSettings,
} from './claimWorld.js';

/** Random interleavings: per key one dispatch, and `executed: no` only for what no instance was granted. */

const SLOTS = 3;
const SEED = 20260115;
const ROUNDS = 300;
/** What most submissions of a key ask for. */
const USUAL = 'a.x';

type Action =
  | {
      readonly kind: 'submit';
      readonly slot: number;
      readonly key: number;
      readonly think: number;
      readonly deadline: number;
      readonly fingerprint?: string;
    }
  | {readonly kind: 'advance'; readonly milliseconds: number}
  | {readonly kind: 'pause' | 'resume' | 'restart'; readonly slot: number}
  | {readonly kind: 'down'; readonly milliseconds: number}
  | {readonly kind: 'lost'; readonly effect: boolean; readonly times: number}
  | {readonly kind: 'slow'; readonly milliseconds: number};

const slot = fc.nat(SLOTS - 1);
const submit = fc.record({
  kind: fc.constant('submit' as const),
  slot,
  key: fc.nat(4),
  think: fc.constantFrom(0, 20, 300),
  deadline: fc.constantFrom(60, 1000),
  fingerprint: fc.constantFrom(USUAL, USUAL, USUAL, 'b.x', 'a.y'),
});
const action: fc.Arbitrary<Action> = fc.oneof(
  {weight: 8, arbitrary: submit},
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
      slot,
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
      effect: fc.boolean(),
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
): Promise<ClaimWorld> {
  const world = new ClaimWorld(SLOTS, mutation, settings);
  const grants = world.slots.map(each => each.service.issueGrant(ACCOUNT));
  // Two plain keys and one bound to each first incarnation.
  const keys = ['plain-0', 'plain-1', ...grants.map(grant => `${grant}.k`)];
  const pending: Array<Promise<unknown>> = [];
  for (const each of actions) {
    await perform(world, each, keys, pending);
  }
  world.platform.clearFaults();
  for (const each of world.slots) {
    await world.resume(each);
  }
  // Submissions everywhere show what each instance believes, soon and after grants are forgotten.
  for (const wait of [600, 6000]) {
    await world.advance(wait);
    for (const key of keys) {
      for (const each of world.slots) {
        pending.push(world.submit(each, key, 0, 1000, completed, USUAL));
      }
    }
  }
  await world.advance(600);
  world.dispose();
  return world;
}

async function perform(
  world: ClaimWorld,
  each: Action,
  keys: readonly string[],
  pending: Array<Promise<unknown>>,
): Promise<void> {
  switch (each.kind) {
    case 'submit': {
      const target = world.slots[each.slot]!;
      if (target.wake === undefined) {
        const {think, deadline, fingerprint = USUAL} = each;
        const key = keys[each.key]!;
        pending.push(
          world.submit(target, key, think, deadline, completed, fingerprint),
        );
      }
      return;
    }
    case 'advance':
      return world.advance(each.milliseconds);
    case 'pause':
      return world.pause(world.slots[each.slot]!);
    case 'resume':
      return world.resume(world.slots[each.slot]!);
    case 'restart':
      return world.restart(world.slots[each.slot]!);
    case 'down':
      world.fault({kind: 'down'}, Number.POSITIVE_INFINITY);
      await world.advance(each.milliseconds);
      return world.platform.clearFaults();
    case 'lost':
      return world.fault(
        {kind: each.effect ? 'answerLost' : 'requestLost'},
        each.times,
      );
    case 'slow':
      return world.fault({kind: 'slow', milliseconds: each.milliseconds}, 2);
  }
}

function property(mutation: Mutation, settings = testSettings) {
  return fc.asyncProperty(
    fc.array(action, {minLength: 5, maxLength: 40}),
    async actions => {
      const world = await run(actions, mutation, settings);
      return world.violations.length === 0;
    },
  );
}

const {gather} = testSettings;

/** An instance asked the holder of a closed key, which granted it anew before the answer arrived. */
const staleNotRun: readonly Action[] = [
  {kind: 'submit', slot: 0, key: 2, think: 300, deadline: 60},
  {kind: 'advance', milliseconds: 400},
  {kind: 'submit', slot: 1, key: 2, think: 0, deadline: 60},
  {kind: 'submit', slot: 0, key: 2, think: 0, deadline: 60},
];

test.each([
  {writer: 'a gatherer', aboveInstances: SLOTS - 1},
  {writer: 'each instance', aboveInstances: SLOTS},
])(
  'one dispatch per key, and not run means not run; rows written by $writer',
  async ({aboveInstances}) => {
    const settings = {...testSettings, gather: {...gather, aboveInstances}};
    await fc.assert(property({}, settings), {
      numRuns: ROUNDS,
      seed: SEED,
      examples: [[[...staleNotRun]]],
    });
  },
);

test('the interleavings reach every kind of answer', async () => {
  const seen = new Set<string>();
  await fc.assert(
    fc.asyncProperty(
      fc.array(action, {minLength: 20, maxLength: 40}),
      async actions => {
        const world = await run(actions, {});
        world.answers.forEach(answer => seen.add(answer));
      },
    ),
    {numRuns: 30, seed: SEED},
  );
  expect([...seen].sort()).toEqual(['no', 'unknown', 'yes']);
});

/** A table whose failures of one kind are taken for success. */
class TrustingTable extends TableService {
  constructor(
    private readonly table: TableService,
    private readonly trusted: StorageError['kind'],
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
    return !result.ok && result.error.kind === this.trusted
      ? success(writes.map(() => ({kind: 'written' as const, version: 1})))
      : result;
  }
}

const mutations: ReadonlyArray<{
  readonly name: string;
  readonly mutation: Mutation;
}> = [
  {
    name: 'undecided said as not run',
    mutation: {
      executedOf: decision =>
        decision.kind === 'undecided' ? 'no' : executedOf(decision),
    },
  },
  {
    name: 'a holder that could not be asked said as not run',
    mutation: {
      executedOf: decision =>
        decision.kind === 'heldElsewhere' && decision.outcome === undefined
          ? 'no'
          : executedOf(decision),
    },
  },
  {name: 'nonces not told apart', mutation: {createNonce: () => 'same'}},
  {
    name: 'a lost answer taken for success',
    mutation: {table: table => new TrustingTable(table, 'outcomeUnknown')},
  },
  {
    name: 'an outage taken for success',
    mutation: {table: table => new TrustingTable(table, 'unavailable')},
  },
  {
    name: 'incarnation check left out',
    mutation: {
      ask: (message, {incarnation, service}) =>
        service.answer({...message, incarnation}),
    },
  },
  {
    name: 'forgotten keys said as never seen',
    mutation: {
      ask: (message, {service}) => {
        const answer = service.answer(message);
        return answer.kind === 'forgotten'
          ? {kind: 'notSeen', closed: true}
          : answer;
      },
    },
  },
];

test.each(mutations)('the property notices: $name', async ({mutation}) => {
  const details = await fc.check(property(mutation), {
    numRuns: 2 * ROUNDS,
    seed: SEED,
    endOnFailure: true,
  });
  expect(details.failed).toBe(true);
});
