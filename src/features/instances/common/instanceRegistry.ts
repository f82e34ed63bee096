import {CancellationToken} from '../../../base/common/cancellation.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {TableService} from '../../../infrastructure/table/common/tableService.js';
import {InstanceRecord} from './instance.js';
import {instanceRecordSchema} from './gossipMessage.js';

const KEY_PREFIX = 'instances/';
const INSTANCE_LIMIT = 500;

/** Registers instances as rows of the table, through which a newly started instance discovers its peers. */
export class InstanceRegistry {
  constructor(
    private readonly table: TableService,
    private readonly logger: Logger,
  ) {}

  /** Writes or overwrites the row of an instance; resolves with whether the write is confirmed. */
  async announce(
    record: InstanceRecord,
    token: CancellationToken,
  ): Promise<boolean> {
    const value = JSON.stringify(record);
    const key = `${KEY_PREFIX}${record.name}`;
    return this.write(key, value, token);
  }

  /** Deletes the row of an instance; resolves with whether the deletion is confirmed. */
  withdraw(name: string, token: CancellationToken): Promise<boolean> {
    return this.write(`${KEY_PREFIX}${name}`, undefined, token);
  }

  /** Reads all registered instances; resolves with undefined when the table can't be read. */
  async list(
    token: CancellationToken,
  ): Promise<readonly InstanceRecord[] | undefined> {
    const rows = await this.table.scan(
      KEY_PREFIX,
      undefined,
      INSTANCE_LIMIT,
      token,
    );
    if (!rows.ok) {
      this.logger.warn('could not read instance rows', {...rows.error});
      return undefined;
    }
    const records: InstanceRecord[] = [];
    for (const {key, value} of rows.value) {
      const parsed = instanceRecordSchema.safeParse(parseJson(value));
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
      this.logger.warn('instance row write not confirmed', {
        key,
        ...written.error,
      });
    }
    return written.ok;
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // The schema rejects undefined, so the row is reported as malformed.
    return undefined;
  }
}
