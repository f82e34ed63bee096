/** Bounds and times of the claim service; times in milliseconds, sizes in characters. */
export interface ClaimSettings {
  /** How long keys may be formed with a grant. */
  readonly grantMilliseconds: number;
  /** How long a bound key is remembered after its grant's expiry. */
  readonly rememberAfterExpiryMilliseconds: number;
  /** Bound keys remembered at once; beyond it new ones are refused. */
  readonly boundKeyLimit: number;
  /** Plain keys that are being claimed or run at once. */
  readonly activePlainKeyLimit: number;
  /** Ended plain keys kept to answer without the table. */
  readonly endedPlainKeyLimit: number;
  /** Reply text kept in memory, for bound and for plain keys each. */
  readonly heldBodyLimit: number;
  /** Largest reply text that is recorded. */
  readonly recordedBodyLimit: number;
  /** Outcomes that wait to be recorded. */
  readonly outcomeBufferLimit: number;
  /** Reply text that waits to be recorded. */
  readonly outcomeBufferCharacters: number;
  /** How long rows are kept. */
  readonly rowRetentionMilliseconds: number;
  /** Longest wait for the decision on a plain key. */
  readonly decideWithinMilliseconds: number;
  /** Attempts to insert a claim row. */
  readonly insertAttempts: number;
  /** First pause between attempts; doubles with each. */
  readonly insertBackoffMilliseconds: number;
  /** Pause before outcomes are tried again; doubles up to `recordBackoffLimit`. */
  readonly recordBackoffMilliseconds: number;
  readonly recordBackoffLimitMilliseconds: number;
  /** Longest wait for another instance's answer. */
  readonly askMilliseconds: number;
  readonly commit: CommitSettings;
  readonly gather: GatherSettings;
  readonly ageing: AgeingSettings;
}

/** How rows are gathered into transactions. */
export interface CommitSettings {
  /** How long the first row of a transaction waits for others. */
  readonly gatherMilliseconds: number;
  /** Transactions a second that all instances together may spend on claims. */
  readonly transactionsPerSecond: number;
  /** Upper bound on the spacing that follows from `transactionsPerSecond`. */
  readonly spacingLimitMilliseconds: number;
  readonly timeoutMilliseconds: number;
  readonly transactionRowLimit: number;
  /** Text in one transaction. */
  readonly transactionCharacters: number;
  readonly queueLimit: number;
  /** Text of the rows that wait; the row that passes it is the last taken. */
  readonly queueCharacters: number;
  /** Transactions under way at once. */
  readonly concurrency: number;
}

/** When and where rows are sent to a few instances instead of the table. */
export interface GatherSettings {
  /** Gathering starts above this number of ready instances. */
  readonly aboveInstances: number;
  readonly gatherersPerRegion: number;
  readonly batchMilliseconds: number;
  readonly batchRowLimit: number;
  readonly timeoutMilliseconds: number;
  /** Rows that wait for gatherers; beyond it rows go to the table directly. */
  readonly queueLimit: number;
  /** Text of the rows that wait; the row that passes it is the last taken. */
  readonly queueCharacters: number;
}

/** How expired rows are deleted: one page of one hash slice a step. */
export interface AgeingSettings {
  readonly intervalMilliseconds: number;
  /** Interval after a step that deleted a full page. */
  readonly busyIntervalMilliseconds: number;
  readonly pageRows: number;
  /** Allowance for wall clocks that differ between instances. */
  readonly clockMarginMilliseconds: number;
}

const MINUTE = 60_000;

/** Settings for normal use. */
export const defaultClaimSettings: ClaimSettings = {
  grantMilliseconds: 10 * MINUTE,
  rememberAfterExpiryMilliseconds: 10 * MINUTE,
  boundKeyLimit: 200_000,
  activePlainKeyLimit: 20_000,
  endedPlainKeyLimit: 20_000,
  heldBodyLimit: 8_000_000,
  recordedBodyLimit: 16_384,
  outcomeBufferLimit: 20_000,
  outcomeBufferCharacters: 16_000_000,
  rowRetentionMilliseconds: 24 * 60 * MINUTE,
  decideWithinMilliseconds: 2000,
  insertAttempts: 4,
  insertBackoffMilliseconds: 50,
  recordBackoffMilliseconds: 500,
  recordBackoffLimitMilliseconds: 10_000,
  askMilliseconds: 500,
  commit: {
    gatherMilliseconds: 4,
    transactionsPerSecond: 200,
    spacingLimitMilliseconds: 100,
    timeoutMilliseconds: 1000,
    transactionRowLimit: 100,
    transactionCharacters: 400_000,
    queueLimit: 5000,
    queueCharacters: 32_000_000,
    concurrency: 4,
  },
  gather: {
    aboveInstances: 16,
    gatherersPerRegion: 2,
    batchMilliseconds: 4,
    batchRowLimit: 100,
    timeoutMilliseconds: 500,
    queueLimit: 2000,
    queueCharacters: 16_000_000,
  },
  ageing: {
    intervalMilliseconds: 5000,
    busyIntervalMilliseconds: 1000,
    pageRows: 100,
    clockMarginMilliseconds: MINUTE,
  },
};
