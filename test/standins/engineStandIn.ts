import {Disposable, DisposableOwner} from '../../src/base/common/lifecycle.js';
import {Result} from '../../src/base/common/result.js';
import {
  StepReceipt,
  StepRequest,
} from '../../src/infrastructure/engine/common/engineConnection.js';
import {Engine, EngineRefusal} from './engine.js';
import {
  DeathPoint,
  defaultEngineSettings,
  EngineFault,
  EngineFaultCommand,
  EngineLedgerEntry,
  EngineSettings,
  EngineStandInSettings,
  StepFault,
} from './engineSettings.js';
import {RequestAttributes, FaultList} from './faultList.js';
import {Ledger} from './ledger.js';
import {controlHandler, readLedgerOffset} from './standInControl.js';
import {runAsProgram} from './standInMain.js';
import {
  okResponse,
  StandInResponse,
  StandInRequest,
  StandInServer,
} from './standInServer.js';
import {sleep} from '../support/sleep.js';

interface Death {
  steps: number;
  readonly point: DeathPoint;
}

const REFUSAL_STATUS = {
  stale: 409,
  cacheMissing: 409,
  overloaded: 429,
  refused: 503,
} as const;

/** Serves one engine at its address, applies its faults, and replaces it after death by a new incarnation. */
class HostedEngine implements Disposable {
  private readonly ledger: Ledger<EngineLedgerEntry>;
  private readonly server: StandInServer;
  private readonly faults = new FaultList<StepFault>();
  private engine: Engine;
  private death: Death | undefined;
  private frozen: Promise<void> | undefined;
  private thaw: () => void = () => undefined;
  private lastReceipt: StepReceipt | undefined;

  constructor(
    readonly settings: EngineSettings,
    private readonly onDidDie: () => void,
  ) {
    const file = settings.ledgerFile?.replace('{id}', settings.id);
    this.ledger = new Ledger(file);
    this.server = new StandInServer(settings.address, request =>
      this.serve(request),
    );
    this.engine = this.createEngine();
  }

  start(): Promise<void> {
    return this.server.start();
  }

  ledgerAfter(sequence: number): readonly EngineLedgerEntry[] {
    return this.ledger.after(sequence);
  }

  /** Activates a fault, or clears all. */
  async setFault(command: EngineFaultCommand): Promise<void> {
    const {fault, request, times} = command;
    switch (fault.kind) {
      case 'dieAfterSteps':
        this.death = {steps: fault.steps, point: fault.point};
        return;
      case 'die':
        return this.die();
      case 'revive':
        return this.revive();
      case 'freeze':
        return this.freeze();
      case 'clear':
        return this.clear();
      default:
        if (!this.applyToEngine(fault)) {
          const scope: RequestAttributes =
            request === undefined ? {} : {request};
          this.faults.add(fault as StepFault, scope, times);
        }
    }
  }

  dispose(): void {
    this.thaw();
    this.engine.dispose();
    this.server.dispose();
    this.ledger.dispose();
  }

  private createEngine(): Engine {
    return new Engine(this.settings, this.ledger, {
      waitUntilThawed: async () => this.frozen,
      onStepPoint: point => this.dieAtPoint(point),
    });
  }

  private dieAtPoint(point: DeathPoint): void {
    const {death} = this;
    if (death === undefined) {
      return;
    }
    if (point === 'begun') {
      death.steps--;
    }
    if (death.steps <= 0 && point === death.point) {
      this.die();
    }
  }

  private die(): void {
    this.death = undefined;
    this.server.stop();
    this.engine.dispose();
    this.onDidDie();
  }

  private async revive(): Promise<void> {
    this.engine.dispose();
    this.clear();
    this.lastReceipt = undefined;
    this.engine = this.createEngine();
    await this.server.start();
  }

  private freeze(): void {
    this.frozen ??= new Promise(resolve => {
      this.thaw = resolve;
    });
  }

  private clear(): void {
    this.faults.clear();
    this.death = undefined;
    this.frozen = undefined;
    this.thaw();
    this.engine.slowFactor = 1;
    this.engine.linkOverrides.clear();
  }

  private applyToEngine(fault: EngineFault): boolean {
    const {engine} = this;
    switch (fault.kind) {
      case 'slow':
        engine.slowFactor = fault.factor;
        return true;
      case 'link':
        engine.linkOverrides.set(fault.from ?? '', fault.milliseconds);
        return true;
      case 'loseCaches':
        engine.discardCaches();
        return true;
      case 'leaving':
        engine.isLeaving = fault.leaving;
        return true;
      default:
        return false;
    }
  }

  private async serve(request: StandInRequest): Promise<StandInResponse> {
    await this.frozen;
    const route = `${request.method} ${request.path}`;
    switch (route) {
      case 'POST /v1/steps':
        return this.step(request);
      case 'POST /v1/cancellations':
        return this.cancel(request);
      case 'POST /v1/caches/exports':
        return this.exportCache(request);
      case 'POST /v1/caches/imports':
        return this.importCache(request);
      case 'PUT /v1/order': {
        const order = JSON.parse(request.text);
        const {fencing, order: orderNumber} = order;
        const result = this.engine.applyOrder(order);
        return toResponse(result, () => ({fencing, order: orderNumber}));
      }
      case 'GET /v1/report':
        return okResponse(this.engine.report());
      default:
        return this.serveExport(request);
    }
  }

  private async step(request: StandInRequest): Promise<StandInResponse> {
    const step = JSON.parse(request.text) as StepRequest;
    const fault = this.faults.takeFault(
      {request: step.requestId},
      candidate => !candidate.kind.startsWith('import'),
    );
    switch (fault?.kind) {
      case 'requestLost':
        return {kind: 'disconnect'};
      case 'refuse':
        return refusalResponse({kind: 'refused', detail: 'refused'});
      case 'overload': {
        const {retryAfterMilliseconds} = fault;
        return refusalResponse({kind: 'overloaded', retryAfterMilliseconds});
      }
    }
    const {engine} = this;
    const result = await engine.step(step, stop =>
      request.onDidDisconnect(stop),
    );
    await this.frozen;
    if (engine.isDead) {
      return {kind: 'disconnect'};
    }
    return result.ok
      ? this.respondToStep(result.value, fault)
      : refusalResponse(result.error);
  }

  private async respondToStep(
    receipt: StepReceipt,
    fault: StepFault | undefined,
  ): Promise<StandInResponse> {
    const previousReceipt = this.lastReceipt;
    this.lastReceipt = receipt;
    // Runs after the response has been handed to the socket.
    setImmediate(() => this.dieAtPoint('answered'));
    switch (fault?.kind) {
      case 'answerLost':
        return {kind: 'disconnect'};
      case 'late':
        await sleep(fault.milliseconds);
        return okResponse(receipt);
      case 'crossed':
        return okResponse(receiptOfOtherRequest(receipt, previousReceipt));
      case 'twice':
        return {kind: 'response', status: 200, body: receipt, sendTwice: true};
      default:
        return okResponse(receipt);
    }
  }

  private cancel(request: StandInRequest): StandInResponse {
    const {requestId, epoch} = JSON.parse(request.text);
    return okResponse({requestId, ...this.engine.cancel(requestId, epoch)});
  }

  private exportCache(request: StandInRequest): StandInResponse {
    const {requestId} = JSON.parse(request.text);
    return toResponse(this.engine.exportCache(requestId), reference => ({
      requestId,
      ...reference,
    }));
  }

  private async importCache(request: StandInRequest): Promise<StandInResponse> {
    const {requestId, epoch, reference} = JSON.parse(request.text);
    const fault = this.faults.takeFault({request: requestId}, candidate =>
      candidate.kind.startsWith('import'),
    );
    if (fault?.kind === 'importStale') {
      return refusalResponse({kind: 'stale', highest: epoch + 1});
    }
    if (fault?.kind === 'importAbsent') {
      return refusalResponse({kind: 'refused', detail: 'absent'});
    }
    const result = await this.engine.importCache(requestId, epoch, reference);
    return toResponse(result, positions => ({requestId, positions}));
  }

  private serveExport(request: StandInRequest): StandInResponse {
    const id = request.path.slice('/v1/caches/'.length);
    const content = this.engine.getExport(id);
    return content === undefined
      ? {kind: 'response', status: 404, body: {}}
      : okResponse(content);
  }
}

/** A program that hosts engines, one port each. */
export class EngineStandIn extends DisposableOwner {
  private readonly engines: readonly HostedEngine[];
  private readonly faultServer: StandInServer;

  constructor(settings: EngineStandInSettings) {
    super();
    const onDidDie = (): void => {
      if (settings.exitOnDeath === true) {
        process.exit(1);
      }
    };
    this.engines = settings.engines.map(engine =>
      this.register(
        new HostedEngine({...defaultEngineSettings, ...engine}, onDidDie),
      ),
    );
    this.faultServer = this.register(
      new StandInServer(
        settings.faultAddress,
        controlHandler({
          'POST /fault': request => this.setFault(JSON.parse(request.text)),
          'GET /ledger': request => ({
            entries: this.ledger(
              request.query.get('engine') ?? undefined,
              readLedgerOffset(request),
            ),
          }),
        }),
      ),
    );
  }

  async start(): Promise<void> {
    await Promise.all(this.engines.map(engine => engine.start()));
    await this.faultServer.start();
  }

  /** Activates a fault at one engine or at all. */
  async setFault(command: EngineFaultCommand): Promise<void> {
    await Promise.all(
      this.selectEngines(command.engine).map(engine =>
        engine.setFault(command),
      ),
    );
  }

  /** Ledger entries of one engine, or of all engines in the order of the settings. */
  ledger(engine?: string, after = 0): readonly EngineLedgerEntry[] {
    return this.selectEngines(engine).flatMap(hosted =>
      hosted.ledgerAfter(after),
    );
  }

  private selectEngines(id: string | undefined): readonly HostedEngine[] {
    return this.engines.filter(
      engine => id === undefined || engine.settings.id === id,
    );
  }
}

function toResponse<T>(
  result: Result<T, EngineRefusal>,
  body: (value: T) => unknown,
): StandInResponse {
  return result.ok
    ? okResponse(body(result.value))
    : refusalResponse(result.error);
}

function refusalResponse(error: EngineRefusal): StandInResponse {
  const status = REFUSAL_STATUS[error.kind];
  return {kind: 'response', status, body: {error}};
}

function receiptOfOtherRequest(
  receipt: StepReceipt,
  previousReceipt: StepReceipt | undefined,
): StepReceipt {
  if (
    previousReceipt !== undefined &&
    previousReceipt.requestId !== receipt.requestId
  ) {
    return previousReceipt;
  }
  return {...receipt, requestId: `other-than-${receipt.requestId}`};
}

/** Starts the engines and the fault address. */
export async function startEngines(
  settings: EngineStandInSettings,
): Promise<EngineStandIn> {
  const standIn = new EngineStandIn(settings);
  await standIn.start();
  return standIn;
}

await runAsProgram(import.meta.url, startEngines);
