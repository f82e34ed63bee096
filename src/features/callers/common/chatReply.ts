import {FinishReason, ModelReply} from '../../requests/common/request.js';
import {replyText} from './tokenText.js';

/** Replies in the OpenAI chat format that existing clients parse: as one JSON body or as server-sent events. */

/** The fields that all chunks of a reply share. */
export interface ReplyIdentity {
  readonly requestId: string;
  readonly model: string;
  /** Unix seconds. */
  readonly created: number;
  readonly promptTokenCount: number;
}

/** A complete reply. */
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

export interface ChatUsage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly total_tokens: number;
}

const ID_PREFIX = 'chatcmpl-';
const DONE_EVENT = 'data: [DONE]\n\n';

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

/** The first event of a stream. */
export function openingEvent(identity: ReplyIdentity): string {
  return formatChoiceEvent(identity, {role: 'assistant', content: ''}, null);
}

/** The event for a part of the reply text. */
export function textEvent(identity: ReplyIdentity, text: string): string {
  return formatChoiceEvent(identity, {content: text}, null);
}

/** The events that end a complete reply. A truncated reply ends with {@link errorEvent} instead. */
export function closingEvents(
  identity: ReplyIdentity,
  completion: ChatCompletion,
  includeUsage: boolean,
): string {
  const finish = formatChoiceEvent(
    identity,
    {},
    completion.choices[0].finish_reason,
  );
  const usage = includeUsage
    ? formatUsageEvent(identity, completion.usage)
    : '';
  return `${finish}${usage}${DONE_EVENT}`;
}

/** Formats a recorded reply as events, with the ID of the request that produced it. */
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
  const textPart = textEvent(identity, content);
  return opening + textPart + closingEvents(identity, completion, includeUsage);
}

/** Parses a recorded body; undefined when it isn't a chat reply. */
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

/** The event that ends a reply that can't be completed. */
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

function formatChoiceEvent(
  identity: ReplyIdentity,
  delta: ChunkDelta,
  finishReason: FinishReason | null,
): string {
  return formatChunk(identity, [
    {index: 0, delta, finish_reason: finishReason},
  ]);
}

function formatUsageEvent(identity: ReplyIdentity, usage: ChatUsage): string {
  return formatChunk(identity, [], usage);
}

function formatChunk(
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
