import {
  RowCondition,
  RowWrite,
  TableRow,
  TransactionMode,
  WriteOutcome,
} from '../../src/infrastructure/table/common/tableService.js';

/** Rows and transaction semantics of the transactional table, shared by the in-memory fake and the stand-in. */
export class TableRows {
  private readonly rows = new Map<string, TableRow>();
  /** Last version of each key, kept after deletion so that no version is reused. */
  private readonly versions = new Map<string, number>();

  read(keys: readonly string[]): ReadonlyArray<TableRow | undefined> {
    return keys.map(key => this.rows.get(key));
  }

  scan(
    prefix: string,
    after: string | undefined,
    limit: number,
  ): readonly TableRow[] {
    const matching = [...this.rows.values()].filter(
      row =>
        row.key.startsWith(prefix) && (after === undefined || row.key > after),
    );
    matching.sort((left, right) => (left.key < right.key ? -1 : 1));
    return matching.slice(0, limit);
  }

  transact(
    writes: readonly RowWrite[],
    mode: TransactionMode,
  ): readonly WriteOutcome[] {
    const allConditionsMet = writes.every(write => this.isConditionMet(write));
    if (mode === 'all' && !allConditionsMet) {
      // Nothing is written, so rows whose own condition is met are reported as conflicts too.
      return writes.map(write => this.conflict(write.key));
    }
    return writes.map(write =>
      this.isConditionMet(write) ? this.apply(write) : this.conflict(write.key),
    );
  }

  private conflict(key: string): WriteOutcome {
    return {kind: 'conflict', current: this.rows.get(key)};
  }

  private isConditionMet(write: RowWrite): boolean {
    return matchesCondition(write.condition, this.rows.get(write.key));
  }

  private apply(write: RowWrite): WriteOutcome {
    const version = (this.versions.get(write.key) ?? 0) + 1;
    this.versions.set(write.key, version);
    if (write.value === undefined) {
      this.rows.delete(write.key);
    } else {
      this.rows.set(write.key, {key: write.key, version, value: write.value});
    }
    return {kind: 'written', version};
  }
}

function matchesCondition(
  condition: RowCondition,
  row: TableRow | undefined,
): boolean {
  switch (condition.kind) {
    case 'any':
      return true;
    case 'absent':
      return row === undefined;
    case 'version':
      return row?.version === condition.version;
  }
}
