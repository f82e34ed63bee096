import {
  CancellationToken,
  neverCancelled,
} from '../../../base/common/cancellation.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {
  EngineConnector,
  EngineError,
  PositionRange,
  StepInput,
  StepOutput,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {
  PipelineDriver,
  TokenSink,
} from '../../pipeline/common/pipelineDriver.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {
  FinishReason,
  ModelReply,
  ModelRequest,
} from '../../requests/common/request.js';
import {CapacityBroker, ChosenStage} from '../../routing/common/routing.js';

const EPOCH = 1;
const PRIORITY = 0;

/** Baseline for comparison: runs a request on its reserved stages without checks or recovery. */
export class NaivePipelineDriver extends PipelineDriver {
  constructor(
    private readonly broker: CapacityBroker,
    private readonly connector: EngineConnector,
  ) {
    super();
  }

  override async run(
    request: ModelRequest,
    sink: TokenSink,
    token: CancellationToken,
  ): Promise<Result<ModelReply, RequestFailure>> {
    const model = request.model.name;
    const reply = await this.broker.reserve(
      estimateWork(request),
      model,
      token.signal,
    );
    if (reply.kind === 'refused') {
      return failure({
        error: {kind: 'noUpstream', detail: 'no whole replica is live'},
        executed: 'no',
        retryAfterMilliseconds: reply.retryAfterMilliseconds,
        addresses: [],
      });
    }
    const {stages} = reply.reservation;
    const outcome = await this.generate(request, stages, sink, token);
    void this.freeEngines(request.requestId, stages);
    return outcome;
  }

  private async generate(
    request: ModelRequest,
    stages: readonly ChosenStage[],
    sink: TokenSink,
    token: CancellationToken,
  ): Promise<Result<ModelReply, RequestFailure>> {
    const generated: string[] = [];
    let input = request.promptTokens;
    let positions: PositionRange = {from: 0, to: input.length};
    let finishReason: FinishReason = 'length';
    while (generated.length < request.maximumOutputTokens) {
      const pass = {input, positions};
      const output = await this.runPass(request, stages, pass, token);
      if (!output.ok) {
        return failure(upstreamFailure(output.error));
      }
      const {token: text, endOfText} = output.value;
      if (text !== '' || !endOfText) {
        await sink(text, generated.length);
        generated.push(text);
      }
      if (endOfText) {
        finishReason = 'stop';
        break;
      }
      input = [text];
      positions = {from: positions.to, to: positions.to + 1};
    }
    const {requestId} = request;
    return success({requestId, tokens: generated, finishReason});
  }

  /** Runs one pass through all stages, which produces one token. */
  private async runPass(
    request: ModelRequest,
    stages: readonly ChosenStage[],
    pass: TokenPass,
    token: CancellationToken,
  ): Promise<Result<TokenOutput, EngineError>> {
    let input: StepInput = {kind: 'tokens', tokens: pass.input};
    let previousUpstream: string | undefined;
    for (const stage of stages) {
      const engine = this.connector.connect(stage.upstream, stage.address);
      const receipt = await engine.step(
        {
          requestId: request.requestId,
          epoch: EPOCH,
          model: request.model.name,
          version: request.model.version,
          adapter: request.adapter,
          layers: stage.layers,
          layerCount: request.model.layerCount,
          positions: pass.positions,
          input,
          priority: PRIORITY,
          rebuild: false,
          previousUpstream,
        },
        token,
      );
      if (!receipt.ok) {
        return receipt;
      }
      const {output} = receipt.value;
      if (output.kind === 'token') {
        return success(output);
      }
      input = output;
      previousUpstream = stage.upstream;
    }
    const detail = 'the last stage made no token';
    return failure({kind: 'mismatch', detail});
  }

  /** Makes the engines free the KV cache of a request that has ended. */
  private async freeEngines(
    requestId: string,
    stages: readonly ChosenStage[],
  ): Promise<void> {
    await Promise.all(
      stages.map(({upstream, address}) =>
        this.connector
          .connect(upstream, address)
          .cancel(requestId, EPOCH, neverCancelled),
      ),
    );
  }
}

interface TokenPass {
  readonly input: readonly string[];
  readonly positions: PositionRange;
}

type TokenOutput = Extract<StepOutput, {readonly kind: 'token'}>;

function estimateWork(request: ModelRequest) {
  const {classOfWork} = request;
  return {
    requestId: request.requestId,
    classOfWork: classOfWork.name,
    clientAccount: request.clientAccount,
    adapter: request.adapter,
    promptTokens: request.promptTokens.length,
    outputTokens: request.maximumOutputTokens,
    prefixKey: undefined,
    firstTokenWithinMilliseconds: classOfWork.firstTokenMilliseconds,
    betweenTokensTargetMilliseconds: classOfWork.betweenTokensMilliseconds,
    deadlineWithinMilliseconds: classOfWork.deadlineMilliseconds,
    priority: PRIORITY,
  };
}

function upstreamFailure(error: EngineError): RequestFailure {
  return {
    error: {kind: 'upstreamFailed', detail: error.kind},
    executed: 'unknown',
    retryAfterMilliseconds: undefined,
    addresses: [],
  };
}
