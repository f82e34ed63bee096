/** Plain text tables for people. */

const GAP = '  ';
const NOTHING = '(none)';

/** A value in one cell. */
export function formatCell(value: unknown): string {
  if (Array.isArray(value)) {
    return value.map(formatCell).join(', ');
  }
  if (typeof value === 'object' && value !== null) {
    return Object.entries(value)
      .map(([name, inner]) => `${name}=${formatCell(inner)}`)
      .join(' ');
  }
  return value === undefined ? '' : String(value);
}

/** Rows of objects under the names of their fields. */
export function formatTable(
  rows: ReadonlyArray<Readonly<Record<string, unknown>>>,
): string {
  if (rows.length === 0) {
    return `${NOTHING}\n`;
  }
  const flat = rows.map(flatten);
  const names = [...new Set(flat.flatMap(row => Object.keys(row)))];
  const cells = [
    names,
    ...flat.map(row => names.map(name => formatCell(row[name]))),
  ];
  const widths = names.map((_, column) =>
    Math.max(...cells.map(line => line[column].length)),
  );
  return cells.map(line => formatLine(line, widths)).join('');
}

/** A nested object: single values first, then each list as a table of its own. */
export function formatSections(
  value: Readonly<Record<string, unknown>>,
): string {
  const entries = Object.entries(value);
  const plain = entries.filter(([, inner]) => !isRows(inner));
  const lists = entries.filter(([, inner]) => isRows(inner));
  const summary = plain.map(([field, inner]) => ({
    field,
    value: formatCell(inner),
  }));
  const tables = lists.map(
    ([name, rows]) =>
      `\n${name}\n${formatTable(rows as ReadonlyArray<Record<string, unknown>>)}`,
  );
  return formatTable(summary) + tables.join('');
}

/** Fields of objects inside a row become columns of their own. */
function flatten(
  row: Readonly<Record<string, unknown>>,
): Readonly<Record<string, unknown>> {
  const fields = Object.entries(row).flatMap(([name, value]) =>
    typeof value === 'object' && value !== null && !Array.isArray(value)
      ? Object.entries(value)
      : [[name, value] as const],
  );
  return Object.fromEntries(fields);
}

function formatLine(
  line: readonly string[],
  widths: readonly number[],
): string {
  const padded = line.map((cell, column) => cell.padEnd(widths[column]));
  return `${padded.join(GAP).trimEnd()}\n`;
}

function isRows(value: unknown): boolean {
  return (
    Array.isArray(value) &&
    value.every(item => typeof item === 'object' && item !== null)
  );
}
