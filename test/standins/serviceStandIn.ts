import {createHash} from 'node:crypto';

import {DisposableOwner} from '../../src/base/common/lifecycle.js';
import {FaultList} from './faultList.js';
import {Ledger} from './ledger.js';
import {controlHandler, readLedgerOffset} from './standInControl.js';
import {runAsProgram} from './standInMain.js';
import {
  StandInResponse,
  StandInRequest,
  StandInServer,
} from './standInServer.js';
import {sleep} from '../support/sleep.js';

/** Settings of a plain service stand-in; addresses are `IP:port`. */
export interface ServiceStandInSettings {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly faultAddress: string;
  /** Execution time of one request. */
  readonly milliseconds?: number;
  readonly ledgerFile?: string;
}

/** A fault of the service. */
export type ServiceFault =
  /** Closes the port. */
  | {readonly kind: 'down'}
  /** Closes the connection before execution. */
  | {readonly kind: 'requestLost'}
  /** Executes, then closes the connection. */
  | {readonly kind: 'answerLost'}
  /** Executes, but never responds. */
  | {readonly kind: 'silent'}
  /** Executes without delay, then delays the response. */
  | {readonly kind: 'late'; readonly milliseconds: number}
  /** Delays the execution. */
  | {readonly kind: 'slow'; readonly milliseconds: number}
  /** Status 503 with the header `redwing-executed: no`. */
  | {readonly kind: 'refuse'}
  /** Executes, then responds with status 500. */
  | {readonly kind: 'failed'}
  /** Executes, then responds with the id of another request. */
  | {readonly kind: 'crossed'};

/** Body of `POST /fault`. */
export interface ServiceFaultCommand {
  readonly fault: ServiceFault | {readonly kind: 'clear'};
  readonly times?: number;
}

/** A ledger entry: one executed request. */
export interface ServiceLedgerEntry {
  readonly upstream: string;
  readonly requestId: string;
  /** The business key: the string `key` of a JSON body, if any. */
  readonly key: string | undefined;
  readonly method: string;
  readonly path: string;
  /** Wall-clock milliseconds at which the request arrived; it is executed later. */
  readonly receivedAt: number;
}

const DEFAULT_EXECUTION_MILLISECONDS = 2;
/** Maximum number of concurrent requests; further ones are refused. */
const CONCURRENCY_LIMIT = 64;
const REFUSAL_RETRY_MILLISECONDS = 200;

/** One replica of a plain service; records each request that it executes in its ledger. */
export class ServiceStandIn extends DisposableOwner {
  private readonly faults = new FaultList<ServiceFault>();
  private readonly ledger: Ledger<ServiceLedgerEntry>;
  private readonly server: StandInServer;
  private readonly faultServer: StandInServer;
  private running = 0;

  constructor(private readonly settings: ServiceStandInSettings) {
    super();
    this.ledger = this.register(new Ledger(settings.ledgerFile));
    this.server = this.register(
      new StandInServer(settings.address, request => this.serve(request)),
    );
    this.faultServer = this.register(
      new StandInServer(
        settings.faultAddress,
        controlHandler({
          'POST /fault': request => this.setFault(JSON.parse(request.text)),
          'GET /ledger': request => ({
            entries: this.executions(readLedgerOffset(request)),
          }),
        }),
      ),
    );
  }

  async start(): Promise<void> {
    await this.server.start();
    await this.faultServer.start();
  }

  /** Activates a fault, or clears all. */
  async setFault(command: ServiceFaultCommand): Promise<void> {
    switch (command.fault.kind) {
      case 'clear':
        this.faults.clear();
        return this.server.start();
      case 'down':
        return this.server.stop();
      default:
        this.faults.add(command.fault, {}, command.times);
    }
  }

  /** Ledger entries after a sequence number. */
  executions(after = 0): readonly ServiceLedgerEntry[] {
    return this.ledger.after(after);
  }

  private async serve(request: StandInRequest): Promise<StandInResponse> {
    const fault = this.faults.takeFault({});
    if (fault?.kind === 'requestLost') {
      return {kind: 'disconnect'};
    }
    if (fault?.kind === 'refuse' || this.running >= CONCURRENCY_LIMIT) {
      return refusedResponse();
    }
    this.running++;
    try {
      return await this.run(request, fault);
    } finally {
      this.running--;
    }
  }

  private async run(
    request: StandInRequest,
    fault: ServiceFault | undefined,
  ): Promise<StandInResponse> {
    const requestId = String(request.headers['redwing-request-id'] ?? '');
    const receivedAt = Date.now();
    const delay = fault?.kind === 'slow' ? fault.milliseconds : 0;
    await sleep(
      (this.settings.milliseconds ?? DEFAULT_EXECUTION_MILLISECONDS) + delay,
    );
    this.ledger.add({
      upstream: this.settings.id,
      requestId,
      key: readBusinessKey(request.text),
      method: request.method,
      path: request.path,
      receivedAt,
    });
    return this.createResponse(request, requestId, fault);
  }

  private async createResponse(
    request: StandInRequest,
    requestId: string,
    fault: ServiceFault | undefined,
  ): Promise<StandInResponse> {
    const body = expectedServiceBody(
      this.settings.service,
      request.method,
      request.path,
      request.text,
    );
    const headers = {'redwing-request-id': requestId};
    switch (fault?.kind) {
      case 'answerLost':
        return {kind: 'disconnect'};
      case 'silent':
        return {kind: 'noResponse'};
      case 'failed':
        return {kind: 'response', status: 500, body: {failed: true}, headers};
      case 'crossed': {
        const crossed = {'redwing-request-id': `other-than-${requestId}`};
        return {kind: 'response', status: 200, body, headers: crossed};
      }
      case 'late':
        await sleep(fault.milliseconds);
        return {kind: 'response', status: 200, body, headers};
      default:
        return {kind: 'response', status: 200, body, headers};
    }
  }
}

/** The correct response body of a plain service to a request. */
export function expectedServiceBody(
  service: string,
  method: string,
  path: string,
  body: string,
): unknown {
  const digest = createHash('sha256').update(body).digest('hex').slice(0, 16);
  return {service, method, path, digest, key: readBusinessKey(body)};
}

function readBusinessKey(body: string): string | undefined {
  try {
    const parsed = JSON.parse(body) as {key?: unknown} | null;
    return typeof parsed?.key === 'string' ? parsed.key : undefined;
  } catch {
    return undefined;
  }
}

function refusedResponse(): StandInResponse {
  return {
    kind: 'response',
    status: 503,
    body: {error: {kind: 'refused'}},
    headers: {
      'redwing-executed': 'no',
      'retry-after-milliseconds': String(REFUSAL_RETRY_MILLISECONDS),
    },
  };
}

/** Starts a plain service stand-in. */
export async function startService(
  settings: ServiceStandInSettings,
): Promise<ServiceStandIn> {
  const standIn = new ServiceStandIn(settings);
  await standIn.start();
  return standIn;
}

await runAsProgram(import.meta.url, startService);
