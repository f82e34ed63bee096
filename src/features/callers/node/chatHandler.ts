import {CancellationToken} from '../../../base/common/cancellation.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {TokenSink} from '../../pipeline/common/pipelineDriver.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {ModelRequest} from '../../requests/common/request.js';
import {missingKeyFinding} from '../common/callerHeaders.js';
import {ReplyIdentity, toChatCompletion} from '../common/chatReply.js';
import {ChatRequest, readChatRequest} from '../common/chatRequest.js';
import {CallerAnswer} from '../common/claimAnswers.js';
import {invalidRequest} from '../common/failureBody.js';
import {promptTokens} from '../common/tokenText.js';
import {
  ChatEventFormat,
  ReplyFormat,
  WholeChatFormat,
} from '../common/replyFormat.js';
import {fingerprintOf, RequestIdentity} from './requestFingerprint.js';
import {ExchangePlan} from './requestExchange.js';
import {WorkHandler, WorkInput} from './workHandler.js';

const JSON_TYPE = 'application/json; charset=utf-8';
const MILLISECONDS_PER_SECOND = 1000;

/** `POST /v1/chat/completions`, whole and as server-sent events. */
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
    return success(this.planFor(request, chat.value, input));
  }

  private planFor(
    request: ModelRequest,
    chat: ChatRequest,
    {method}: WorkInput,
  ): ExchangePlan {
    const identity = this.identify(request);
    return {
      claimedKey: this.claimedKey({
        ...request,
        fingerprint: () => fingerprintOf(chatIdentity(request, method)),
      }),
      deadlineAt: request.deadlineAt,
      format: chooseFormat(chat, identity),
      work: (sink, token) => this.run(request, identity, sink, token),
    };
  }

  private async run(
    request: ModelRequest,
    identity: ReplyIdentity,
    sink: TokenSink,
    token: CancellationToken,
  ): Promise<Result<CallerAnswer, RequestFailure>> {
    const reply = await this.services.driver.run(request, sink, token);
    if (!reply.ok) {
      return reply;
    }
    if (reply.value.requestId !== request.requestId) {
      throw new Error(
        'The pipeline answered with the reply to another request',
      );
    }
    const body = JSON.stringify(toChatCompletion(identity, reply.value));
    return success({status: 200, contentType: JSON_TYPE, body});
  }

  private identify(request: ModelRequest): ReplyIdentity {
    const wall = this.services.clock.wallMilliseconds();
    return {
      requestId: request.requestId,
      model: request.model.name,
      created: Math.floor(wall / MILLISECONDS_PER_SECOND),
      promptTokenCount: request.promptTokens.length,
    };
  }
}

/** The fields that the reply hangs on; a recorded reply may be asked for whole or as events. */
function chatIdentity(request: ModelRequest, method: string): RequestIdentity {
  const {model, adapter, messages, maximumOutputTokens} = request;
  const read = [model.name, adapter ?? null, messages, maximumOutputTokens];
  return {
    kind: 'chat',
    method,
    path: '',
    body: JSON.stringify(read),
    classOfWork: request.classOfWork.name,
  };
}

function chooseFormat(chat: ChatRequest, identity: ReplyIdentity): ReplyFormat {
  return chat.stream
    ? new ChatEventFormat(identity, chat.includeUsage)
    : new WholeChatFormat();
}
