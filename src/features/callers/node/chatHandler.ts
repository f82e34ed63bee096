import {CancellationToken} from '../../../base/common/cancellation.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {TokenSink} from '../../pipeline/common/pipelineDriver.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {ModelRequest} from '../../requests/common/request.js';
import {missingKeyFinding} from '../common/callerHeaders.js';
import {ReplyIdentity, toChatCompletion} from '../common/chatReply.js';
import {ChatRequest, readChatRequest} from '../common/chatRequest.js';
import {ResponseContent} from '../common/claimActions.js';
import {invalidRequest} from '../common/failureBody.js';
import {promptTokens} from '../common/tokenText.js';
import {
  StreamedChatFormat,
  ReplyFormat,
  BufferedChatFormat,
} from '../common/replyFormat.js';
import {fingerprintOf, RequestIdentity} from './requestFingerprint.js';
import {ExchangePlan} from './requestExchange.js';
import {WorkHandler, WorkInput} from './workHandler.js';

const JSON_TYPE = 'application/json; charset=utf-8';
const MILLISECONDS_PER_SECOND = 1000;

/** `POST /v1/chat/completions`, as one body or as server-sent events. */
export class ChatHandler extends WorkHandler {
  protected override readonly name = 'chat';

  protected override plan(
    input: WorkInput,
  ): Result<ExchangePlan, RequestFailure> {
    const {headers, configuration} = input;
    const chat = readChatRequest(input.body, configuration.models);
    const {classOfWork, idempotencyKey} = headers;
    const findings = [...headers.findings, ...(chat.ok ? [] : chat.error)];
    const needsKey = classOfWork !== undefined && !classOfWork.repeatable;
    if (needsKey && !input.headers.hasKey) {
      findings.push(missingKeyFinding());
    }
    if (!chat.ok || classOfWork === undefined || findings.length > 0) {
      return failure(invalidRequest(findings));
    }
    const deadlineAt = this.deadlineAt(input, classOfWork);
    const request: ModelRequest = {
      ...chat.value,
      requestId: input.requestId,
      idempotencyKey,
      clientAccount: input.account.name,
      classOfWork,
      promptTokens: promptTokens(chat.value.messages),
      arrivedAt: input.arrivedAt,
      deadlineAt,
    };
    return success(this.createPlan(request, chat.value, input));
  }

  private createPlan(
    request: ModelRequest,
    chat: ChatRequest,
    {method}: WorkInput,
  ): ExchangePlan {
    const identity = this.createReplyIdentity(request);
    return {
      claimedKey: this.claimedKey({
        ...request,
        fingerprint: () => fingerprintOf(toRequestIdentity(request, method)),
      }),
      deadlineAt: request.deadlineAt,
      format: createReplyFormat(chat, identity),
      work: (sink, token) => this.run(request, identity, sink, token),
    };
  }

  private async run(
    request: ModelRequest,
    identity: ReplyIdentity,
    sink: TokenSink,
    token: CancellationToken,
  ): Promise<Result<ResponseContent, RequestFailure>> {
    const reply = await this.services.driver.run(request, sink, token);
    if (!reply.ok) {
      return reply;
    }
    if (reply.value.requestId !== request.requestId) {
      throw new Error('The pipeline returned the reply of another request');
    }
    const body = JSON.stringify(toChatCompletion(identity, reply.value));
    return success({status: 200, contentType: JSON_TYPE, body});
  }

  private createReplyIdentity(request: ModelRequest): ReplyIdentity {
    const wall = this.services.clock.wallMilliseconds();
    return {
      requestId: request.requestId,
      model: request.model.name,
      created: Math.floor(wall / MILLISECONDS_PER_SECOND),
      promptTokenCount: request.promptTokens.length,
    };
  }
}

/** The fields that determine the reply. Streaming isn't one: a recorded reply can be sent in either format. */
function toRequestIdentity(
  request: ModelRequest,
  method: string,
): RequestIdentity {
  const {model, adapter, messages, maximumOutputTokens} = request;
  const outputFields = [
    model.name,
    adapter ?? null,
    messages,
    maximumOutputTokens,
  ];
  return {
    kind: 'chat',
    method,
    path: '',
    body: JSON.stringify(outputFields),
    classOfWork: request.classOfWork.name,
  };
}

function createReplyFormat(
  chat: ChatRequest,
  identity: ReplyIdentity,
): ReplyFormat {
  return chat.stream
    ? new StreamedChatFormat(identity, chat.includeUsage)
    : new BufferedChatFormat();
}
