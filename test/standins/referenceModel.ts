/**
 * The model that engine stand-ins compute. Every position carries a hash through the layers; each layer
 * mixes it with a running hash over all earlier positions, which is its KV cache. A layer left out,
 * applied twice or out of order, or a wrong cache, changes all tokens that follow.
 */

/** The KV cache of one layer: a running hash at each position. */
export type LayerCache = number[];

/** What a first stage knows of the reply. */
export interface ReplyPlan {
  readonly promptLength: number;
  readonly replyLength: number;
}

/** A whole right answer. */
export interface ExpectedReply {
  readonly tokens: readonly string[];
  readonly finishReason: 'stop' | 'length';
}

/** An activation between stages. */
interface Activation {
  /** Tokens of the reply still to come, the next one included. */
  readonly remaining: number;
  /** One hash for each position. */
  readonly hashes: readonly number[];
}

const CACHE_SEED = 0x51ed270b;
const HASH_START = 0x811c9dc5;
const HASH_PRIME = 0x01000193;
const SHORTEST_REPLY = 8;
const REPLY_SPREAD = 24;
const CONSONANTS = 'bdfgklmnprstvzjh';
const VOWELS = 'aeio';
const SYLLABLES = 5;
const SYLLABLE_BITS = 6;
const HEX_DIGITS = 8;

/** Sets the length of a reply from within its prompt, for example `[reply:20]`. */
const LENGTH_MARKER = /^\[reply:(\d+)\]$/;

/** The form of the model's own tokens, for example `ka-lo-vi-ta-be`. */
const REPLY_TOKEN = /^[a-z]{2}(-[a-z]{2}){4}$/;

/** Prompt tokens of a text. */
export function tokenize(text: string): readonly string[] {
  return text.split(/\s+/).filter(word => word.length > 0);
}

/** The hash that enters the first layer. */
export function embed(token: string): number {
  let hash = HASH_START;
  for (let index = 0; index < token.length; index++) {
    hash = Math.imul(hash ^ token.charCodeAt(index), HASH_PRIME);
  }
  return hash >>> 0;
}

/** Applies one layer to positions from `from` on; cuts its cache there, then extends it. */
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

/** The token that follows a position. */
export function tokenOf(hash: number): string {
  const syllables = [];
  for (let index = 0; index < SYLLABLES; index++) {
    const bits = (hash >>> (index * SYLLABLE_BITS)) & 63;
    syllables.push(`${CONSONANTS[bits >>> 2]}${VOWELS[bits & 3]}`);
  }
  return syllables.join('-');
}

/** Where the prompt ends (its last token is not one of the model's own) and how long the reply is. */
export function planReply(tokens: readonly string[]): ReplyPlan {
  let promptLength = tokens.length;
  while (promptLength > 0 && isReplyToken(tokens[promptLength - 1] ?? '')) {
    promptLength--;
  }
  const prompt = tokens.slice(0, promptLength);
  return {promptLength, replyLength: replyLengthOf(prompt)};
}

/** Whether a plan still holds when tokens are added: one of the model's own never changes it. */
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
  return SHORTEST_REPLY + (embed(prompt.join(' ')) % REPLY_SPREAD);
}

/** Tokens still to come after the given ones, the next included. */
export function remainingTokens(plan: ReplyPlan, position: number): number {
  return plan.replyLength - (position - plan.promptLength);
}

/** The form in which an activation travels. */
export function encodeActivation(activation: Activation): string {
  const digits = activation.hashes.map(hash =>
    hash.toString(16).padStart(HEX_DIGITS, '0'),
  );
  return `${activation.remaining}:${digits.join('')}`;
}

/** Reads an activation; undefined when it is malformed or has another number of positions. */
export function decodeActivation(
  data: string,
  positions: number,
): Activation | undefined {
  const separator = data.indexOf(':');
  const digits = data.slice(separator + 1);
  if (separator < 1 || digits.length !== positions * HEX_DIGITS) {
    return undefined;
  }
  const hashes = [];
  for (let index = 0; index < digits.length; index += HEX_DIGITS) {
    hashes.push(Number.parseInt(digits.slice(index, index + HEX_DIGITS), 16));
  }
  return {remaining: Number(data.slice(0, separator)), hashes};
}

/** The right reply to a prompt. */
export function expectedReply(
  promptTokens: readonly string[],
  layerCount: number,
  maximumOutputTokens: number,
): ExpectedReply {
  const plan = planReply(promptTokens);
  const caches: LayerCache[] = Array.from({length: layerCount}, () => []);
  const tokens: string[] = [];
  let from = 0;
  let fresh = promptTokens;
  while (tokens.length < maximumOutputTokens) {
    const hash = runLayers(caches, from, fresh);
    const token = tokenOf(hash);
    tokens.push(token);
    from += fresh.length;
    if (remainingTokens(plan, from) <= 1) {
      return {tokens, finishReason: 'stop'};
    }
    fresh = [token];
  }
  return {tokens, finishReason: 'length'};
}

function runLayers(
  caches: readonly LayerCache[],
  from: number,
  tokens: readonly string[],
): number {
  let hashes: readonly number[] = tokens.map(embed);
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
