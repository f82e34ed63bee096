import {closeSync, openSync, writeSync} from 'node:fs';

import {Disposable} from '../../src/base/common/lifecycle.js';

const MEMORY_LIMIT = 200_000;

/** Sequence number and wall-clock time (milliseconds) of a ledger entry. */
export interface LedgerStamp {
  readonly sequence: number;
  readonly at: number;
}

/**
 * Record of the executions of a stand-in, against which tests check the router. The newest entries are kept in memory.
 * When a file is given, entries are also written to it synchronously, so that they survive the death of the process.
 */
export class Ledger<Entry extends object> implements Disposable {
  private entries: Array<Entry & LedgerStamp> = [];
  private descriptor: number | undefined;
  private sequence = 0;

  constructor(file: string | undefined) {
    this.descriptor = file === undefined ? undefined : openSync(file, 'a');
  }

  add(entry: Entry): void {
    this.sequence++;
    const stamped = {sequence: this.sequence, at: Date.now(), ...entry};
    this.entries.push(stamped);
    if (this.entries.length > MEMORY_LIMIT) {
      this.entries = this.entries.slice(MEMORY_LIMIT / 2);
    }
    if (this.descriptor !== undefined) {
      writeSync(this.descriptor, `${JSON.stringify(stamped)}\n`);
    }
  }

  /** Entries in memory after a sequence number. */
  after(sequence: number): ReadonlyArray<Entry & LedgerStamp> {
    return this.entries.filter(entry => entry.sequence > sequence);
  }

  dispose(): void {
    if (this.descriptor !== undefined) {
      closeSync(this.descriptor);
      this.descriptor = undefined;
    }
  }
}
