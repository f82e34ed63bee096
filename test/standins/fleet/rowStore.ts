import {Disposable} from '../../../src/base/common/lifecycle.js';
import {
  answerOk,
  StandInAnswer,
  StandInCall,
  StandInServer,
} from '../standInServer.js';

/** A small store of rows that speaks the users' published protocol. */

interface Row {
  readonly Table: string;
  readonly part: string;
  readonly Key: string;
  readonly Value: string;
  readonly Ver: number;
  readonly Deleted?: boolean;
}

interface Change {
  readonly Expected?: ReadonlyArray<{
    Table: string;
    part?: string;
    Key: string;
    Ver: number;
  }>;
  readonly Writes?: ReadonlyArray<{
    Table: string;
    part?: string;
    Key: string;
    Value: string;
  }>;
  readonly Deletes?: ReadonlyArray<{Table: string; part?: string; Key: string}>;
}

/** How the store treats callers. */
export type StoreFault = 'none' | 'busy' | 'silent' | 'reset';

const LIMIT = 500;

/** Keeps rows in memory, with transactions and a feed of changes. */
export class RowStore implements Disposable {
  private readonly rows = new Map<string, Row>();
  private readonly history: Row[] = [];
  private readonly waiting = new Set<() => void>();
  private readonly server: StandInServer;
  private version = 0;
  private forgottenUpTo = 0;
  fault: StoreFault = 'none';
  /** Calls by path. */
  readonly calls = new Map<string, number>();

  constructor(readonly address: string) {
    this.server = new StandInServer(address, call => this.handle(call));
  }

  start(): Promise<void> {
    return this.server.start();
  }

  dispose(): void {
    this.server.dispose();
  }

  /** Writes a row as the operator or a replica does. */
  put(table: string, key: string, value: unknown): void {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.version++;
    this.keep({
      Table: table,
      part: '',
      Key: key,
      Value: text,
      Ver: this.version,
    });
    this.wake();
  }

  /** Removes a row. */
  remove(table: string, key: string): void {
    this.version++;
    this.drop(table, '', key);
    this.wake();
  }

  /** Keys of a table. */
  keys(table: string): readonly string[] {
    return [...this.rows.values()]
      .filter(row => row.Table === table)
      .map(row => row.Key)
      .sort();
  }

  /** Discards the history of changes. */
  forgetHistory(): void {
    this.history.length = 0;
    this.forgottenUpTo = this.version;
  }

  private async handle(call: StandInCall): Promise<StandInAnswer> {
    this.calls.set(call.path, (this.calls.get(call.path) ?? 0) + 1);
    switch (this.fault) {
      case 'busy':
        return {kind: 'answer', status: 503, body: {}};
      case 'silent':
        return {kind: 'silence'};
      case 'reset':
        return {kind: 'cut'};
      case 'none':
        return this.serve(call);
    }
  }

  private async serve(call: StandInCall): Promise<StandInAnswer> {
    switch (call.path) {
      case '/rows-get':
        return this.get(call.query);
      case '/rows-feed':
        return this.feed(call);
      case '/rows-tx':
        return this.transact(JSON.parse(call.text) as Change);
      default:
        return {kind: 'answer', status: 404, body: {}};
    }
  }

  private get(query: URLSearchParams): StandInAnswer {
    const limit = Math.min(Number(query.get('Limit') ?? LIMIT), LIMIT);
    const from = query.get('From') ?? '';
    const to = query.get('To');
    const rows = [...this.rows.values()]
      .filter(
        row =>
          row.Table === query.get('Table') &&
          row.part === (query.get('part') ?? ''),
      )
      .filter(row => row.Key >= from && (to === null || row.Key < to))
      .sort((left, right) => (left.Key < right.Key ? -1 : 1));
    return this.ok({Rows: rows.slice(0, limit), HasMore: rows.length > limit});
  }

  private async feed({query, onDidGo}: StandInCall): Promise<StandInAnswer> {
    const table = query.get('Table');
    const after = Number(query.get('After') ?? 0);
    if (after < this.forgottenUpTo) {
      return {kind: 'answer', status: 410, body: {}};
    }
    const changed = (): readonly Row[] =>
      this.history.filter(row => row.Table === table && row.Ver > after);
    if (changed().length === 0) {
      await this.change(
        Number(query.get('WaitMs') ?? 0),
        onDidGo,
        () => changed().length > 0,
      );
    }
    return this.ok({Rows: changed()});
  }

  private change(
    milliseconds: number,
    onDidGo: (listener: () => void) => void,
    isDone: () => boolean,
  ): Promise<void> {
    return new Promise(resolve => {
      const finish = (): void => {
        clearTimeout(timer);
        this.waiting.delete(look);
        resolve();
      };
      const look = (): void => {
        if (isDone()) {
          finish();
        }
      };
      const timer = setTimeout(finish, milliseconds);
      this.waiting.add(look);
      onDidGo(finish);
    });
  }

  private transact(change: Change): StandInAnswer {
    const expected = change.Expected ?? [];
    const isMet = expected.every(
      ({Table, part = '', Key, Ver}) =>
        (this.rows.get(nameOf(Table, part, Key))?.Ver ?? 0) === Ver,
    );
    if (!isMet) {
      const rows = expected.flatMap(({Table, part = '', Key}) => {
        const row = this.rows.get(nameOf(Table, part, Key));
        return row === undefined ? [] : [row];
      });
      return {kind: 'answer', status: 412, body: {Rows: rows}};
    }
    this.version++;
    for (const {Table, part = '', Key, Value} of change.Writes ?? []) {
      this.keep({Table, part, Key, Value, Ver: this.version});
    }
    for (const {Table, part = '', Key} of change.Deletes ?? []) {
      this.drop(Table, part, Key);
    }
    this.wake();
    return this.ok({});
  }

  private ok(body: object): StandInAnswer {
    return answerOk({
      ...body,
      Ver: this.version,
      NowMs: Math.round(performance.now()),
    });
  }

  private keep(row: Row): void {
    this.rows.set(nameOf(row.Table, row.part, row.Key), row);
    this.history.push(row);
  }

  private drop(table: string, part: string, key: string): void {
    this.rows.delete(nameOf(table, part, key));
    this.history.push({
      Table: table,
      part,
      Key: key,
      Value: '',
      Ver: this.version,
      Deleted: true,
    });
  }

  private wake(): void {
    for (const look of [...this.waiting]) {
      look();
    }
  }
}

function nameOf(table: string, part: string, key: string): string {
  return `${table}\n${part}\n${key}`;
}
