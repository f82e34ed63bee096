import {CancellationToken} from '../../../base/common/cancellation.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {TableService} from '../../../infrastructure/table/common/tableService.js';
import {InstanceRecord} from './instance.js';
import {instanceRecordSchema} from './peerNews.js';

/** The instances' own rows in the table: how those that have just started find each other. */

const PREFIX = 'instances/';
const LIST_LIMIT = 500;

/** Reads and writes the rows. */
export class InstanceRegistry {
  constructor(
    private readonly table: TableService,
    private readonly logger: Logger,
  ) {}

  /** Writes an instance's row in place of an earlier one; answers whether that is sure. */
  async announce(
    record: InstanceRecord,
    token: CancellationToken,
  ): Promise<boolean> {
    const value = JSON.stringify(record);
    const key = `${PREFIX}${record.name}`;
    return this.write(key, value, token);
  }

  /** Removes an instance's row. */
  withdraw(name: string, token: CancellationToken): Promise<boolean> {
    return this.write(`${PREFIX}${name}`, undefined, token);
  }

  /** All instances that have a row; undefined when the table can't be read. */
  async list(
    token: CancellationToken,
  ): Promise<readonly InstanceRecord[] | undefined> {
    const rows = await this.table.scan(PREFIX, undefined, LIST_LIMIT, token);
    if (!rows.ok) {
      this.logger.warn('instances not listed', {...rows.error});
      return undefined;
    }
    const records: InstanceRecord[] = [];
    for (const {key, value} of rows.value) {
      const parsed = instanceRecordSchema.safeParse(parse(value));
      if (parsed.success) {
        records.push(parsed.data);
      } else {
        const [issue] = parsed.error.issues;
        this.logger.warn('malformed instance row', {
          key,
          field: issue?.path.join('.'),
        });
      }
    }
    return records;
  }

  private async write(
    key: string,
    value: string | undefined,
    token: CancellationToken,
  ): Promise<boolean> {
    const condition = {kind: 'any'} as const;
    const written = await this.table.transact(
      [{key, value, condition}],
      'all',
      token,
    );
    if (!written.ok) {
      this.logger.warn('instance row not written', {key, ...written.error});
    }
    return written.ok;
  }
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // The schema then reports the row as malformed.
    return undefined;
  }
}
