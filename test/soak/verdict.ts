/** Results of the checks of a soak run. */

/** A broken rule: what broke it, and how. */
export interface Violation {
  /** Identifier of the request, or name of the process. */
  readonly subject: string;
  readonly detail: string;
}

/** What a check says of one subject. */
export type Verdict =
  | {readonly kind: 'kept'}
  /** The rule doesn't count it. */
  | {readonly kind: 'excused'}
  | {readonly kind: 'broken'; readonly violation: Violation};

/** What a check says of a whole run. */
export interface CheckResult {
  readonly judged: number;
  readonly excused: number;
  readonly violations: readonly Violation[];
}

/** Judges each subject. */
export function checkAll<T>(
  subjects: readonly T[],
  judge: (subject: T) => Verdict,
): CheckResult {
  const verdicts = subjects.map(judge);
  return {
    judged: subjects.length,
    excused: verdicts.filter(({kind}) => kind === 'excused').length,
    violations: verdicts.flatMap(verdict =>
      verdict.kind === 'broken' ? [verdict.violation] : [],
    ),
  };
}
