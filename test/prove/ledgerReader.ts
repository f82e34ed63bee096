import {closeSync, openSync, readSync} from 'node:fs';
import {join} from 'node:path';

import {EngineLedgerEntry} from '../standins/engineSettings.js';
import {LedgerStamp} from '../standins/ledger.js';
import {LaunchedSystem} from '../support/launcher.js';
import {LedgerIndex} from './ledgerIndex.js';
import {isStep, ServiceExecution} from './observations.js';

const CHUNK_BYTES = 1024 * 1024;

/** Reads the growing ledger files of all stand-ins into an index. */
export class LedgerReader {
  readonly index = new LedgerIndex();
  private readonly tails = new Map<string, FileTail>();

  constructor(private readonly system: LaunchedSystem) {}

  /** Reads the entries written since the previous call. */
  readNewEntries(): void {
    for (const {id} of this.system.engines) {
      const entries = this.readFile<EngineLedgerEntry & LedgerStamp>(id);
      this.index.add(entries.filter(isStep), []);
    }
    for (const {id} of this.system.services) {
      this.index.add([], this.readFile<ServiceExecution>(id));
    }
  }

  private readFile<Entry>(id: string): readonly Entry[] {
    const tail =
      this.tails.get(id) ??
      new FileTail(join(this.system.directory, `${id}.ledger`));
    this.tails.set(id, tail);
    return tail.readNewLines().map(line => JSON.parse(line) as Entry);
  }
}

/** Reads the complete lines appended to a file since the previous read. */
class FileTail {
  private offset = 0;
  private partialLine = '';

  constructor(private readonly file: string) {}

  readNewLines(): readonly string[] {
    const descriptor = openSync(this.file, 'r');
    const buffer = Buffer.alloc(CHUNK_BYTES);
    let text = this.partialLine;
    for (;;) {
      const size = readSync(descriptor, buffer, 0, CHUNK_BYTES, this.offset);
      if (size === 0) {
        break;
      }
      this.offset += size;
      text += buffer.toString('utf8', 0, size);
    }
    closeSync(descriptor);
    const lines = text.split('\n');
    this.partialLine = lines.pop() ?? '';
    return lines;
  }
}
