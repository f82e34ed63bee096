import {z} from 'zod';

import {CancellationToken} from '../../../base/common/cancellation.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {HttpClientOptions} from '../../http/node/httpClient.js';
import {StorageClient} from '../../http/node/storageClient.js';
import {
  RowWrite,
  StorageError,
  TableRow,
  TableService,
  TransactionMode,
  WriteOutcome,
} from '../common/tableService.js';
import {validateTransaction} from '../common/transactionRules.js';

const rowSchema = z.object({
  key: z.string(),
  version: z.number().int().positive(),
  value: z.string(),
});

const readSchema = z.object({rows: z.array(rowSchema.nullable())});

const scanSchema = z.object({rows: z.array(rowSchema)});

const transactSchema = z.object({
  outcomes: z.array(
    z.discriminatedUnion('kind', [
      z.object({
        kind: z.literal('written'),
        version: z.number().int().positive(),
      }),
      z.object({kind: z.literal('conflict'), current: rowSchema.nullable()}),
    ]),
  ),
});

/** HTTP client of the platform's table; docs/PROTOCOLS.md specifies the protocol. */
export class HttpTableService extends TableService implements Disposable {
  private readonly client: StorageClient;

  constructor(
    address: string,
    instance: string,
    options: Partial<HttpClientOptions> = {},
  ) {
    super();
    this.client = new StorageClient(address, instance, options);
  }

  override async read(
    keys: readonly string[],
    token: CancellationToken,
  ): Promise<Result<ReadonlyArray<TableRow | undefined>, StorageError>> {
    const response = await this.client.call(
      createPostRequest('/v1/table/read', {keys}),
      readSchema,
      token,
    );
    if (!response.ok) {
      return response;
    }
    const rows = response.value.rows.map(row => row ?? undefined);
    return areRequestedRows(keys, rows) ? success(rows) : createRowMismatch();
  }

  override async scan(
    prefix: string,
    after: string | undefined,
    limit: number,
    token: CancellationToken,
  ): Promise<Result<readonly TableRow[], StorageError>> {
    const response = await this.client.call(
      createPostRequest('/v1/table/scan', {prefix, after, limit}),
      scanSchema,
      token,
    );
    if (!response.ok) {
      return response;
    }
    const {rows} = response.value;
    return rows.every(row => row.key.startsWith(prefix))
      ? success(rows)
      : createRowMismatch();
  }

  override async transact(
    writes: readonly RowWrite[],
    mode: TransactionMode,
    token: CancellationToken,
  ): Promise<Result<readonly WriteOutcome[], StorageError>> {
    validateTransaction(writes);
    const body = {
      mode,
      writes: writes.map(write => ({...write, value: write.value ?? null})),
    };
    const response = await this.client.call(
      createPostRequest('/v1/table/transact', body),
      transactSchema,
      token,
    );
    if (!response.ok) {
      return response;
    }
    const outcomes = response.value.outcomes.map(toOutcome);
    return areRequestedOutcomes(writes, outcomes)
      ? success(outcomes)
      : createRowMismatch();
  }

  dispose(): void {
    this.client.dispose();
  }
}

type OutcomeBody = z.infer<typeof transactSchema>['outcomes'][number];

function toOutcome(outcome: OutcomeBody): WriteOutcome {
  return outcome.kind === 'conflict'
    ? {kind: 'conflict', current: outcome.current ?? undefined}
    : outcome;
}

function areRequestedRows(
  keys: readonly string[],
  rows: ReadonlyArray<TableRow | undefined>,
): boolean {
  return (
    rows.length === keys.length &&
    rows.every((row, index) => row === undefined || row.key === keys[index])
  );
}

function areRequestedOutcomes(
  writes: readonly RowWrite[],
  outcomes: readonly WriteOutcome[],
): boolean {
  return (
    outcomes.length === writes.length &&
    outcomes.every(
      (outcome, index) =>
        outcome.kind === 'written' ||
        outcome.current === undefined ||
        outcome.current.key === writes[index]?.key,
    )
  );
}

function createRowMismatch(): Result<never, StorageError> {
  const detail = 'the answer names other rows than asked';
  return failure({kind: 'outcomeUnknown', detail});
}

function createPostRequest(path: string, body: unknown) {
  return {method: 'POST', path, body: JSON.stringify(body)};
}
