import {FinishReason, ModelReply} from '../../requests/common/request.js';
import {replyText} from './tokenText.js';

/** Replies in the shape that existing model clients read: whole, and as server-sent events. */

/** What the parts of one reply have in common. */
export interface ReplyIdentity {
  readonly requestId: string;
  readonly model: string;
  /** Unix seconds. */
  readonly created: number;
  readonly promptTokenCount: number;
}

/** A whole reply. */
export interface ChatCompletion {
  readonly id: string;
  readonly object: 'chat.completion';
  readonly created: number;
  readonly model: string;
  readonly choices: readonly [
    {
      readonly index: 0;
      readonly message: {readonly role: 'assistant'; readonly content: string};
      readonly finish_reason: FinishReason;
    },
  ];
  readonly usage: ChatUsage;
}

/** Token counts. */
export interface ChatUsage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly total_tokens: number;
}

const ID_PREFIX = 'chatcmpl-';
const DONE_EVENT = 'data: [DONE]\n\n';

/** Forms a whole reply. */
export function toChatCompletion(
  identity: ReplyIdentity,
  reply: ModelReply,
): ChatCompletion {
  return {
    id: `${ID_PREFIX}${identity.requestId}`,
    object: 'chat.completion',
    created: identity.created,
    model: identity.model,
    choices: [
      {
        index: 0,
        message: {role: 'assistant', content: replyText(reply.tokens)},
        finish_reason: reply.finishReason,
      },
    ],
    usage: usageOf(identity, reply.tokens.length),
  };
}

/** The event that opens a stream. */
export function openingEvent(identity: ReplyIdentity): string {
  return chunkEvent(identity, {role: 'assistant', content: ''}, null);
}

/** The event of a part of the text. */
export function textEvent(identity: ReplyIdentity, text: string): string {
  return chunkEvent(identity, {content: text}, null);
}

/** The events that end a whole reply, and only a whole one. */
export function closingEvents(
  identity: ReplyIdentity,
  completion: ChatCompletion,
  includeUsage: boolean,
): string {
  const finish = chunkEvent(identity, {}, completion.choices[0].finish_reason);
  const usage = includeUsage ? usageEvent(identity, completion.usage) : '';
  return `${finish}${usage}${DONE_EVENT}`;
}

/** A recorded reply as events; it keeps the id of the request that ran. */
export function replayEvents(
  completion: ChatCompletion,
  includeUsage: boolean,
): string {
  const identity: ReplyIdentity = {
    requestId: completion.id.slice(ID_PREFIX.length),
    model: completion.model,
    created: completion.created,
    promptTokenCount: completion.usage.prompt_tokens,
  };
  const content = completion.choices[0].message.content;
  const opening = openingEvent(identity);
  const whole = textEvent(identity, content);
  return opening + whole + closingEvents(identity, completion, includeUsage);
}

/** Reads a recorded body back; undefined when it is no chat reply. */
export function parseChatCompletion(body: string): ChatCompletion | undefined {
  try {
    const value = JSON.parse(body) as Partial<ChatCompletion> | null;
    return value?.object === 'chat.completion'
      ? (value as ChatCompletion)
      : undefined;
  } catch {
    return undefined;
  }
}

/** The event that ends a reply which can't be finished. */
export function errorEvent(failureBody: unknown): string {
  return `event: error\ndata: ${JSON.stringify(failureBody)}\n\n`;
}

function usageOf(identity: ReplyIdentity, outputTokens: number): ChatUsage {
  return {
    prompt_tokens: identity.promptTokenCount,
    completion_tokens: outputTokens,
    total_tokens: identity.promptTokenCount + outputTokens,
  };
}

interface ChunkDelta {
  readonly role?: 'assistant';
  readonly content?: string;
}

function chunkEvent(
  identity: ReplyIdentity,
  delta: ChunkDelta,
  finishReason: FinishReason | null,
): string {
  return chunk(identity, [{index: 0, delta, finish_reason: finishReason}]);
}

function usageEvent(identity: ReplyIdentity, usage: ChatUsage): string {
  return chunk(identity, [], usage);
}

function chunk(
  identity: ReplyIdentity,
  choices: readonly unknown[],
  usage?: ChatUsage,
): string {
  const body = {
    id: `${ID_PREFIX}${identity.requestId}`,
    object: 'chat.completion.chunk',
    created: identity.created,
    model: identity.model,
    choices,
    usage,
  };
  return `data: ${JSON.stringify(body)}\n\n`;
}
