/** Formats values as plain text tables. */

const COLUMN_GAP = '  ';
const EMPTY_TABLE = '(none)';

/** Formats a value for one cell. */
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

/** Formats objects as rows, with their field names as the header. */
export function formatTable(
  rows: ReadonlyArray<Readonly<Record<string, unknown>>>,
): string {
  if (rows.length === 0) {
    return `${EMPTY_TABLE}\n`;
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

/** Formats a nested object: a table of its single values, then one table per list of objects. */
export function formatSections(
  value: Readonly<Record<string, unknown>>,
): string {
  const entries = Object.entries(value);
  const plain = entries.filter(([, inner]) => !isRowList(inner));
  const lists = entries.filter(([, inner]) => isRowList(inner));
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

/** Turns the fields of nested objects into columns of the row. */
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
  return `${padded.join(COLUMN_GAP).trimEnd()}\n`;
}

function isRowList(value: unknown): boolean {
  return (
    Array.isArray(value) &&
    value.every(item => typeof item === 'object' && item !== null)
  );
}
