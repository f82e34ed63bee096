/** Limits and times of the claim service; sizes of texts are in characters. */
export interface ClaimSettings {
  /** Lifetime of a grant; new keys with the grant are refused after it. */
  readonly grantMilliseconds: number;
  /** Retention of bound keys after their grant expires. */
  readonly rememberAfterExpiryMilliseconds: number;
  /** Maximum number of bound keys in memory; further keys are refused. */
  readonly boundKeyLimit: number;
  /** Maximum number of plain keys that are being claimed or run concurrently. */
  readonly activePlainKeyLimit: number;
  /** Maximum number of ended plain keys in memory, which are answered without reading the table. */
  readonly endedPlainKeyLimit: number;
  /** Response bodies in memory; applies to bound and plain keys separately. */
  readonly heldBodyLimit: number;
  /** Largest response body that is recorded in the table. */
  readonly recordedBodyLimit: number;
  /** Maximum number of outcomes that wait to be recorded. */
  readonly outcomeBufferLimit: number;
  /** Response bodies of outcomes that wait to be recorded. */
  readonly outcomeBufferCharacters: number;
  /** Retention of claim rows in the table. */
  readonly rowRetentionMilliseconds: number;
  /** Timeout for the decision on a plain key. */
  readonly decideWithinMilliseconds: number;
  /** Maximum number of attempts to insert a claim row. */
  readonly insertAttempts: number;
  /** Backoff before the second attempt; doubles with each further attempt. */
  readonly insertBackoffMilliseconds: number;
  /** Initial backoff before an outcome is written again; doubles up to `recordBackoffLimitMilliseconds`. */
  readonly recordBackoffMilliseconds: number;
  readonly recordBackoffLimitMilliseconds: number;
  /** Timeout for a request to another instance. */
  readonly askMilliseconds: number;
  readonly commit: CommitSettings;
  readonly gather: GatherSettings;
  readonly ageing: SweepSettings;
}

/** How rows are batched into transactions. */
export interface CommitSettings {
  /** How long the first row of a transaction waits for further rows. */
  readonly gatherMilliseconds: number;
  /** Rate limit for claim transactions, shared by all instances. */
  readonly transactionsPerSecond: number;
  /** Upper limit of the interval between transactions that results from `transactionsPerSecond`. */
  readonly spacingLimitMilliseconds: number;
  readonly timeoutMilliseconds: number;
  readonly transactionRowLimit: number;
  /** Maximum total length of the row values in a transaction. */
  readonly transactionCharacters: number;
  readonly queueLimit: number;
  /** Total length of queued row values; the row that exceeds it is the last one accepted. */
  readonly queueCharacters: number;
  /** Maximum number of concurrent transactions. */
  readonly concurrency: number;
}

/** When rows are sent to gatherers: a few instances that write claim rows for all instances of their region. */
export interface GatherSettings {
  /** Gatherers are used above this number of ready instances. */
  readonly aboveInstances: number;
  readonly gatherersPerRegion: number;
  readonly batchMilliseconds: number;
  readonly batchRowLimit: number;
  readonly timeoutMilliseconds: number;
  /** Maximum number of rows queued for gatherers; further rows are written to the table directly. */
  readonly queueLimit: number;
  /** Total length of queued row values; the row that exceeds it is the last one accepted. */
  readonly queueCharacters: number;
}

/** How expired rows are deleted: one page of one key hash slice per step. */
export interface SweepSettings {
  readonly intervalMilliseconds: number;
  /** Interval after a step that deleted a full page. */
  readonly busyIntervalMilliseconds: number;
  readonly pageRows: number;
  /** Allowance for clock skew between instances. */
  readonly clockMarginMilliseconds: number;
}

const MINUTE_MILLISECONDS = 60_000;

export const defaultClaimSettings: ClaimSettings = {
  grantMilliseconds: 10 * MINUTE_MILLISECONDS,
  rememberAfterExpiryMilliseconds: 10 * MINUTE_MILLISECONDS,
  boundKeyLimit: 200_000,
  activePlainKeyLimit: 20_000,
  endedPlainKeyLimit: 20_000,
  heldBodyLimit: 8_000_000,
  recordedBodyLimit: 16_384,
  outcomeBufferLimit: 20_000,
  outcomeBufferCharacters: 16_000_000,
  rowRetentionMilliseconds: 24 * 60 * MINUTE_MILLISECONDS,
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
    clockMarginMilliseconds: MINUTE_MILLISECONDS,
  },
};
