import {readFileSync} from 'node:fs';

import {request} from 'undici';

import {
  InstanceMember,
  UpstreamMember,
} from '../../src/infrastructure/membership/common/membershipList.js';
import {RequestCounts} from '../standins/requestCounter.js';
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

/** Handles for controlling and inspecting the processes of a launched system. */

const CALL_TIMEOUT_MILLISECONDS = 5000;

/** Status and parsed body of an HTTP response; the body is text if it is not valid JSON. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Sends an HTTP request with an optional JSON body. */
export async function callJson(
  method: 'GET' | 'POST',
  url: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<JsonResponse> {
  const response = await request(url, {
    method,
    headers: {'content-type': 'application/json', ...headers},
    body: body === undefined ? undefined : JSON.stringify(body),
    headersTimeout: CALL_TIMEOUT_MILLISECONDS,
    bodyTimeout: CALL_TIMEOUT_MILLISECONDS,
  });
  const text = await response.body.text();
  return {status: response.statusCode, body: parseJsonOrText(text)};
}

function parseJsonOrText(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

async function sendCommand(url: string, body: unknown): Promise<void> {
  const response = await callJson('POST', url, body);
  if (response.status !== 200) {
    throw new Error(
      `${url} responded with status ${response.status}: ${JSON.stringify(response.body)}`,
    );
  }
}

/** Controls and inspects the platform stand-in through its fault port. */
export class PlatformHandle {
  constructor(
    readonly process: ManagedProcess,
    private readonly faultAddress: string,
    private readonly ledgerFile: string | undefined,
  ) {}

  setFault(fault: PlatformFaultCommand): Promise<void> {
    return sendCommand(`http://${this.faultAddress}/fault`, fault);
  }

  setMembers(members: MembersCommand): Promise<void> {
    return sendCommand(`http://${this.faultAddress}/members`, members);
  }

  /** Call counts, keyed by service and access, for example `table write`. */
  async counts(): Promise<Readonly<Record<string, RequestCounts>>> {
    const response = await callJson(
      'GET',
      `http://${this.faultAddress}/counts`,
    );
    return response.body as Record<string, RequestCounts>;
  }

  resetCounts(): Promise<void> {
    return sendCommand(`http://${this.faultAddress}/counts/reset`, {});
  }

  ledger(): Promise<ReadonlyArray<PlatformLedgerEntry & LedgerStamp>> {
    return readLedger(this.ledgerFile, `http://${this.faultAddress}/ledger`);
  }
}

/** Controls and inspects one engine; several engines may share a process. */
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

  /** Injects a fault into this engine only. */
  setFault(
    fault: EngineFaultCommand['fault'],
    scope: Omit<EngineFaultCommand, 'fault' | 'engine'> = {},
  ): Promise<void> {
    const body = {fault, ...scope, engine: this.id};
    return sendCommand(`http://${this.faultAddress}/fault`, body);
  }

  /** The executions of the engine; with ledger files, those of all its incarnations. */
  ledger(): Promise<ReadonlyArray<EngineLedgerEntry & LedgerStamp>> {
    const file = this.settings.ledgerFile?.replace('{id}', this.id);
    return readLedger(
      file,
      `http://${this.faultAddress}/ledger?engine=${this.id}`,
    );
  }
}

/** Controls and inspects one replica of a plain service. */
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
    return sendCommand(`http://${this.faultAddress}/fault`, {fault, times});
  }

  ledger(): Promise<ReadonlyArray<ServiceLedgerEntry & LedgerStamp>> {
    return readLedger(this.ledgerFile, `http://${this.faultAddress}/ledger`);
  }
}

/** An instance of the system, which consists of an entry program and a control program. */
export class InstanceHandle {
  constructor(
    readonly member: InstanceMember,
    readonly entry: ManagedProcess,
    readonly control: ManagedProcess,
  ) {}

  get id(): string {
    return this.member.id;
  }

  /** Whether the entry program reports readiness for new requests within a second. */
  async isReady(): Promise<boolean> {
    try {
      const url = `http://${this.member.callerAddress}/v1/health`;
      const response = await request(url, {
        headersTimeout: 1000,
        bodyTimeout: 1000,
      });
      await response.body.dump();
      return response.statusCode === 200;
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
  const response = await callJson('GET', url);
  return (response.body as {entries: Array<Entry & LedgerStamp>}).entries;
}
