import {afterEach, beforeEach, expect, test} from 'vitest';

import {neverCancelled} from '../../../base/common/cancellation.js';
import {SystemClock} from '../../../base/node/systemClock.js';
import {HttpEngineConnector} from '../../../infrastructure/engine/node/httpEngineConnector.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {SilentMetrics} from '../../../infrastructure/metrics/common/metrics.js';
import {freeAddresses} from '../../../../test/support/ports.js';
import {EngineFault} from '../../../../test/standins/engineSettings.js';
import {
  EngineStandIn,
  startEngines,
} from '../../../../test/standins/engineStandIn.js';
import {expectedReply} from '../../../../test/standins/referenceModel.js';
import {defaultPipelineSettings} from '../common/pipelineSettings.js';
import {StrictSafeguards} from '../common/safeguards.js';
import {DefaultPipelineDriver} from '../node/defaultPipelineDriver.js';
import {
  layerCount,
  FirstMatchBroker,
  makeRequest,
  layerRanges,
  upstreamName,
} from './pipelineHarness.js';

const clock = new SystemClock();
let standIn: EngineStandIn;
let connector: HttpEngineConnector;
let driver: DefaultPipelineDriver;

beforeEach(async () => {
  const [faultAddress, ...addresses] = await freeAddresses(7);
  const engines = layerRanges.flatMap((layers, stage) =>
    [0, 1].map(replica => ({
      upstream: upstreamName(stage, replica),
      id: upstreamName(stage, replica),
      address: addresses[stage * 2 + replica]!,
      layers,
      model: 'm',
      checksFencing: replica === 1,
      decodeMilliseconds: 2,
    })),
  );
  standIn = await startEngines({faultAddress: faultAddress!, engines});
  connector = new HttpEngineConnector();
  driver = new DefaultPipelineDriver({
    broker: new FirstMatchBroker(engines, clock, {}),
    connector,
    clock,
    logger: new SilentLogger(),
    metrics: new SilentMetrics(),
    settings: defaultPipelineSettings,
    safeguards: new StrictSafeguards(),
    isLeaving: () => false,
  });
});

afterEach(() => {
  connector.dispose();
  standIn.dispose();
});

const faults: readonly EngineFault[] = [
  {kind: 'clear'},
  {kind: 'die'},
  {kind: 'dieAfterSteps', steps: 1, point: 'begun'},
  {kind: 'dieAfterSteps', steps: 1, point: 'computed'},
  {kind: 'freeze'},
  {kind: 'loseCaches'},
  {kind: 'requestLost'},
  {kind: 'answerLost'},
  {kind: 'late', milliseconds: 1500},
  {kind: 'crossed'},
  {kind: 'twice'},
  {kind: 'refuse'},
  {kind: 'overload', retryAfterMilliseconds: 10},
];

test.each(faults.flatMap(fault => [0, 1, 2].map(stage => ({fault, stage}))))(
  'a request over HTTP completes after fault $fault at stage $stage',
  async ({fault, stage}) => {
    const request = makeRequest('q0', clock.monotonicMilliseconds());
    const delivered: string[] = [];
    const result = await driver.run(
      request,
      async (token, index) => {
        expect(index).toBe(delivered.length);
        delivered.push(token);
        if (index === 3) {
          await standIn.setFault({
            engine: upstreamName(stage, 0),
            fault,
            times: 1,
          });
        }
      },
      neverCancelled,
    );
    const {tokens} = expectedReply(request.promptTokens, layerCount, 40);
    expect(result).toMatchObject({ok: true, value: {tokens}});
    expect(delivered).toEqual(tokens);
  },
);
