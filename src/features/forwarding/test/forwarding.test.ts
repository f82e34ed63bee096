import * as fastCheck from 'fast-check';
import {describe, expect, it} from 'vitest';

import {makeUpstream} from '../../fleet/test/upstreams.js';
import {layeredEngine} from '../../paths/test/engines.js';
import {
  makeConfiguration,
  makeRoute,
} from '../../traffic/test/trafficConfigurations.js';
import {Mechanisms} from '../../mechanisms/common/mechanisms.js';
import {FakeSending, ForwardingBench} from './forwardingBench.js';

const LAYERS = 8;

const routes = [
  makeRoute({name: 'safe', pathPrefix: '/safe/', kind: 'safe'}),
  makeRoute({
    name: 'unsafe',
    pathPrefix: '/unsafe/',
    kind: 'unsafe',
    attemptLimit: 1,
  }),
  makeRoute({name: 'public', pathPrefix: '/public/', isPublic: true}),
  makeRoute({
    name: 'stream',
    pathPrefix: '/stream/',
    kind: 'stream',
    isResumable: true,
    targets: [{service: 'model', weight: 1}],
  }),
  makeRoute({
    name: 'once',
    pathPrefix: '/once/',
    kind: 'stream',
    isResumable: false,
    targets: [{service: 'model', weight: 1}],
  }),
];

const configuration = makeConfiguration({
  routes,
  services: [
    ...makeConfiguration().services,
    {
      name: 'model',
      healthPath: '/healthz',
      connectionLimit: 100,
      engine: layeredEngine(LAYERS),
    },
  ],
});

const plain = ['p1', 'p2', 'p3'].map((id, index) =>
  makeUpstream({id, address: `10.0.1.${index + 1}:1`}),
);

/** Two copies of the model: a1 b1 in the north, a2 b2 in the south. */
const engines = [
  ['a1', 'north', 0, 4],
  ['b1', 'north', 4, 8],
  ['c1', 'north', 4, 8],
  ['a2', 'south', 0, 4],
  ['b2', 'south', 4, 8],
].map(([id, dataCentre, from, to], index) =>
  makeUpstream({
    id: String(id),
    service: 'model',
    dataCentre: String(dataCentre),
    address: `10.0.2.${index + 1}:1`,
    acceleratorKind: 'small',
    layers: {from: Number(from), to: Number(to)},
  }),
);

function bench(mechanisms: Partial<Mechanisms> = {}): ForwardingBench {
  const upstreams = [...plain, ...engines];
  return new ForwardingBench(configuration, upstreams, mechanisms);
}

describe('admission', () => {
  it.each([
    {name: 'no route', target: '/none/x', headers: [], outcome: 'own 404'},
    {
      name: 'a wrong key',
      target: '/safe/x',
      headers: ['key', 'wrong'],
      outcome: 'own 401',
    },
    {
      name: 'long headers',
      target: '/safe/x',
      headers: ['long', 'x'.repeat(20_000)],
      outcome: 'own 431',
    },
    {
      name: 'a public route',
      target: '/public/x',
      headers: ['key', 'wrong'],
      outcome: 'open',
    },
    {name: 'a right key', target: '/safe/x', headers: [], outcome: 'open'},
  ])('with $name', async ({target, headers, outcome}) => {
    const caller = await bench().send(target, headers);
    expect(caller.outcome).toBe(outcome);
  });

  it('refuses a body that is too long', async () => {
    const caller = await bench().send('/safe/x', [], 'x'.repeat(4_194_305));
    expect(caller.outcome).toBe('own 413');
  });

  it('refuses keys once nobody has confirmed the configuration, and says that nothing ran', async () => {
    const forwarding = bench();
    await forwarding.pass(4000);
    const caller = await forwarding.send('/safe/x');
    await forwarding.pass(300);
    expect(caller.outcome).toBe('notRun');
    expect(forwarding.connector.sendings).toHaveLength(0);
  });

  it('takes a request that a confirmation comes for in time', async () => {
    const forwarding = bench();
    await forwarding.pass(4000);
    const caller = await forwarding.send('/safe/x');
    forwarding.configuration.confirm(forwarding.configuration.now());
    await forwarding.settle();
    forwarding.connector.last.answer();
    expect(caller.outcome).toBe('whole 200');
  });

  it('names the account to the upstream', async () => {
    const forwarding = bench();
    await forwarding.send('/safe/x');
    expect(forwarding.connector.last.added).toMatchObject({account: 'account'});
  });
});

interface PlainCase {
  readonly name: string;
  readonly target: string;
  readonly steps: ReadonlyArray<(sending: FakeSending) => void>;
  readonly outcome: string;
  readonly sendings: number;
}

const refuse = (sending: FakeSending): void =>
  sending.answer(503, ['notRun', '1']);
const loseAnswer = (sending: FakeSending): void => sending.fail(true);
const neverSend = (sending: FakeSending): void => sending.fail(false);
const ok = (sending: FakeSending): void => sending.answer();
const failed = (sending: FakeSending): void => sending.answer(500);
const withoutProof = (sending: FakeSending): void => sending.answer(200, []);
const ofAnother = (sending: FakeSending): void =>
  sending.answer(200, ['id', 'other', 'proof', 'p']);
const encoded = (sending: FakeSending): void =>
  sending.answer(200, ['proof', 'p', 'encoded', '1']);

const plainCases: readonly PlainCase[] = [
  {
    name: 'hands an answer on',
    target: '/unsafe/',
    steps: [ok],
    outcome: 'whole 200',
    sendings: 1,
  },
  {
    name: 'never repeats an unsafe request that may have run',
    target: '/unsafe/',
    steps: [loseAnswer],
    outcome: 'own 502',
    sendings: 1,
  },
  {
    name: 'says of a refused unsafe request that it did not run',
    target: '/unsafe/',
    steps: [refuse],
    outcome: 'notRun',
    sendings: 1,
  },
  {
    name: 'sends an unsafe request elsewhere when nothing was sent',
    target: '/unsafe/',
    steps: [neverSend, ok],
    outcome: 'whole 200',
    sendings: 2,
  },
  {
    name: 'hands the failure of an unsafe request on',
    target: '/unsafe/',
    steps: [failed],
    outcome: 'whole 500',
    sendings: 1,
  },
  {
    name: 'repeats a safe request that failed',
    target: '/safe/',
    steps: [failed, ok],
    outcome: 'whole 200',
    sendings: 2,
  },
  {
    name: 'repeats a safe request whose answer was lost',
    target: '/safe/',
    steps: [loseAnswer, ok],
    outcome: 'whole 200',
    sendings: 2,
  },
  {
    name: 'ends a safe request after its attempts',
    target: '/safe/',
    steps: [failed, failed],
    outcome: 'whole 500',
    sendings: 2,
  },
  {
    name: 'does not say of a lost safe request that it did not run',
    target: '/safe/',
    steps: [loseAnswer, refuse],
    outcome: 'own 502',
    sendings: 2,
  },
  {
    name: 'takes no success without proof',
    target: '/unsafe/',
    steps: [withoutProof],
    outcome: 'own 502',
    sendings: 1,
  },
  {
    name: 'takes no answer to another request',
    target: '/unsafe/',
    steps: [ofAnother],
    outcome: 'own 502',
    sendings: 1,
  },
  {
    name: 'takes no encoded body',
    target: '/safe/',
    steps: [encoded, ok],
    outcome: 'whole 200',
    sendings: 2,
  },
];

describe('a plain request', () => {
  it.each(plainCases)('$name', async ({target, steps, outcome, sendings}) => {
    const forwarding = bench();
    const caller = await forwarding.send(target);
    for (const step of steps) {
      step(forwarding.connector.last);
      await forwarding.settle();
    }
    expect(caller.outcome).toBe(outcome);
    expect(forwarding.connector.sendings).toHaveLength(sendings);
  });

  it('gets its final answer when the time of its route is over', async () => {
    const forwarding = bench();
    const caller = await forwarding.send('/unsafe/');
    await forwarding.pass(999);
    expect(caller.outcome).toBe('open');
    await forwarding.pass(2);
    expect(caller.outcome).toBe('own 504');
    expect(forwarding.connector.last.isClosed).toBe(true);
  });

  it('is given up at the upstream when its caller leaves', async () => {
    const forwarding = bench();
    const caller = await forwarding.send('/safe/');
    caller.leave();
    await forwarding.settle();
    expect(forwarding.connector.sendings.every(({isClosed}) => isClosed)).toBe(
      true,
    );
  });

  it('gets a second attempt beside a slow one, where repeating does no harm', async () => {
    const forwarding = bench();
    const caller = await forwarding.send('/safe/');
    await forwarding.pass(110);
    expect(forwarding.connector.sendings).toHaveLength(2);
    forwarding.connector.last.answer();
    expect(caller.outcome).toBe('whole 200');
    expect(forwarding.connector.sendings[0]!.isClosed).toBe(true);
  });
});

describe('an answer that ends with its connection', () => {
  it.each([
    {target: '/unsafe/', isAlive: true, outcome: 'whole 200'},
    {target: '/unsafe/', isAlive: false, outcome: 'own 502'},
    {target: '/once/', isAlive: true, outcome: 'stream'},
    {target: '/once/', isAlive: false, outcome: 'broken'},
  ])(
    'on $target is whole only if its upstream is there still: $isAlive',
    async ({target, isAlive, outcome}) => {
      const forwarding = bench();
      const caller = await forwarding.send(target);
      const {last} = forwarding.connector;
      if (!isAlive) {
        forwarding.control.dead.add(last.upstream.id);
      }
      last.head();
      last.eventsOf(1, 2);
      last.end(false);
      await forwarding.settle();
      expect(caller.outcome).toBe(outcome);
    },
  );
});

describe('any interleaving of faults', () => {
  const steps = fastCheck.array(
    fastCheck.constantFrom(
      ok,
      failed,
      refuse,
      loseAnswer,
      neverSend,
      withoutProof,
      ofAnother,
    ),
    {maxLength: 6},
  );
  const targets = fastCheck.constantFrom(
    '/unsafe/',
    '/safe/',
    '/stream/',
    '/once/',
  );

  it('runs a request that may not be repeated once at most, and says "not run" only where that is so', async () => {
    await fastCheck.assert(
      fastCheck.asyncProperty(targets, steps, async (target, faults) => {
        const forwarding = bench();
        const caller = await forwarding.send(target);
        const ran: string[] = [];
        for (const fault of faults) {
          if (caller.outcome !== 'open') {
            break;
          }
          const sending = forwarding.connector.last;
          if (sending.isOver) {
            // It waits for a path.
            await forwarding.pass(100);
            continue;
          }
          if (fault !== refuse && fault !== neverSend) {
            ran.push(sending.upstream.id);
          }
          fault(sending);
          await forwarding.settle();
        }
        const mayRepeat = target === '/safe/' || target === '/stream/';
        if (!mayRepeat) {
          expect(ran.length).toBeLessThanOrEqual(1);
        }
        if (caller.outcome === 'notRun') {
          expect(ran).toEqual([]);
        }
      }),
      {numRuns: 300},
    );
  });
});

describe('a stream', () => {
  it('hands events on as they come and ends with its upstream', async () => {
    const forwarding = bench();
    const caller = await forwarding.send('/stream/');
    const {last} = forwarding.connector;
    last.head();
    last.eventsOf(1, 2);
    last.body('id: 3\nda');
    expect(caller.text).toBe('id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n');
    last.body('ta: 3\n\n');
    last.end();
    expect(caller.outcome).toBe('stream');
    expect(caller.text.endsWith('data: 3\n\n')).toBe(true);
  });

  it('goes on elsewhere behind the last whole event', async () => {
    const forwarding = bench();
    const caller = await forwarding.send('/stream/');
    const first = forwarding.connector.last;
    first.head();
    first.eventsOf(1, 3);
    first.body('id: 4\nda');
    first.fail(true);
    await forwarding.settle();
    const second = forwarding.connector.last;
    expect(second).not.toBe(first);
    expect(second.added).toMatchObject({lastEvent: 3});
    second.head();
    second.eventsOf(4, 5);
    second.end();
    expect(caller.outcome).toBe('stream');
    expect(caller.text.match(/id: \d/g)).toEqual([
      'id: 1',
      'id: 2',
      'id: 3',
      'id: 4',
      'id: 5',
    ]);
  });

  it.each([
    {name: 'ends inside an event', tail: 'id: 4\nda'},
    {name: 'skips an event', tail: 'id: 6\ndata: 6\n\n'},
  ])('does not look complete when it $name', async ({tail}) => {
    const forwarding = bench();
    const caller = await forwarding.send('/once/');
    const {last} = forwarding.connector;
    last.head();
    last.eventsOf(1, 3);
    last.body(tail);
    last.end();
    await forwarding.settle();
    expect(caller.outcome).toBe('broken');
  });

  it('that may not be resumed is not sent again once it may have run', async () => {
    const forwarding = bench();
    const caller = await forwarding.send('/once/');
    forwarding.connector.last.fail(true);
    await forwarding.settle();
    expect(forwarding.connector.sendings).toHaveLength(1);
    expect(caller.outcome).toBe('own 502');
  });

  it('moves inside its data centre when a later upstream is lost', async () => {
    const forwarding = bench();
    const caller = await forwarding.send('/stream/');
    const sending = forwarding.connector.last;
    const [first, second] = sending.added['hops'] as readonly string[];
    sending.head();
    sending.eventsOf(1, 2);
    if (first !== 'a1') {
      return;
    }
    forwarding.suspicions.suspect(second!, 'silent', {});
    await forwarding.settle();
    expect(forwarding.control.moves).toEqual([
      second === 'b1' ? 'a1,c1' : 'a1,b1',
    ]);
    sending.eventsOf(3, 4);
    sending.end();
    expect(caller.outcome).toBe('stream');
    expect(forwarding.connector.sendings).toHaveLength(1);
  });

  it('begins again elsewhere when its first upstream is lost', async () => {
    const forwarding = bench();
    await forwarding.send('/stream/');
    const sending = forwarding.connector.last;
    const [first] = sending.added['hops'] as readonly string[];
    sending.head();
    sending.eventsOf(1, 2);
    forwarding.suspicions.suspect(first!, 'silent', {});
    await forwarding.settle();
    const again = forwarding.connector.last;
    expect(sending.isClosed).toBe(true);
    expect(again.added).toMatchObject({lastEvent: 2});
    expect(again.added['hops']).not.toContain(first);
  });

  it('blames an upstream of its path, not another that has the address now', async () => {
    const forwarding = bench();
    await forwarding.send('/stream/');
    const sending = forwarding.connector.last;
    const [first] = sending.added['hops'] as readonly string[];
    const blamed = engines.find(({id}) => id === first)!;
    const heir = makeUpstream({...blamed, id: 'heir', layers: undefined});
    forwarding.directory.replace([...plain, ...engines, heir]);
    sending.answer(421, [
      'notRun',
      '1',
      'misdirected',
      '1',
      'faulty',
      blamed.address,
    ]);
    await forwarding.settle();
    expect(forwarding.suspicions.has('heir')).toBe(false);
    expect(forwarding.suspicions.has(first!)).toBe(true);
  });

  it('that has begun waits for a path instead of breaking off', async () => {
    const forwarding = bench();
    const caller = await forwarding.send('/stream/');
    const first = forwarding.connector.last;
    first.head();
    first.eventsOf(1, 2);
    for (const {id} of engines) {
      forwarding.services.load.add(id, 10_000_000);
    }
    first.fail(true);
    await forwarding.pass(800);
    expect(caller.outcome).toBe('open');
    for (const {id} of engines) {
      forwarding.services.load.remove(id, 10_000_000);
    }
    await forwarding.pass(50);
    const second = forwarding.connector.last;
    second.head();
    second.eventsOf(3, 3);
    second.end();
    expect(caller.outcome).toBe('stream');
  });

  it('that could not leave a lost upstream for want of budget leaves once there is some', async () => {
    const forwarding = bench();
    const {budget} = forwarding.services;
    const caller = await forwarding.send('/stream/');
    const sending = forwarding.connector.last;
    const [first] = sending.added['hops'] as readonly string[];
    sending.head();
    sending.eventsOf(1, 2);
    while (budget.take('model', 'begun')) {
      // Takes all there is.
    }
    forwarding.control.dead.add(first!);
    forwarding.suspicions.suspect(first!, 'silent', {});
    await forwarding.pass(100);
    expect(forwarding.connector.sendings).toHaveLength(1);
    for (let count = 0; count < 20; count++) {
      budget.noteRequest('model');
    }
    await forwarding.pass(100);
    expect(forwarding.connector.sendings.length).toBeGreaterThan(1);
    expect(forwarding.connector.last.added).toMatchObject({lastEvent: 2});
    expect(caller.outcome).toBe('open');
  });

  it('that was lost waits for a repeat when none is left', async () => {
    const forwarding = bench();
    const {budget} = forwarding.services;
    const caller = await forwarding.send('/stream/');
    const sending = forwarding.connector.last;
    sending.head();
    sending.eventsOf(1, 2);
    while (budget.take('model', 'begun')) {
      // Takes all there is.
    }
    sending.fail(true);
    await forwarding.pass(300);
    expect(caller.outcome).toBe('open');
    for (let count = 0; count < 20; count++) {
      budget.noteRequest('model');
    }
    await forwarding.pass(50);
    expect(forwarding.connector.last.added).toMatchObject({lastEvent: 2});
    expect(forwarding.connector.sendings).toHaveLength(2);
  });

  it('leaves an upstream that reports to be slow', async () => {
    const forwarding = bench();
    await forwarding.send('/stream/');
    const sending = forwarding.connector.last;
    const [first, second] = sending.added['hops'] as readonly string[];
    sending.head();
    sending.eventsOf(1, 2);
    forwarding.services.slowness.note(second!, 6);
    await forwarding.settle();
    const others: Readonly<Record<string, readonly string[]>> = {
      b1: ['a1,c1'],
      c1: ['a1,b1'],
      // No other upstream of its data centre holds the layers.
      b2: [],
    };
    expect(forwarding.control.moves).toEqual(others[second!]);
    expect(first).toBeDefined();
  });

  it('is not taken off an upstream that only refuses new work', async () => {
    const forwarding = bench();
    await forwarding.send('/stream/');
    const sending = forwarding.connector.last;
    sending.head();
    sending.eventsOf(1, 2);
    for (const id of sending.added['hops'] as readonly string[]) {
      forwarding.suspicions.suspect(id, 'refusing', {});
    }
    await forwarding.settle();
    expect(sending.isClosed).toBe(false);
    expect(forwarding.control.moves).toEqual([]);
  });

  it.each([
    {gap: 14, limit: 70},
    {gap: 28, limit: 75},
    {gap: 40, limit: 95},
  ])(
    'with an event each $gap ms leaves a dead upstream within $limit ms',
    async ({gap, limit}) => {
      const forwarding = bench();
      await forwarding.send('/stream/');
      const running = forwarding.connector.last;
      running.head();
      for (let id = 1; id <= 20; id++) {
        running.eventsOf(id, id);
        await forwarding.pass(gap);
      }
      running.eventsOf(21, 21);
      const [first] = running.added['hops'] as readonly string[];
      forwarding.control.dead.add(first!);
      await forwarding.pass(limit);
      expect(running.isClosed).toBe(true);
      expect(forwarding.connector.last.added).toMatchObject({lastEvent: 21});
    },
  );

  it('is not looked into when this process was held up', async () => {
    const forwarding = bench();
    await forwarding.send('/stream/');
    const running = forwarding.connector.last;
    running.head();
    running.eventsOf(1, 1);
    await forwarding.pass(20);
    running.eventsOf(2, 2);
    const before = forwarding.control.reports;
    // Timers run late, and the events of that time are read after them.
    forwarding.clock.pause(70);
    running.eventsOf(3, 3);
    await forwarding.pass(20);
    expect(forwarding.control.reports).toBe(before);
  });

  it.each([
    {name: 'answers in time', answers: 20, held: 0, at: 40, suspected: false},
    {
      name: 'never answers',
      answers: Infinity,
      held: 0,
      at: 40,
      suspected: true,
    },
    {name: 'answers late', answers: 100, held: 0, at: 40, suspected: true},
    {
      name: 'has answered late',
      answers: 100,
      held: 0,
      at: 101,
      suspected: false,
    },
    // The timer of the trial runs before the answer is read.
    {name: 'was not read', answers: 61, held: 60, at: 90, suspected: false},
    {name: 'was hardly read', answers: 32, held: 31, at: 40, suspected: false},
    {
      name: 'is dead, too',
      answers: Infinity,
      held: 60,
      at: 130,
      suspected: true,
    },
  ])(
    'blames an upstream that $name: $suspected',
    async ({answers, held, at, suspected}) => {
      const forwarding = bench();
      const {clock, control, services, suspicions} = forwarding;
      const upstream = engines[0]!;
      control.reportMilliseconds = answers;
      void services.trials.try(upstream, 'silent', {});
      await forwarding.settle();
      clock.pause(held);
      await forwarding.pass(at - held);
      expect(suspicions.has(upstream.id)).toBe(suspected);
    },
  );

  it('begins again after the loss of a later upstream where moving is switched off', async () => {
    const forwarding = bench({movedStreams: false});
    await forwarding.send('/stream/');
    const sending = forwarding.connector.last;
    const [, second] = sending.added['hops'] as readonly string[];
    sending.head();
    sending.eventsOf(1, 2);
    forwarding.suspicions.suspect(second!, 'silent', {});
    await forwarding.settle();
    expect(forwarding.control.moves).toEqual([]);
    expect(forwarding.connector.sendings).toHaveLength(2);
  });

  it.each([
    {silenceWatch: true, asked: true},
    {silenceWatch: false, asked: false},
  ])(
    'that falls silent leads to trial calls where that is on: $silenceWatch',
    async ({silenceWatch, asked}) => {
      const forwarding = bench({silenceWatch});
      await forwarding.send('/stream/');
      const sending = forwarding.connector.last;
      sending.head();
      sending.eventsOf(1, 2);
      await forwarding.pass(1_000);
      expect(forwarding.control.reports > 0).toBe(asked);
    },
  );

  it.each([
    {boundedRooms: true, outcome: 'notRun'},
    {boundedRooms: false, outcome: 'open'},
  ])(
    'is refused without room only where rooms are bounded: $boundedRooms',
    async ({boundedRooms, outcome}) => {
      const forwarding = bench({boundedRooms});
      const {load} = forwarding.services;
      engines.forEach(({id}) => load.add(id, 100_000_000));
      const caller = await forwarding.send('/stream/');
      await forwarding.pass(200);
      expect(caller.outcome).toBe(outcome);
    },
  );

  it('leaves an upstream of which another run answers, and does not come back', async () => {
    const forwarding = bench();
    await forwarding.send('/stream/');
    const running = forwarding.connector.last;
    running.head();
    running.eventsOf(1, 2);
    const [first] = running.added['hops'] as readonly string[];
    forwarding.control.restarted.add(first!);
    const upstream = engines.find(({id}) => id === first)!;
    void forwarding.services.trials.try(upstream, 'silent', {});
    await forwarding.settle();
    expect(running.isClosed).toBe(true);
    await forwarding.pass(2_000);
    expect(forwarding.suspicions.has(first!)).toBe(true);
  });

  it.each([
    {name: 'does not answer', isDead: true},
    {name: 'answers', isDead: false},
  ])(
    'leaves an upstream that refused another stream and $name: $isDead',
    async ({isDead}) => {
      const forwarding = bench();
      await forwarding.send('/stream/');
      const running = forwarding.connector.last;
      running.head();
      running.eventsOf(1, 2);
      const [first] = running.added['hops'] as readonly string[];
      const {address, dataCentre} = engines.find(({id}) => id === first)!;
      const elsewhere = engines.filter(
        engine => engine.dataCentre !== dataCentre,
      );
      const {load} = forwarding.services;
      elsewhere.forEach(({id}) => load.add(id, 10_000_000));
      await forwarding.send('/stream/');
      elsewhere.forEach(({id}) => load.remove(id, 10_000_000));
      const other = forwarding.connector.last;
      expect(other.added['hops']).toContain(first);
      if (isDead) {
        forwarding.control.dead.add(first!);
      }
      other.answer(503, ['notRun', '1', 'faulty', address]);
      await forwarding.settle();
      expect(running.isClosed).toBe(isDead);
    },
  );

  it('is refused with a time to come back when no path has room', async () => {
    const forwarding = bench();
    for (const {id} of engines) {
      forwarding.services.load.add(id, 10_000_000);
    }
    const caller = await forwarding.send('/stream/');
    expect(caller.outcome).toBe('open');
    // An eighth of its target.
    await forwarding.pass(200 / 8 + 20);
    expect(caller.own).toMatchObject({kind: 'notRun', reason: 'noRoom'});
  });
});
