import {randomUUID} from 'node:crypto';

import {CancellationSource} from '../../src/base/common/cancellation.js';
import {StepInput} from '../../src/infrastructure/engine/common/engineConnection.js';
import {HttpEngineConnector} from '../../src/infrastructure/engine/node/httpEngineConnector.js';
import {EngineHandle} from '../../test/support/systemParts.js';

/** Drives a pipeline of engines with nothing between: what the router's own time is measured against. */

/** When the tokens of a reply came, in monotonic milliseconds. */
export interface DirectReply {
  readonly startedAt: number;
  readonly tokenTimes: readonly number[];
}

const PRIORITY = 100;
const CALL_MILLISECONDS = 30000;

/** The stages of one replica, called in order over the router's own engine client. */
export class DirectPipeline {
  private readonly layerCount: number;

  constructor(
    private readonly stages: readonly EngineHandle[],
    private readonly connector: HttpEngineConnector,
  ) {
    this.layerCount = Math.max(...stages.map(one => one.settings.layers.to));
  }

  /** Generates a reply; throws when a step fails. */
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
      const token = await this.pass(requestId, tokens, from);
      tokenTimes.push(performance.now());
      from = tokens.length;
      tokens.push(token);
    }
    await this.release(requestId);
    return {startedAt, tokenTimes};
  }

  /** One pass over the positions from `from`; the token that it yields. */
  private async pass(
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
    throw new Error('the last stage gave no token');
  }

  private async step(
    stage: EngineHandle,
    request: Parameters<ReturnType<HttpEngineConnector['connect']>['step']>[0],
  ) {
    const source = new CancellationSource();
    source.cancelAfter(CALL_MILLISECONDS, 'took too long');
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
