/**
 * The model that engine stand-ins compute. Each position carries a hash through the layers; each layer mixes it with a
 * running hash over all earlier positions, which is its KV cache. A layer that is skipped, applied twice or out of
 * order, or a wrong cache, changes all following tokens.
 */

/** The KV cache of one layer: a running hash at each position. */
export type LayerCache = number[];

/** Lengths of prompt and reply in tokens, as computed by a first stage. */
export interface ReplyPlan {
  readonly promptLength: number;
  readonly replyLength: number;
}

/** The correct reply to a prompt. */
export interface ExpectedReply {
  readonly tokens: readonly string[];
  readonly finishReason: 'stop' | 'length';
}

/** An activation passed between stages. */
interface Activation {
  /** Reply tokens still to be generated, including the next one. */
  readonly remaining: number;
  /** One hash per position. */
  readonly hashes: readonly number[];
}

const CACHE_SEED = 0x51ed270b;
const HASH_START = 0x811c9dc5;
const HASH_PRIME = 0x01000193;
const MIN_REPLY_TOKENS = 8;
const REPLY_LENGTH_RANGE_TOKENS = 24;
const CONSONANTS = 'bdfgklmnprstvzjh';
const VOWELS = 'aeio';
const SYLLABLES = 5;
const SYLLABLE_BITS = 6;
const HEX_DIGITS_PER_HASH = 8;

/** Prompt token that sets the reply length, for example `[reply:20]`. */
const LENGTH_MARKER = /^\[reply:(\d+)\]$/;

/** Format of the tokens that the model generates, for example `ka-lo-vi-ta-be`. */
const REPLY_TOKEN = /^[a-z]{2}(-[a-z]{2}){4}$/;

/** Splits a prompt into tokens at whitespace. */
export function tokenize(text: string): readonly string[] {
  return text.split(/\s+/).filter(word => word.length > 0);
}

/** The hash of a token that enters the first layer. */
export function hashToken(token: string): number {
  let hash = HASH_START;
  for (let index = 0; index < token.length; index++) {
    hash = Math.imul(hash ^ token.charCodeAt(index), HASH_PRIME);
  }
  return hash >>> 0;
}

/** Applies one layer to the positions from `from` on; truncates its cache there and extends it. */
export function applyLayer(
  layer: number,
  cache: LayerCache,
  from: number,
  hashes: readonly number[],
): readonly number[] {
  cache.length = from;
  return hashes.map(hash => {
    const previous = cache.at(-1) ?? CACHE_SEED;
    const state = mix(previous, mix(layer + 1, hash));
    cache.push(state);
    return mix(state, hash);
  });
}

/** The generated token for the last layer's hash of a position. */
export function tokenFromHash(hash: number): string {
  const syllables = [];
  for (let index = 0; index < SYLLABLES; index++) {
    const bits = (hash >>> (index * SYLLABLE_BITS)) & 63;
    syllables.push(`${CONSONANTS[bits >>> 2]}${VOWELS[bits & 3]}`);
  }
  return syllables.join('-');
}

/** Computes prompt and reply length; the prompt ends at the last token that the model did not generate. */
export function planReply(tokens: readonly string[]): ReplyPlan {
  let promptLength = tokens.length;
  while (promptLength > 0 && isReplyToken(tokens[promptLength - 1] ?? '')) {
    promptLength--;
  }
  const prompt = tokens.slice(0, promptLength);
  return {promptLength, replyLength: replyLengthOf(prompt)};
}

/** Whether a token has the format of generated tokens; appending such a token never changes a reply plan. */
export function isReplyToken(token: string): boolean {
  return REPLY_TOKEN.test(token);
}

function replyLengthOf(prompt: readonly string[]): number {
  for (const token of prompt) {
    const marked = LENGTH_MARKER.exec(token);
    if (marked !== null) {
      return Math.max(1, Number(marked[1]));
    }
  }
  return (
    MIN_REPLY_TOKENS + (hashToken(prompt.join(' ')) % REPLY_LENGTH_RANGE_TOKENS)
  );
}

/** Reply tokens still to be generated at a position, including the next one. */
export function remainingTokens(plan: ReplyPlan, position: number): number {
  return plan.replyLength - (position - plan.promptLength);
}

/** Encodes an activation for transfer as `remaining:hashes`, with eight hexadecimal digits per hash. */
export function encodeActivation(activation: Activation): string {
  const digits = activation.hashes.map(hash =>
    hash.toString(16).padStart(HEX_DIGITS_PER_HASH, '0'),
  );
  return `${activation.remaining}:${digits.join('')}`;
}

/** Decodes an activation; undefined when it is malformed or its number of positions differs. */
export function decodeActivation(
  data: string,
  positions: number,
): Activation | undefined {
  const separator = data.indexOf(':');
  const digits = data.slice(separator + 1);
  if (separator < 1 || digits.length !== positions * HEX_DIGITS_PER_HASH) {
    return undefined;
  }
  const hashes = [];
  for (let index = 0; index < digits.length; index += HEX_DIGITS_PER_HASH) {
    hashes.push(
      Number.parseInt(digits.slice(index, index + HEX_DIGITS_PER_HASH), 16),
    );
  }
  return {remaining: Number(data.slice(0, separator)), hashes};
}

/** Computes the correct reply to a prompt. */
export function expectedReply(
  promptTokens: readonly string[],
  layerCount: number,
  maximumOutputTokens: number,
): ExpectedReply {
  const plan = planReply(promptTokens);
  const caches: LayerCache[] = Array.from({length: layerCount}, () => []);
  const tokens: string[] = [];
  let from = 0;
  let newTokens = promptTokens;
  while (tokens.length < maximumOutputTokens) {
    const hash = runLayers(caches, from, newTokens);
    const token = tokenFromHash(hash);
    tokens.push(token);
    from += newTokens.length;
    if (remainingTokens(plan, from) <= 1) {
      return {tokens, finishReason: 'stop'};
    }
    newTokens = [token];
  }
  return {tokens, finishReason: 'length'};
}

function runLayers(
  caches: readonly LayerCache[],
  from: number,
  tokens: readonly string[],
): number {
  let hashes: readonly number[] = tokens.map(hashToken);
  caches.forEach((cache, layer) => {
    hashes = applyLayer(layer, cache, from, hashes);
  });
  return hashes.at(-1) ?? 0;
}

function mix(left: number, right: number): number {
  let hash = Math.imul(left ^ (right + 0x9e3779b9), 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash + right, 0xc2b2ae35);
  hash ^= hash >>> 16;
  return hash >>> 0;
}
