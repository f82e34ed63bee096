/** Converts option values to the types of the configuration. */

/** Parses a number; returns other text unchanged, so that validation reports it. */
export function parseNumberOrText(
  text: string | undefined,
): number | string | undefined {
  if (text === undefined) {
    return undefined;
  }
  const value = Number(text);
  return text.trim() === '' || Number.isNaN(value) ? text : value;
}

/** Parses `METHOD /path` to a call of a plain service. */
export function parseServiceCall(
  text: string,
  repeatable: boolean,
): Readonly<Record<string, unknown>> {
  const [method, pathPrefix, ...rest] = text.trim().split(/\s+/);
  return {
    method,
    pathPrefix: [pathPrefix, ...rest].join(' '),
    repeatable,
  };
}
