import {afterEach, beforeEach, expect, test} from 'vitest';

import {freeAddresses} from '../../../../test/support/ports.js';
import {
  EngineStandIn,
  startEngines,
} from '../../../../test/standins/engineStandIn.js';
import {expectedReply} from '../../../../test/standins/referenceModel.js';
import {
  CancellationSource,
  neverCancelled,
} from '../../../base/common/cancellation.js';
import {SystemClock} from '../../../base/node/systemClock.js';
import {LayerRange} from '../../../infrastructure/engine/common/engineConnection.js';
import {HttpEngineConnector} from '../../../infrastructure/engine/node/httpEngineConnector.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {configuration, FakeViews} from '../../callers/test/callerFakes.js';
import {ModelRequest} from '../../requests/common/request.js';
import {NaiveBroker} from '../node/naiveBroker.js';
import {NaivePipelineDriver} from '../node/naivePipelineDriver.js';

const model = configuration.models['assistant']!;
const promptTokens = ['[reply:5]', 'twelve', 'cubic', 'metres'];
const layerRanges: readonly LayerRange[] = [
  {from: 0, to: 2},
  {from: 2, to: 4},
];

let engines: EngineStandIn;
let connector: HttpEngineConnector;
let views: FakeViews;
let members: readonly UpstreamMember[];

/** Starts the replicas `r0` and `r1` with two engines each. */
beforeEach(async () => {
  const [faultAddress, ...addresses] = await freeAddresses(5);
  members = addresses.map((address, index) => ({
    role: 'engine',
    id: `engine-${index}`,
    address,
    group: `r${Math.floor(index / 2)}`,
    dataCentre: 'dc1',
    region: 'east',
    state: 'live',
  }));
  engines = await startEngines({
    faultAddress: faultAddress!,
    engines: members.map(({id, address}, index) => ({
      id,
      address,
      layers: layerRanges[index % 2]!,
      decodeMilliseconds: 1,
      reportLagMilliseconds: 0,
    })),
  });
  connector = new HttpEngineConnector();
  views = new FakeViews();
});

afterEach(() => {
  connector.dispose();
  engines.dispose();
});

function createRequest(requestId: string): ModelRequest {
  return {
    requestId,
    idempotencyKey: undefined,
    clientAccount: 'one',
    classOfWork: configuration.classes['query']!,
    model,
    adapter: undefined,
    messages: [],
    promptTokens,
    maximumOutputTokens: 20,
    stream: false,
    arrivedAt: 0,
    deadlineAt: 5000,
  };
}

function listUpstreams(ids: readonly number[]): void {
  const upstreams = ids.map(index => members[index]!);
  views.current = {...views.current!, upstreams};
}

test.each([
  {name: 'two complete replicas', ids: [0, 1, 2, 3], refused: false},
  {name: 'one complete replica', ids: [2, 3], refused: false},
  {name: 'half of a replica only', ids: [0], refused: true},
  {name: 'no engine', ids: [], refused: true},
])(
  'with $name listed, requests are refused: $refused',
  async ({ids, refused}) => {
    listUpstreams(ids);
    const broker = new NaiveBroker(views, connector, new SystemClock());
    const driver = new NaivePipelineDriver(broker, connector);
    const expected = expectedReply(promptTokens, model.layerCount, 20);
    for (const requestId of ['first', 'second', 'third']) {
      const seen: string[] = [];
      const sink = (token: string) => void seen.push(token);
      const reply = await driver.run(
        createRequest(requestId),
        sink,
        neverCancelled,
      );
      if (refused) {
        expect(reply).toMatchObject({
          ok: false,
          error: {error: {kind: 'noUpstream'}, executed: 'no'},
        });
      } else {
        expect(reply).toEqual({ok: true, value: {requestId, ...expected}});
        expect(seen).toEqual(expected.tokens);
      }
    }
  },
);

test('a cancelled request leaves no sequence on its engines', async () => {
  listUpstreams([0, 1]);
  const broker = new NaiveBroker(views, connector, new SystemClock());
  const driver = new NaivePipelineDriver(broker, connector);
  const source = new CancellationSource();
  const sink = () => source.cancel('callerGone');
  const reply = await driver.run(createRequest('left'), sink, source.token);
  expect(reply).toMatchObject({ok: false, error: {executed: 'unknown'}});
  for (const {id, address} of members.slice(0, 2)) {
    const engine = connector.connect(id, address);
    const resident = async () => {
      const report = await engine.report(neverCancelled);
      return report.ok && report.value.residentSequences;
    };
    await expect.poll(resident).toBe(0);
  }
});

test('replicas are chosen in turn', async () => {
  listUpstreams([0, 1, 2, 3]);
  const broker = new NaiveBroker(views, connector, new SystemClock());
  const chosen: string[] = [];
  for (let turn = 0; turn < 4; turn += 1) {
    const work = {requestId: `turn-${turn}`} as never;
    const reply = await broker.reserve(work, 'assistant');
    expect(reply.kind).toBe('reserved');
    if (reply.kind === 'reserved') {
      chosen.push(reply.reservation.stages[0]!.upstream);
    }
  }
  expect(chosen).toEqual(['engine-0', 'engine-2', 'engine-0', 'engine-2']);
});
