/** Findings about input, collected with their place and reported together. */

/** One thing that is wrong with an input. */
export interface Finding {
  /** The file or request part that holds it. */
  readonly source: string;
  /** JSON path inside the source, for example `$.classes[0].deadlineMilliseconds`. */
  readonly path: string;
  /** What was expected there, in one sentence. */
  readonly expected: string;
}

/** One line for people. */
export function formatFinding(finding: Finding): string {
  return `${finding.source} ${finding.path}: ${finding.expected}`;
}
