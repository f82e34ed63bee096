import process from 'node:process';

import {
  makeConfiguration,
  RouterInstance,
  StandInSystem,
} from '../standins/fleet/system.js';
import {sleep} from '../support/sleep.js';
import {Departure, Impairment, ProcessEvent} from './history.js';
import {Fault, FaultSignal, Schedule} from './schedule.js';

/** Plays the faults of a schedule on a system and writes down what really happened. */

const POLL_MILLISECONDS = 10;

/** An ended process is started again after this time. */
const RESTART_MILLISECONDS = 300;

/** An engine that crashed starts again after this time. */
const ENGINE_DOWN_MILLISECONDS = 1_500;

/** An upstream that left serves on for the draining time and a little longer. */
const SERVES_ON_MILLISECONDS = 3_000;

/** An engine that was restarted loads its layers anew. */
const ENGINE_RECOVERY_MILLISECONDS = 500;

/** A service that names a limit or fails is judged again this long after it. */
const AFTER_MILLISECONDS = 200;

/** Plays faults; all processes that it finds ended start again. */
export class FaultPlayer {
  readonly processEvents: ProcessEvent[] = [];
  readonly impairments: Impairment[] = [];
  readonly departures: Departure[] = [];
  /** Number of faults that really happened, by kind. */
  readonly played = new Map<string, number>();
  private readonly armed = new Map<
    string,
    Array<Fault & {kind: 'signalAfterStart'}>
  >();
  private isEnded = false;
  private version = 1;
  private replacementCount = 0;

  constructor(
    private readonly system: StandInSystem,
    private readonly schedule: Schedule,
    private readonly configuration: Readonly<Record<string, unknown>>,
  ) {}

  /** Plays all faults; resolves when the last one has been played. */
  async play(): Promise<void> {
    const start = performance.now();
    const {instances} = this.system;
    for (const {name} of instances) {
      this.note({kind: 'start', instance: name, at: -Infinity});
    }
    instances.forEach(instance => void this.watch(instance));
    for (const {atMilliseconds, fault} of this.schedule.faults) {
      await sleep(Math.max(0, start + atMilliseconds - performance.now()));
      this.playOne(fault);
    }
  }

  /** Ends the restarts of processes. */
  end(): void {
    this.isEnded = true;
  }

  private note(event: ProcessEvent): void {
    this.processEvents.push(event);
  }

  private count(kind: string): void {
    this.played.set(kind, (this.played.get(kind) ?? 0) + 1);
  }

  private playOne(fault: Fault): void {
    switch (fault.kind) {
      case 'signal':
        this.signal(this.instance(fault.instance), fault.signal);
        return;
      case 'signalAfterStart':
        this.arm(this.instance(fault.instance).name, fault);
        return;
      case 'freeze':
        void this.freeze(this.instance(fault.instance), fault.milliseconds);
        return;
      case 'engineCrash':
        void this.crashEngine(fault.engine);
        return;
      case 'enginePause':
        this.pauseEngine(fault.engine, fault.milliseconds);
        return;
      case 'plainLeave':
        void this.leave(fault.replica);
        return;
      case 'plainBehaviour':
      case 'plainLimit':
        void this.spoil(fault);
        return;
      case 'store':
        void this.breakStore(fault);
        return;
      case 'configure':
        this.configure();
        return;
    }
  }

  private instance(index: number): RouterInstance {
    return this.system.instances[index]!;
  }

  private arm(name: string, fault: Fault & {kind: 'signalAfterStart'}): void {
    this.armed.set(name, [...(this.armed.get(name) ?? []), fault]);
  }

  private signal(
    {name, process: target}: RouterInstance,
    signal: FaultSignal,
    isOverdue = false,
  ): void {
    if (!target.isRunning) {
      this.count(`${signal} to no process`);
      return;
    }
    const at = performance.now();
    process.kill(target.pid, signal);
    this.note({kind: 'signal', instance: name, at, signal, isOverdue});
    this.count(signal);
    if (signal === 'SIGTERM') {
      this.killOverdue({name, process: target}, target.pid);
    }
  }

  /** The platform kills a process that still runs at the end of the time for a stop. */
  private killOverdue(
    {name, process: target}: Pick<RouterInstance, 'name' | 'process'>,
    pid: number,
  ): void {
    setTimeout(() => {
      if (target.isRunning && target.pid === pid && !this.isEnded) {
        const at = performance.now();
        process.kill(pid, 'SIGKILL');
        const signal = 'SIGKILL';
        this.note({
          kind: 'signal',
          instance: name,
          at,
          signal,
          isOverdue: true,
        });
        this.count('overdue SIGKILL');
      }
    }, this.schedule.stopSeconds * 1000);
  }

  private async freeze(
    {name, process: target}: RouterInstance,
    milliseconds: number,
  ): Promise<void> {
    if (!target.isRunning) {
      this.count('freeze of no process');
      return;
    }
    const at = performance.now();
    target.freeze();
    this.count('freeze');
    this.note({kind: 'freeze', instance: name, at, until: at + milliseconds});
    await sleep(milliseconds);
    target.resume();
  }

  /** Notes each end of a process and starts it again. */
  private async watch(instance: RouterInstance): Promise<void> {
    const {name, process: target} = instance;
    while (!this.isEnded) {
      if (target.isRunning) {
        await sleep(POLL_MILLISECONDS);
        continue;
      }
      // The process has ended, so that this sends no signal but returns the code.
      const code = await target.terminate();
      this.note({kind: 'exit', instance: name, at: performance.now(), code});
      await sleep(RESTART_MILLISECONDS);
      if (!this.isEnded) {
        this.note({kind: 'start', instance: name, at: performance.now()});
        await target.restart();
        this.playArmed(instance);
      }
    }
  }

  private playArmed(instance: RouterInstance): void {
    const faults = this.armed.get(instance.name) ?? [];
    this.armed.delete(instance.name);
    for (const {signal, delayMilliseconds} of faults) {
      setTimeout(() => {
        if (!this.isEnded) {
          this.signal(instance, signal);
          this.count(`${signal} at start`);
        }
      }, delayMilliseconds);
    }
  }

  private async crashEngine(index: number): Promise<void> {
    const {engines} = this.system.engines;
    const engine = engines[index % engines.length]!;
    if (!engine.isRunning) {
      this.count('engineCrash of no process');
      return;
    }
    const recovery = ENGINE_DOWN_MILLISECONDS + ENGINE_RECOVERY_MILLISECONDS;
    this.impair(engine.address, recovery);
    this.count('engineCrash');
    engine.crash();
    await sleep(ENGINE_DOWN_MILLISECONDS);
    if (!this.isEnded) {
      engines.splice(engines.indexOf(engine), 1);
      await engine.restart();
    }
  }

  private pauseEngine(index: number, milliseconds: number): void {
    const {engines} = this.system.engines;
    const engine = engines[index % engines.length]!;
    engine.pauseFor(milliseconds);
    this.impair(engine.address, milliseconds);
    this.count('enginePause');
  }

  private async leave(index: number): Promise<void> {
    const {plainReplicas} = this.system;
    const replica = plainReplicas[index]!;
    const {zone} = replica;
    const id = `plain-next-${++this.replacementCount}`;
    plainReplicas[index] = await this.system.startPlainReplica(id, zone);
    plainReplicas.pop();
    plainReplicas[index]!.workMilliseconds = replica.workMilliseconds;
    replica.publishRow('draining');
    this.departures.push({upstream: replica.id, at: performance.now()});
    this.count('plainLeave');
    await sleep(SERVES_ON_MILLISECONDS);
    if (!this.isEnded) {
      this.impair(replica.address, AFTER_MILLISECONDS);
      this.system.store.remove('servers', replica.id);
      replica.dispose();
    }
  }

  private async spoil(
    fault: Fault & {kind: 'plainBehaviour' | 'plainLimit'},
  ): Promise<void> {
    const replica = this.system.plainReplicas[fault.replica]!;
    this.count(
      fault.kind === 'plainLimit' ? fault.kind : `plain ${fault.behaviour}`,
    );
    if (fault.kind === 'plainLimit') {
      replica.requestLimit = fault.requestsPerSecond;
    } else {
      this.impair(replica.address, fault.milliseconds + AFTER_MILLISECONDS);
      replica.behaviour = fault.behaviour;
    }
    await sleep(fault.milliseconds);
    if (fault.kind === 'plainLimit') {
      replica.requestLimit = undefined;
    } else {
      replica.behaviour = 'answer';
    }
  }

  private async breakStore(fault: Fault & {kind: 'store'}): Promise<void> {
    const {store} = this.system;
    store.fault = fault.fault;
    this.impair('store', fault.milliseconds);
    this.count(`store ${fault.fault}`);
    await sleep(fault.milliseconds);
    store.fault = 'none';
  }

  private impair(subject: string, milliseconds: number): void {
    const from = performance.now();
    this.impairments.push({subject, from, until: from + milliseconds});
  }

  /** Publishes a version that changes nothing which requests of the run depend on. */
  private configure(): void {
    const version = ++this.version;
    this.system.store.put(
      'op',
      'config',
      makeConfiguration(version, this.configuration),
    );
    this.count('configure');
  }
}
