import {readFileSync} from 'node:fs';

import {request} from 'undici';

import {
  InstanceMember,
  UpstreamMember,
} from '../../src/infrastructure/membership/common/membershipList.js';
import {CallCounts} from '../standins/callCounter.js';
import {
  EngineFaultCommand,
  EngineLedgerEntry,
  EngineSettings,
} from '../standins/engineSettings.js';
import {LedgerStamp} from '../standins/ledger.js';
import {PlatformLedgerEntry} from '../standins/platformOperations.js';
import {
  MembersCommand,
  PlatformFaultCommand,
} from '../standins/platformStandIn.js';
import {
  ServiceFaultCommand,
  ServiceLedgerEntry,
} from '../standins/serviceStandIn.js';
import {ManagedProcess} from './managedProcess.js';

/** Handles on the parts of a launched system. */

const CALL_MILLISECONDS = 5000;

/** An answer with a JSON body. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Makes a call with JSON bodies. */
export async function callJson(
  method: 'GET' | 'POST',
  url: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<JsonAnswer> {
  const answer = await request(url, {
    method,
    headers: {'content-type': 'application/json', ...headers},
    body: body === undefined ? undefined : JSON.stringify(body),
    headersTimeout: CALL_MILLISECONDS,
    bodyTimeout: CALL_MILLISECONDS,
  });
  const text = await answer.body.text();
  return {status: answer.statusCode, body: parse(text)};
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

async function command(url: string, body: unknown): Promise<void> {
  const answer = await callJson('POST', url, body);
  if (answer.status !== 200) {
    throw new Error(`${url}: ${answer.status} ${JSON.stringify(answer.body)}`);
  }
}

/** The platform stand-in. */
export class PlatformHandle {
  constructor(
    readonly process: ManagedProcess,
    private readonly faultAddress: string,
    private readonly ledgerFile: string | undefined,
  ) {}

  setFault(fault: PlatformFaultCommand): Promise<void> {
    return command(`http://${this.faultAddress}/fault`, fault);
  }

  setMembers(members: MembersCommand): Promise<void> {
    return command(`http://${this.faultAddress}/members`, members);
  }

  /** Reads and writes by service, for example `table write`. */
  async counts(): Promise<Readonly<Record<string, CallCounts>>> {
    const answer = await callJson('GET', `http://${this.faultAddress}/counts`);
    return answer.body as Record<string, CallCounts>;
  }

  resetCounts(): Promise<void> {
    return command(`http://${this.faultAddress}/counts/reset`, {});
  }

  ledger(): Promise<ReadonlyArray<PlatformLedgerEntry & LedgerStamp>> {
    return readLedger(this.ledgerFile, `http://${this.faultAddress}/ledger`);
  }
}

/** One engine; several may share a process. */
export class EngineHandle {
  constructor(
    readonly settings: EngineSettings,
    readonly member: UpstreamMember,
    readonly process: ManagedProcess,
    private readonly faultAddress: string,
  ) {}

  get id(): string {
    return this.settings.id;
  }

  /** Puts a fault in force at this engine only. */
  setFault(
    fault: EngineFaultCommand['fault'],
    scope: Omit<EngineFaultCommand, 'fault' | 'engine'> = {},
  ): Promise<void> {
    const body = {fault, ...scope, engine: this.id};
    return command(`http://${this.faultAddress}/fault`, body);
  }

  /** What it executed, over all its incarnations when ledger files are on. */
  ledger(): Promise<ReadonlyArray<EngineLedgerEntry & LedgerStamp>> {
    const file = this.settings.ledgerFile?.replace('{id}', this.id);
    return readLedger(
      file,
      `http://${this.faultAddress}/ledger?engine=${this.id}`,
    );
  }
}

/** One replica of a plain service. */
export class ServiceHandle {
  constructor(
    readonly member: UpstreamMember,
    readonly process: ManagedProcess,
    private readonly faultAddress: string,
    private readonly ledgerFile: string | undefined,
  ) {}

  get id(): string {
    return this.member.id;
  }

  setFault(fault: ServiceFaultCommand['fault'], times?: number): Promise<void> {
    return command(`http://${this.faultAddress}/fault`, {fault, times});
  }

  ledger(): Promise<ReadonlyArray<ServiceLedgerEntry & LedgerStamp>> {
    return readLedger(this.ledgerFile, `http://${this.faultAddress}/ledger`);
  }
}

/** One instance of the system: its two programs. */
export class InstanceHandle {
  constructor(
    readonly member: InstanceMember,
    readonly entry: ManagedProcess,
    readonly control: ManagedProcess,
  ) {}

  get id(): string {
    return this.member.id;
  }

  /** Whether its entry program takes new work; its answer must come within a second. */
  async isReady(): Promise<boolean> {
    try {
      const url = `http://${this.member.callerAddress}/v1/health`;
      const answer = await request(url, {
        headersTimeout: 1000,
        bodyTimeout: 1000,
      });
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }
}

async function readLedger<Entry>(
  file: string | undefined,
  url: string,
): Promise<ReadonlyArray<Entry & LedgerStamp>> {
  if (file !== undefined) {
    const lines = readFileSync(file, 'utf8').split('\n');
    return lines
      .filter(line => line.endsWith('}'))
      .map(line => JSON.parse(line) as Entry & LedgerStamp);
  }
  const answer = await callJson('GET', url);
  return (answer.body as {entries: Array<Entry & LedgerStamp>}).entries;
}
