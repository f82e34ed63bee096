import {z} from 'zod';

import {Finding} from '../../../base/common/finding.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {toFindings} from '../../../infrastructure/settings/common/schemaFindings.js';
import {Model} from '../../configuration/common/configuration.js';
import {ChatMessage} from '../../requests/common/request.js';

/** Parses and validates the body of `POST /v1/chat/completions`. */

/** Limit on reply tokens when the caller sets none. */
const DEFAULT_OUTPUT_TOKENS = 256;

/** Highest limit on reply tokens that a caller may set. */
const MAX_OUTPUT_TOKENS = 4096;

const MAX_MESSAGES = 1000;
const BODY_SOURCE = 'body';
const ADAPTER_SEPARATOR = ':';

const contentSchema = z.union(
  [z.string(), z.array(z.object({type: z.literal('text'), text: z.string()}))],
  'a text, or a list of text parts',
);

const outputLimitSchema = z.int().min(1).max(MAX_OUTPUT_TOKENS).nullish();

const chatSchema = z.object({
  model: z.string().min(1),
  messages: z
    .array(z.object({role: z.string().min(1), content: contentSchema}))
    .min(1)
    .max(MAX_MESSAGES),
  stream: z.boolean().nullish(),
  stream_options: z.object({include_usage: z.boolean().optional()}).nullish(),
  max_tokens: outputLimitSchema,
  max_completion_tokens: outputLimitSchema,
  n: z.literal(1).nullish(),
});

/** A validated chat request. */
export interface ChatRequest {
  readonly model: Model;
  readonly adapter: string | undefined;
  readonly messages: readonly ChatMessage[];
  readonly maximumOutputTokens: number;
  readonly stream: boolean;
  /** Whether the stream ends with a usage event. */
  readonly includeUsage: boolean;
}

/** Parses a chat body and resolves its model among the configured ones; a failure holds all findings. */
export function readChatRequest(
  body: string,
  models: Readonly<Record<string, Model>>,
): Result<ChatRequest, readonly Finding[]> {
  const json = parseJson(body);
  if (!json.ok) {
    return json;
  }
  const parsed = chatSchema.safeParse(json.value);
  const findings: Finding[] = parsed.success
    ? []
    : parsed.error.issues.flatMap(issue => toFindings(issue, BODY_SOURCE));
  const modelName = modelNameOf(json.value);
  const target =
    modelName === undefined ? undefined : findModel(modelName, models);
  if (modelName !== undefined && target === undefined) {
    findings.push(
      bodyFinding('$.model', 'a model in use, or `model:adapter` of one'),
    );
  }
  if (!parsed.success || target === undefined) {
    return failure(findings);
  }
  return success(toChatRequest(parsed.data, target));
}

interface ModelTarget {
  readonly model: Model;
  readonly adapter: string | undefined;
}

function toChatRequest(
  data: z.infer<typeof chatSchema>,
  target: ModelTarget,
): ChatRequest {
  return {
    model: target.model,
    adapter: target.adapter,
    messages: data.messages.map(({role, content}) => ({
      role,
      content: contentText(content),
    })),
    maximumOutputTokens:
      data.max_completion_tokens ?? data.max_tokens ?? DEFAULT_OUTPUT_TOKENS,
    stream: data.stream ?? false,
    includeUsage: data.stream_options?.include_usage ?? false,
  };
}

function parseJson(body: string): Result<unknown, readonly Finding[]> {
  try {
    return success(JSON.parse(body) as unknown);
  } catch {
    return failure([bodyFinding('$', 'well-formed JSON')]);
  }
}

function modelNameOf(value: unknown): string | undefined {
  if (typeof value !== 'object' || value === null || !('model' in value)) {
    return undefined;
  }
  const {model} = value;
  return typeof model === 'string' && model !== '' ? model : undefined;
}

function findModel(
  name: string,
  models: Readonly<Record<string, Model>>,
): ModelTarget | undefined {
  if (Object.hasOwn(models, name)) {
    return {model: models[name]!, adapter: undefined};
  }
  const separator = name.lastIndexOf(ADAPTER_SEPARATOR);
  const base = name.slice(0, Math.max(0, separator));
  const adapter = name.slice(separator + 1);
  if (!Object.hasOwn(models, base)) {
    return undefined;
  }
  const model = models[base]!;
  return model.adapters.includes(adapter) ? {model, adapter} : undefined;
}

function contentText(content: z.infer<typeof contentSchema>): string {
  if (typeof content === 'string') {
    return content;
  }
  return content.map(part => part.text).join('');
}

function bodyFinding(path: string, expected: string): Finding {
  return {source: BODY_SOURCE, path, expected};
}
