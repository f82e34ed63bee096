/** Values of options, brought into the form that the configuration has. */

/** A number, or the text itself so that the check of the value names it. */
export function toNumber(
  text: string | undefined,
): number | string | undefined {
  if (text === undefined) {
    return undefined;
  }
  const value = Number(text);
  return text.trim() === '' || Number.isNaN(value) ? text : value;
}

/** A kind of call to a plain service from `METHOD /path`. */
export function toServiceCall(
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
