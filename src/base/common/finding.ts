/** Validation errors of an input. All errors of an input are collected and reported together. */

/** A validation error and its location in the input. */
export interface Finding {
  /** The file or the part of the request that contains the error. */
  readonly source: string;
  /** JSON path inside the source, for example `$.classes[0].deadlineMilliseconds`. */
  readonly path: string;
  /** The value expected at this path, in one phrase. */
  readonly expected: string;
}

/** Formats a finding as one line of text. */
export function formatFinding(finding: Finding): string {
  return `${finding.source} ${finding.path}: ${finding.expected}`;
}
