import {env} from 'node:process';

import {afterEach, describe, expect, it} from 'vitest';

import {
  allCutsOf,
  AnswerForm,
  answerForms,
  Cut,
  CutAnswer,
  CuttingServer,
  findCut,
  formAnswer,
  FormedAnswer,
  formatCut,
  mapInBatches,
} from '../../../../test/standins/cutAnswers.js';
import {Disposable, toDisposable} from '../../../base/common/lifecycle.js';
import {MemoryBudget} from '../../../base/common/memoryBudget.js';
import {Dialer} from '../../../infrastructure/http/node/dialer.js';
import {DirectDialer} from '../../../infrastructure/http/node/directDialer.js';
import {makeUpstream} from '../../fleet/test/upstreams.js';
import {layeredEngine} from '../../paths/test/engines.js';
import {
  makeConfiguration,
  makeRoute,
} from '../../traffic/test/trafficConfigurations.js';
import {makeConnector} from './makeConnector.js';
import {AttemptOutcome, ResponseBuffer} from '../node/responseBuffer.js';
import {FakeHeaderCodec} from './fakeHeaderCodec.js';
import {eventText} from './fakeUpstreams.js';
import {createRelayingDialer, startRelay} from './relayedLinks.js';
import {CallerAnswer, SocketHarness} from './socketHarness.js';

/**
 * Answers of upstreams that stop at any byte, on their way from a real socket to a real socket of a caller. `CUT_ANSWERS=all`
 * cuts the answers to callers at every byte, too.
 */

const PLAIN_BODY = 'a body';
const EVENTS = [1, 2, 3, 4].map(eventText).join('');
const LAYERS = 8;
const BODY_LIMIT_BYTES = 1_000;
const CONNECT_MILLISECONDS = 1_000;
const TUNNEL_OPENED = 'HTTP/1.1 200 Connection Established\r\n\r\n';

/** Identifiers of requests, with the longest cut in them. */
const ID_LENGTH = 20;

const BATCH_SIZE = 32;

/** Requests with one harness: all their attempts are fewer than its retry budget allows, since its clock stands still. */
const HARNESS_BATCH_SIZE = 10;

/** How often a cut is sent of which nothing reached an upstream, since no peer connected in time. */
const UNSENT_LIMIT = 5;

/** How often a stream may be sent. */
const STREAM_ATTEMPTS = 10;

/** Unless all bytes are tried, every so many of a head, and all of its last ones. */
const HEAD_STEP = 48;
const LAST_HEAD_BYTES = 5;

const owned: Disposable[] = [];

afterEach(() => owned.splice(0).forEach(item => item.dispose()));

function own<T extends Disposable>(item: T): T {
  owned.push(item);
  return item;
}

/** Upstreams whose first answer to a request, or each of them, stops where the request says. They also relay connections. */
class CuttingUpstreams {
  private readonly runs = new Map<string, number>();

  constructor(
    private readonly form: AnswerForm,
    private readonly body: string,
    private readonly cutRuns = Infinity,
  ) {}

  async startOne(): Promise<string> {
    const server = new CuttingServer(request => this.answer(request));
    own(toDisposable(() => server.stop()));
    return server.start();
  }

  /** How often requests with an identifier were sent to any of the upstreams. */
  runsOf(id: string): number {
    return this.runs.get(id) ?? 0;
  }

  private answer(request: string): CutAnswer {
    if (request.startsWith('CONNECT')) {
      return {text: TUNNEL_OPENED};
    }
    const id = /^id: (.*)\r$/m.exec(request)?.[1] ?? '';
    const runs = (this.runs.get(id) ?? 0) + 1;
    this.runs.set(id, runs);
    const {text} = formFor(this.form, id, bodyAfter(request, this.body));
    const cut = runs <= this.cutRuns ? findCut(id) : undefined;
    return {text, cut: cut ?? {bytes: text.length, closing: 'FIN later'}};
  }
}

/** The events after the last one that the caller has, or the whole body. */
function bodyAfter(request: string, body: string): string {
  const last = /"lastEvent":(\d+)/.exec(request)?.[1];
  const start = last === undefined ? 0 : body.indexOf(`id: ${+last + 1}\n`);
  return start < 0 ? '' : body.slice(start);
}

function formFor(form: AnswerForm, id: string, body: string): FormedAnswer {
  return formAnswer(form, [`id: ${id}`, 'proof: p'], body);
}

/** Identifiers have one length, so that all answers in a form do. */
function idOf(cut: Cut): string {
  return formatCut(cut).padEnd(ID_LENGTH, '.');
}

/** Whether an answer without an end of its own stops in its body, in order: it cannot be told from a whole one. */
function looksWhole(
  {framing}: AnswerForm,
  {headBytes}: FormedAnswer,
  {bytes, closing}: Cut,
): boolean {
  return (
    framing === 'connection' && bytes >= headBytes && closing.startsWith('FIN')
  );
}

/** Starts what lies between this instance and an upstream; resolves with a dialer. */
type StartWay = (address: string) => Promise<Dialer>;

const ways: ReadonlyArray<{way: string; start: StartWay}> = [
  {way: 'directly', start: async () => new DirectDialer()},
  {
    way: 'through a peer whose connection to the upstream stops',
    start: async address =>
      own(createRelayingDialer(own(await startRelay()).address, [address])),
  },
  {
    way: 'through a peer that stops',
    start: async address => own(createRelayingDialer(address, [address])),
  },
];

describe.each(ways)('an answer that stops and comes $way', ({way, start}) => {
  it.each(answerForms)('with $name is lost', async form => {
    const upstreams = new CuttingUpstreams(form, PLAIN_BODY);
    const address = await upstreams.startOne();
    const connector = own(makeConnector(await start(address)));
    const upstream = makeUpstream({address});
    const send = (id: string): Promise<AttemptOutcome> =>
      new Promise(resolve => {
        const listener = new ResponseBuffer(
          new FakeHeaderCodec(),
          id,
          BODY_LIMIT_BYTES,
          new MemoryBudget(Infinity),
          resolve,
        );
        const request = {
          method: 'POST',
          target: '/',
          headers: ['id', id],
          body: Buffer.from('body'),
          connectMilliseconds: CONNECT_MILLISECONDS,
          isAlone: true,
        };
        connector.open(upstream, request, listener);
      });
    const isUnsent = (id: string, {kind}: AttemptOutcome): boolean =>
      kind === 'notSent' && upstreams.runsOf(id) === 0;
    const sendUntilSent = async (id: string): Promise<AttemptOutcome> => {
      let outcome = await send(id);
      for (let sent = 1; sent < UNSENT_LIMIT && isUnsent(id, outcome); sent++) {
        outcome = await send(id);
      }
      return outcome;
    };
    const whole = await sendUntilSent('whole'.padEnd(ID_LENGTH, '.'));
    expect(describeOutcome(whole)).toBe(
      form.isRefused === true
        ? 'lost'
        : `answered ${form.framing !== 'connection'} ${PLAIN_BODY}`,
    );
    const formed = formFor(form, 'i'.repeat(ID_LENGTH), PLAIN_BODY);
    const outcomes = await mapInBatches(
      way === 'directly' ? allCutsOf(formed) : chooseCuts(formed),
      BATCH_SIZE,
      async cut => ({cut, outcome: await sendUntilSent(idOf(cut))}),
    );
    const wrong = outcomes.filter(({cut, outcome}) =>
      outcome.kind === 'answered'
        ? outcome.isFramed || !looksWhole(form, formed, cut)
        : outcome.kind !== 'lost',
    );
    expect(
      wrong.map(({cut, outcome}) => `${idOf(cut)} ${describeOutcome(outcome)}`),
    ).toEqual([]);
  });
});

function describeOutcome(outcome: AttemptOutcome): string {
  switch (outcome.kind) {
    case 'answered':
      return `answered ${outcome.isFramed} ${Buffer.from(outcome.body).toString()}`;
    case 'notSent':
      return `notSent ${outcome.detail}`;
    default:
      return outcome.kind;
  }
}

const configuration = makeConfiguration({
  routes: [
    makeRoute({name: 'unsafe', pathPrefix: '/unsafe/', kind: 'unsafe'}),
    makeRoute({name: 'safe', pathPrefix: '/safe/', kind: 'safe'}),
    makeRoute({
      name: 'stream',
      pathPrefix: '/stream/',
      kind: 'stream',
      targets: [{service: 'model', weight: 1}],
    }),
    makeRoute({
      name: 'resumable',
      pathPrefix: '/resumable/',
      kind: 'stream',
      isResumable: true,
      targets: [{service: 'model', weight: 1}],
    }),
  ],
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

interface Route {
  readonly route: string;
  /** How many of the attempts at a request get an answer that stops. */
  readonly cutRuns: number;
  readonly maxRuns: number;
  /** Whether callers get a whole answer nevertheless. */
  readonly isRescued: boolean;
}

const routes: readonly Route[] = [
  {route: 'unsafe', cutRuns: Infinity, maxRuns: 1, isRescued: false},
  {route: 'safe', cutRuns: 1, maxRuns: 2, isRescued: true},
  {route: 'safe', cutRuns: Infinity, maxRuns: 2, isRescued: false},
  {route: 'stream', cutRuns: Infinity, maxRuns: 1, isRescued: false},
  {route: 'resumable', cutRuns: 1, maxRuns: STREAM_ATTEMPTS, isRescued: true},
  {
    route: 'resumable',
    cutRuns: Infinity,
    maxRuns: STREAM_ATTEMPTS,
    isRescued: false,
  },
];

describe.each(routes)(
  'a request of the route $route whose first $cutRuns answers stop',
  ({route, cutRuns, maxRuns, isRescued}) => {
    const isStream = route === 'stream' || route === 'resumable';
    const body = isStream ? EVENTS : PLAIN_BODY;
    const service = isStream ? 'model' : 's';

    it.each(answerForms)(
      'and have $name gets no part as a whole',
      async form => {
        const standIns = new CuttingUpstreams(form, body, cutRuns);
        const addresses = [
          await standIns.startOne(),
          await standIns.startOne(),
        ];
        const upstreams = addresses.map((address, index) =>
          makeUpstream({
            id: `${service}-${index}`,
            service,
            address,
            acceleratorKind: 'small',
            layers: isStream ? {from: 0, to: LAYERS} : undefined,
          }),
        );
        const formed = formFor(form, 'i'.repeat(ID_LENGTH), body);
        const wrong: string[] = [];
        const cuts = chooseCuts(formed);
        for (let from = 0; from < cuts.length; from += HARNESS_BATCH_SIZE) {
          const harness = own(new SocketHarness(configuration, upstreams));
          await harness.start();
          const batch = cuts.slice(from, from + HARNESS_BATCH_SIZE);
          await mapInBatches(batch, HARNESS_BATCH_SIZE, async cut => {
            const answer = await harness.send(`/${route}/x`, idOf(cut));
            const isAllowed = looksWhole(form, formed, cut)
              ? body.startsWith(answer.body) || answer.status === 502
              : isSound(answer, body, isRescued && form.isRefused !== true);
            const runs = standIns.runsOf(idOf(cut));
            if (
              answer.status === undefined ||
              !isAllowed ||
              runs < 1 ||
              runs > maxRuns
            ) {
              wrong.push(`${idOf(cut)} ${runs} ${JSON.stringify(answer)}`);
            }
          });
          expect(harness.forwarding.handler.count).toBe(0);
        }
        expect(wrong).toEqual([]);
      },
    );
  },
);

function chooseCuts(formed: FormedAnswer): readonly Cut[] {
  const {headBytes} = formed;
  return allCutsOf(formed).filter(
    ({bytes}) =>
      env['CUT_ANSWERS'] === 'all' ||
      bytes % HEAD_STEP === 0 ||
      bytes >= headBytes - LAST_HEAD_BYTES,
  );
}

/** A caller gets a whole answer, an error of the router or, unless it must be rescued, the beginning of a stream. */
function isSound(
  {status, body, isComplete}: CallerAnswer,
  whole: string,
  isRescued: boolean,
): boolean {
  if (status === 200) {
    return isComplete ? body === whole : !isRescued && whole.startsWith(body);
  }
  return status === 502 && isComplete && !isRescued;
}
