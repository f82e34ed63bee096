import {randomUUID} from 'node:crypto';

import {CancellationSource} from '../../src/base/common/cancellation.js';
import {StepInput} from '../../src/infrastructure/engine/common/engineConnection.js';
import {HttpEngineConnector} from '../../src/infrastructure/engine/node/httpEngineConnector.js';
import {EngineHandle} from '../../test/support/systemHandles.js';

/** Runs a pipeline directly on its engines, without a router, as the baseline for the router's overhead. */

/** Start of a request and arrival times of its tokens, in monotonic milliseconds. */
export interface DirectReply {
  readonly startedAt: number;
  readonly tokenTimes: readonly number[];
}

const PRIORITY = 100;
const STEP_TIMEOUT_MILLISECONDS = 30000;

/** Calls the stages of one replica in order through the router's engine client. */
export class DirectPipeline {
  private readonly layerCount: number;

  constructor(
    private readonly stages: readonly EngineHandle[],
    private readonly connector: HttpEngineConnector,
  ) {
    this.layerCount = Math.max(
      ...stages.map(stage => stage.settings.layers.to),
    );
  }

  /** Generates a reply. @throws when a step fails. */
  async generate(
    prompt: readonly string[],
    outputTokens: number,
  ): Promise<DirectReply> {
    const startedAt = performance.now();
    const requestId = randomUUID();
    const tokens = [...prompt];
    const tokenTimes: number[] = [];
    let from = 0;
    while (tokenTimes.length < outputTokens) {
      const token = await this.runPass(requestId, tokens, from);
      tokenTimes.push(performance.now());
      from = tokens.length;
      tokens.push(token);
    }
    await this.release(requestId);
    return {startedAt, tokenTimes};
  }

  /** Runs one pass through all stages for the positions starting at `from` and returns the generated token. */
  private async runPass(
    requestId: string,
    tokens: readonly string[],
    from: number,
  ): Promise<string> {
    let input: StepInput = {kind: 'tokens', tokens: tokens.slice(from)};
    let previousUpstream: string | undefined;
    for (const stage of this.stages) {
      const {id, settings} = stage;
      const output = await this.step(stage, {
        requestId,
        epoch: 1,
        model: settings.model,
        version: settings.version,
        layers: settings.layers,
        layerCount: this.layerCount,
        positions: {from, to: tokens.length},
        input,
        priority: PRIORITY,
        rebuild: false,
        previousUpstream,
      });
      if (output.kind === 'token') {
        return output.token;
      }
      input = output;
      previousUpstream = id;
    }
    throw new Error('the last stage returned no token');
  }

  private async step(
    stage: EngineHandle,
    request: Parameters<ReturnType<HttpEngineConnector['connect']>['step']>[0],
  ) {
    const source = new CancellationSource();
    source.cancelAfter(STEP_TIMEOUT_MILLISECONDS, 'engine step timed out');
    const {address} = stage.settings;
    const connection = this.connector.connect(stage.id, address);
    const result = await connection.step(request, source.token);
    source.dispose();
    if (!result.ok) {
      throw new Error(`${stage.id}: ${JSON.stringify(result.error)}`);
    }
    return result.value.output;
  }

  private async release(requestId: string): Promise<void> {
    const source = new CancellationSource();
    for (const stage of this.stages) {
      const {address} = stage.settings;
      const connection = this.connector.connect(stage.id, address);
      await connection.cancel(requestId, 1, source.token);
    }
    source.dispose();
  }
}
