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
import {CallSite, FaultList} from './faultList.js';
import {Ledger} from './ledger.js';
import {controlHandler, seenBy} from './standInControl.js';
import {runAsProgram} from './standInMain.js';
import {
  answerOk,
  StandInAnswer,
  StandInCall,
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

/** One engine at its address, through its deaths and returns, with its faults. */
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
    this.server = new StandInServer(settings.address, call => this.serve(call));
    this.engine = this.createEngine();
  }

  start(): Promise<void> {
    return this.server.start();
  }

  ledgerAfter(sequence: number): readonly EngineLedgerEntry[] {
    return this.ledger.after(sequence);
  }

  /** Puts a fault in force. */
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
        if (!this.changeEngine(fault)) {
          const scope: CallSite = request === undefined ? {} : {request};
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
      thawed: async () => this.frozen,
      reached: point => this.reached(point),
    });
  }

  private reached(point: DeathPoint): void {
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
    this.engine.links.clear();
  }

  private changeEngine(fault: EngineFault): boolean {
    const {engine} = this;
    switch (fault.kind) {
      case 'slow':
        engine.slowFactor = fault.factor;
        return true;
      case 'link':
        engine.links.set(fault.from ?? '', fault.milliseconds);
        return true;
      case 'loseCaches':
        engine.loseCaches();
        return true;
      case 'leaving':
        engine.isLeaving = fault.leaving;
        return true;
      default:
        return false;
    }
  }

  private async serve(call: StandInCall): Promise<StandInAnswer> {
    await this.frozen;
    const route = `${call.method} ${call.path}`;
    switch (route) {
      case 'POST /v1/steps':
        return this.step(call);
      case 'POST /v1/cancellations':
        return this.cancel(call);
      case 'POST /v1/caches/exports':
        return this.exportCache(call);
      case 'POST /v1/caches/imports':
        return this.importCache(call);
      case 'PUT /v1/order': {
        const order = JSON.parse(call.text);
        const {fencing, order: number} = order;
        const result = this.engine.order(order);
        return toAnswer(result, () => ({fencing, order: number}));
      }
      case 'GET /v1/report':
        return answerOk(this.engine.report());
      default:
        return this.content(call);
    }
  }

  private async step(call: StandInCall): Promise<StandInAnswer> {
    const step = JSON.parse(call.text) as StepRequest;
    const fault = this.faults.strike(
      {request: step.requestId},
      candidate => !candidate.kind.startsWith('import'),
    );
    switch (fault?.kind) {
      case 'requestLost':
        return {kind: 'cut'};
      case 'refuse':
        return refusal({kind: 'refused', detail: 'refused'});
      case 'overload': {
        const {retryAfterMilliseconds} = fault;
        return refusal({kind: 'overloaded', retryAfterMilliseconds});
      }
    }
    const {engine} = this;
    const result = await engine.step(step, stop => call.onDidGo(stop));
    await this.frozen;
    if (engine.isDead) {
      return {kind: 'cut'};
    }
    return result.ok
      ? this.answerStep(result.value, fault)
      : refusal(result.error);
  }

  private async answerStep(
    receipt: StepReceipt,
    fault: StepFault | undefined,
  ): Promise<StandInAnswer> {
    const earlier = this.lastReceipt;
    this.lastReceipt = receipt;
    // Runs after the answer was handed to the socket.
    setImmediate(() => this.reached('answered'));
    switch (fault?.kind) {
      case 'answerLost':
        return {kind: 'cut'};
      case 'late':
        await sleep(fault.milliseconds);
        return answerOk(receipt);
      case 'crossed':
        return answerOk(crossedReceipt(receipt, earlier));
      case 'twice':
        return {kind: 'answer', status: 200, body: receipt, twice: true};
      default:
        return answerOk(receipt);
    }
  }

  private cancel(call: StandInCall): StandInAnswer {
    const {requestId, epoch} = JSON.parse(call.text);
    return answerOk({requestId, ...this.engine.cancel(requestId, epoch)});
  }

  private exportCache(call: StandInCall): StandInAnswer {
    const {requestId} = JSON.parse(call.text);
    return toAnswer(this.engine.exportCache(requestId), reference => ({
      requestId,
      ...reference,
    }));
  }

  private async importCache(call: StandInCall): Promise<StandInAnswer> {
    const {requestId, epoch, reference} = JSON.parse(call.text);
    const fault = this.faults.strike({request: requestId}, candidate =>
      candidate.kind.startsWith('import'),
    );
    if (fault?.kind === 'importStale') {
      return refusal({kind: 'stale', highest: epoch + 1});
    }
    if (fault?.kind === 'importAbsent') {
      return refusal({kind: 'refused', detail: 'absent'});
    }
    const result = await this.engine.importCache(requestId, epoch, reference);
    return toAnswer(result, positions => ({requestId, positions}));
  }

  private content(call: StandInCall): StandInAnswer {
    const id = call.path.slice('/v1/caches/'.length);
    const content = this.engine.exported(id);
    return content === undefined
      ? {kind: 'answer', status: 404, body: {}}
      : answerOk(content);
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
          'POST /fault': call => this.setFault(JSON.parse(call.text)),
          'GET /ledger': call => ({
            entries: this.ledger(
              call.query.get('engine') ?? undefined,
              seenBy(call),
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

  /** Puts a fault in force at one engine or all. */
  async setFault(command: EngineFaultCommand): Promise<void> {
    await Promise.all(
      this.chosen(command.engine).map(engine => engine.setFault(command)),
    );
  }

  /** What an engine executed, or all engines one after the other. */
  ledger(engine?: string, after = 0): readonly EngineLedgerEntry[] {
    return this.chosen(engine).flatMap(hosted => hosted.ledgerAfter(after));
  }

  private chosen(id: string | undefined): readonly HostedEngine[] {
    return this.engines.filter(
      engine => id === undefined || engine.settings.id === id,
    );
  }
}

function toAnswer<T>(
  result: Result<T, EngineRefusal>,
  body: (value: T) => unknown,
): StandInAnswer {
  return result.ok ? answerOk(body(result.value)) : refusal(result.error);
}

function refusal(error: EngineRefusal): StandInAnswer {
  const status = REFUSAL_STATUS[error.kind];
  return {kind: 'answer', status, body: {error}};
}

function crossedReceipt(
  receipt: StepReceipt,
  earlier: StepReceipt | undefined,
): StepReceipt {
  if (earlier !== undefined && earlier.requestId !== receipt.requestId) {
    return earlier;
  }
  return {...receipt, requestId: `other-than-${receipt.requestId}`};
}

/** Starts a program of engines. */
export async function startEngines(
  settings: EngineStandInSettings,
): Promise<EngineStandIn> {
  const standIn = new EngineStandIn(settings);
  await standIn.start();
  return standIn;
}

await runAsProgram(import.meta.url, startEngines);
