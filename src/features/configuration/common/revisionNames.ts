const NUMBER_WIDTH = 12;

/** A revision number as it ends the names of rows and snapshots, which thereby sort by it. */
export function padRevision(revision: number): string {
  return String(revision).padStart(NUMBER_WIDTH, '0');
}
