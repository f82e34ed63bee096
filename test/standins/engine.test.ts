import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  CancellationSource,
  neverCancelled,
} from '../../src/base/common/cancellation.js';
import {
  EngineConnection,
  EngineOrder,
  LayerRange,
  StepInput,
  StepRequest,
} from '../../src/infrastructure/engine/common/engineConnection.js';
import {HttpEngineConnector} from '../../src/infrastructure/engine/node/httpEngineConnector.js';
import {freeAddresses} from '../support/ports.js';
import {EngineFault, EngineSettings} from './engineSettings.js';
import {EngineStandIn, startEngines} from './engineStandIn.js';
import {expectedReply, tokenize} from './referenceModel.js';

const LAYER_COUNT = 6;
const LAYERS: readonly LayerRange[] = [
  {from: 0, to: 2},
  {from: 2, to: 6},
];
const PROMPT = tokenize('[reply:5] pour twelve cubic metres at bay two');

let standIn: EngineStandIn;
let connector: HttpEngineConnector;
let address: string;
let stages: readonly EngineConnection[];

async function start(extra: Partial<EngineSettings> = {}): Promise<void> {
  const [faultAddress, ...addresses] = await freeAddresses(3);
  address = addresses[0]!;
  const engines = LAYERS.map((layers, index) => ({
    id: `engine-${index}`,
    address: addresses[index]!,
    layers,
    decodeMilliseconds: 1,
    reportLagMilliseconds: 0,
    ...extra,
  }));
  standIn = await startEngines({faultAddress: faultAddress!, engines});
  connector = new HttpEngineConnector();
  stages = engines.map(engine => connector.connect(engine.id, engine.address));
}

function stop(): void {
  connector.dispose();
  standIn.dispose();
}

async function restart(extra: Partial<EngineSettings>): Promise<void> {
  stop();
  await start(extra);
}

beforeEach(() => start());

afterEach(stop);

function stepOf(
  requestId: string,
  stage: number,
  from: number,
  input: StepInput,
  to: number,
  epoch = 0,
): StepRequest {
  return {
    requestId,
    epoch,
    model: 'assistant',
    version: '1',
    layers: LAYERS[stage]!,
    layerCount: LAYER_COUNT,
    positions: {from, to},
    input,
    priority: 0,
    rebuild: false,
    previousUpstream: stage === 0 ? undefined : `engine-${stage - 1}`,
  };
}

/** Runs tokens from a position through all stages; returns the last output or the first error. */
async function pass(
  id: string,
  from: number,
  tokens: readonly string[],
  epoch = 0,
) {
  let input: StepInput = {kind: 'tokens', tokens};
  const to = from + tokens.length;
  for (const [stage, connection] of stages.entries()) {
    const step = stepOf(id, stage, from, input, to, epoch);
    const result = await connection.step(step, neverCancelled);
    if (!result.ok) {
      return result.error;
    }
    const {output} = result.value;
    if (output.kind === 'token') {
      return output;
    }
    input = output;
  }
  throw new Error('no last stage');
}

async function reply(id: string, epoch = 0, known: readonly string[] = []) {
  const tokens = [...known];
  let from = 0;
  let fresh: readonly string[] = [...PROMPT, ...known];
  for (;;) {
    const output = await pass(id, from, fresh, epoch);
    if (output.kind !== 'token') {
      return output;
    }
    tokens.push(output.token);
    if (output.endOfText) {
      return tokens;
    }
    from += fresh.length;
    fresh = [output.token];
  }
}

/** An order for the first stage to hold its present layers. */
function orderOf(fencing: number, order: number, version: string): EngineOrder {
  return {
    fencing,
    order,
    model: 'assistant',
    version,
    adapters: [],
    layers: LAYERS[0]!,
    role: 'both',
  };
}

const firstStep = (id = 'r', epoch = 0) =>
  stepOf(id, 0, 0, {kind: 'tokens', tokens: PROMPT}, PROMPT.length, epoch);

describe('model computation', () => {
  const right = expectedReply(PROMPT, LAYER_COUNT, 100);

  it('two stages generate the reference reply, also after a rebuild', async () => {
    expect(right.tokens).toHaveLength(5);
    expect(await reply('whole')).toEqual(right.tokens);
    await pass('rebuilt', 0, PROMPT);
    const rebuilt = await reply('rebuilt', 1, right.tokens.slice(0, 3));
    expect(rebuilt).toEqual(right.tokens);
  });

  it('the reference reply has the correct finish reason', () => {
    expect(right.finishReason).toBe('stop');
    expect(expectedReply(PROMPT, LAYER_COUNT, 2)).toEqual({
      tokens: right.tokens.slice(0, 2),
      finishReason: 'length',
    });
    expect(expectedReply(PROMPT, LAYER_COUNT - 1, 5)).not.toEqual(right);
  });
});

describe('outcomes of a single step under faults', () => {
  const cases: ReadonlyArray<readonly [EngineFault, string, boolean]> = [
    [{kind: 'die'}, 'unreachable', false],
    [{kind: 'requestLost'}, 'lost', false],
    [{kind: 'answerLost'}, 'lost', true],
    [{kind: 'crossed'}, 'mismatch', true],
    [{kind: 'refuse'}, 'refused', false],
    [{kind: 'overload', retryAfterMilliseconds: 9}, 'overloaded', false],
    [{kind: 'leaving', leaving: true}, 'refused', false],
    [{kind: 'dieAfterSteps', steps: 1, point: 'computed'}, 'lost', true],
  ];
  it.each(cases)(
    'a step under fault %j has the outcome %s; executed: %s',
    async (fault, kind, executed) => {
      await standIn.setFault({fault, engine: 'engine-0', times: 1});
      const result = await stages[0]!.step(firstStep(), neverCancelled);
      expect(!result.ok && result.error.kind).toBe(kind);
      const done = standIn.ledger('engine-0').map(entry => entry.kind);
      expect(done.includes('completed')).toBe(executed);
    },
  );

  it('a duplicated response is not accepted as the response of the next step', async () => {
    const fault = {kind: 'twice'} as const;
    await standIn.setFault({fault, engine: 'engine-0', times: 1});
    // With a single connection, both steps share it.
    const single = new HttpEngineConnector({steps: {connections: 1}});
    const first = single.connect('engine-0', address);
    const right = await first.step(firstStep('a'), neverCancelled);
    expect(right.ok).toBe(true);
    const next = await first.step(firstStep('b'), neverCancelled);
    expect(!next.ok && next.error.kind).toBe('mismatch');
    single.dispose();
  });

  it('a step on a frozen engine can be cancelled, and is refused as stale after the thaw', async () => {
    await standIn.setFault({fault: {kind: 'freeze'}});
    const source = new CancellationSource();
    source.cancelAfter(30, 'too long');
    const result = await stages[0]!.step(firstStep(), source.token);
    expect(!result.ok && result.error.kind).toBe('cancelled');
    await standIn.setFault({fault: {kind: 'clear'}});
    const cancelled = await stages[0]!.cancel('r', 0, neverCancelled);
    expect(cancelled.ok).toBe(true);
    const late = await stages[0]!.step(firstStep(), neverCancelled);
    expect(late).toMatchObject({error: {kind: 'stale', highest: 0}});
  });
});

describe('KV caches, epochs and slots', () => {
  it('a step beyond the cached positions is refused', async () => {
    await pass('r', 0, PROMPT);
    const result = await pass('r', PROMPT.length + 1, ['x']);
    const coveredTo = PROMPT.length;
    expect(result).toEqual({kind: 'cacheMissing', coveredTo});
  });

  it.each([
    [true, 'stale'],
    [false, 'token'],
  ])(
    'with fencing %s, an old epoch results in %s',
    async (checksFencing, kind) => {
      await restart({checksFencing});
      await pass('r', 0, PROMPT, 2);
      expect((await pass('r', 0, PROMPT, 1)).kind).toBe(kind);
      const order = orderOf(5, 1, '1');
      const [first] = stages;
      expect((await first!.order(order, neverCancelled)).ok).toBe(true);
      expect((await first!.order(order, neverCancelled)).ok).toBe(true);
      const old = {...order, fencing: 4, order: 9};
      const answer = await first!.order(old, neverCancelled);
      expect(answer.ok).toBe(!checksFencing);
    },
  );

  it('sequences beyond the limit wait by priority, and a cancelled one frees its slot', async () => {
    await restart({sequenceLimit: 1});
    const [first] = stages;
    await first!.step(firstStep('resident'), neverCancelled);
    const finished: string[] = [];
    const waiting = ['low', 'high'].map(async (id, index) => {
      const step = {...firstStep(id), priority: 5 - index};
      await first!.step(step, neverCancelled);
      finished.push(id);
      await first!.cancel(id, 0, neverCancelled);
    });
    const queued = async () => {
      const report = await first!.report(neverCancelled);
      return report.ok && report.value.queuedSequences;
    };
    await expect.poll(queued).toBe(2);
    const cancelled = await first!.cancel('resident', 0, neverCancelled);
    expect(cancelled).toMatchObject({value: {state: 'idle', begun: true}});
    await Promise.all(waiting);
    expect(finished).toEqual(['high', 'low']);
    const unknown = await first!.cancel('never', 0, neverCancelled);
    expect(unknown).toMatchObject({value: {state: 'idle', begun: false}});
  });

  it('a KV cache can be moved to another engine with the same layers', async () => {
    await pass('r', 0, PROMPT);
    const [faultAddress, address] = await freeAddresses(2);
    const other = await startEngines({
      faultAddress: faultAddress!,
      engines: [{id: 'other', address: address!, layers: LAYERS[1]!}],
    });
    const target = connector.connect('other', address!);
    const exported = await stages[1]!.exportCache('r', neverCancelled);
    if (!exported.ok) {
      throw new Error(exported.error.kind);
    }
    const imported = await target.importCache(
      'r',
      1,
      exported.value,
      neverCancelled,
    );
    const positions = {from: 0, to: PROMPT.length};
    expect(imported).toEqual({ok: true, value: positions});
    await standIn.setFault({fault: {kind: 'die'}, engine: 'engine-1'});
    stages = [stages[0]!, target];
    const {tokens} = expectedReply(PROMPT, LAYER_COUNT, 2);
    const next = await pass('r', PROMPT.length, [tokens[0]!], 1);
    expect(next).toMatchObject({token: tokens[1]});
    other.dispose();
  });

  it('an order for another version loads it and discards the KV caches', async () => {
    await restart({loadMilliseconds: 40});
    await pass('r', 0, PROMPT);
    await stages[0]!.order(orderOf(1, 7, '2'), neverCancelled);
    const report = async () => {
      const answer = await stages[0]!.report(neverCancelled);
      return answer.ok && answer.value;
    };
    expect(await report()).toMatchObject({appliedOrder: 7, version: '2'});
    const early = await stages[0]!.step(firstStep('n'), neverCancelled);
    expect(early).toMatchObject({error: {kind: 'refused'}});
    await expect.poll(report).toMatchObject({loading: false});
    const step = {...firstStep('n'), version: '2'};
    expect((await stages[0]!.step(step, neverCancelled)).ok).toBe(true);
  });
});
