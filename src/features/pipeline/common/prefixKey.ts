/** Number of prompt tokens that a prefix key covers. */
export const PREFIX_TOKEN_COUNT = 32;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Hash (FNV-1a) of model, adapter and the first prompt tokens; undefined for prompts shorter than the prefix. */
export function prefixKeyOf(
  model: string,
  adapter: string | undefined,
  promptTokens: readonly string[],
): string | undefined {
  if (promptTokens.length < PREFIX_TOKEN_COUNT) {
    return undefined;
  }
  const prefix = promptTokens.slice(0, PREFIX_TOKEN_COUNT);
  const text = JSON.stringify([model, adapter ?? '', prefix]);
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return (hash >>> 0).toString(16).padStart(8, '0');
}
