/** Prompt tokens that a prefix key covers. */
export const PREFIX_TOKENS = 32;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Hash (FNV-1a) of the first tokens of a prompt for one model and adapter; undefined for short prompts. */
export function prefixKeyOf(
  model: string,
  adapter: string | undefined,
  promptTokens: readonly string[],
): string | undefined {
  if (promptTokens.length < PREFIX_TOKENS) {
    return undefined;
  }
  const prefix = promptTokens.slice(0, PREFIX_TOKENS);
  const text = JSON.stringify([model, adapter ?? '', prefix]);
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return (hash >>> 0).toString(16).padStart(8, '0');
}
