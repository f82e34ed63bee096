const REVISION_DIGITS = 12;

/** Formats a revision number with leading zeros, so that the names of rows and snapshots sort by revision. */
export function padRevision(revision: number): string {
  return String(revision).padStart(REVISION_DIGITS, '0');
}
