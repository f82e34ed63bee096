import {RandomSource} from '../../src/base/common/randomSource.js';
import {EngineFault} from '../standins/engineSettings.js';
import {
  PlatformFault,
  PlatformFaultCommand,
} from '../standins/platformStandIn.js';
import {ServiceFault} from '../standins/serviceStandIn.js';
import {LaunchedSystem} from '../support/launcher.js';
import {ManagedProcess} from '../support/managedProcess.js';
import {EngineHandle, ServiceHandle} from '../support/systemHandles.js';
import {LeavingWindow} from './observations.js';
import {OperatorClient} from './operatorClient.js';

/** The faults that fault-injection rounds can cause, each with the step that ends it. */

/** A fault chosen for a round, with its target. */
export interface InjectedFault {
  readonly name: string;
  /** Id of the affected upstream or instance; `all` when it affects every instance. */
  readonly target: string;
  /** How long callers submit new work while the fault lasts. */
  readonly durationMilliseconds: number;
  /** Whether a planned stop during this fault must still complete all requests. */
  readonly isHarmlessToCallers: boolean;
  inject(): Promise<void>;
  clear(): Promise<void>;
}

/** The state of a round that faults use, and the evidence that they add for the checks. */
export interface FaultContext {
  readonly round: number;
  readonly operatorClient: OperatorClient;
  readonly leavingWindows: LeavingWindow[];
  readonly exitCodes: Array<{
    readonly instance: string;
    readonly code: number | undefined;
  }>;
}

/** Chooses the target of a fault and returns the fault, not yet injected. */
export type FaultFactory = (
  system: LaunchedSystem,
  random: RandomSource,
  context: FaultContext,
) => InjectedFault;

const FAULT_MILLISECONDS = 500;
const LEAVING_FAULT_MILLISECONDS = 5000;
const LIST_LAG_MILLISECONDS = 700;

/** All faults by target group and name; a round chooses the group first, then a fault of it. */
export const faultFactories: Readonly<
  Record<string, Readonly<Record<string, FaultFactory>>>
> = {
  stages: {
    stageKilled: (system, random) => {
      const {id, process} = pickRandom(system.engines, random);
      return killFault('stageKilled', id, process);
    },
    stagePaused: (system, random) => {
      const {id, process} = pickRandom(system.engines, random);
      return pauseFault('stagePaused', id, process);
    },
    stageDiesBegun: stageCrash('begun'),
    stageDiesComputed: stageCrash('computed'),
    stageDiesAnswered: stageCrash('answered'),
    stageFrozen: engineFault('stageFrozen', {kind: 'freeze'}),
    stageSlow: engineFault('stageSlow', {kind: 'slow', factor: 40}),
    stageRequestLost: engineFault('stageRequestLost', {kind: 'requestLost'}, 3),
    stageAnswerLost: engineFault('stageAnswerLost', {kind: 'answerLost'}, 3),
    stageLate: engineFault('stageLate', {kind: 'late', milliseconds: 900}, 3),
    stageTwice: engineFault('stageTwice', {kind: 'twice'}, 5),
    stageCrossed: engineFault('stageCrossed', {kind: 'crossed'}, 3),
    stageRefuses: engineFault('stageRefuses', {kind: 'refuse'}, 5),
    cachesLost: engineFault('cachesLost', {kind: 'loseCaches'}),
    cutLink: engineFault('cutLink', {
      kind: 'link',
      from: '*',
      milliseconds: 80,
    }),
    importAbsent: stageKillWithImportFault({kind: 'importAbsent'}),
    importStale: stageKillWithImportFault({kind: 'importStale'}),
  },
  instances: {
    entryKilled: (system, random) => {
      const {id, entry} = pickRandom(system.instances, random);
      return killFault('entryKilled', id, entry);
    },
    entryPaused: (system, random) => {
      const {id, entry} = pickRandom(system.instances, random);
      return pauseFault('entryPaused', id, entry);
    },
    entryStopped,
    controlKilled: (system, random) => {
      const {id, control} = pickRandom(system.instances, random);
      return killFault('controlKilled', id, control);
    },
    controlPaused: (system, random) => {
      const {id, control} = pickRandom(system.instances, random);
      return pauseFault('controlPaused', id, control);
    },
    instanceKilled: (system, random) => {
      const {id, entry, control} = pickRandom(system.instances, random);
      return combine(
        killFault('instanceKilled', id, entry),
        killFault('instanceKilled', id, control),
      );
    },
  },
  platform: {
    tableDown: platformFault('tableDown', {kind: 'down'}, {part: 'table'}),
    tableSilent: platformFault(
      'tableSilent',
      {kind: 'silent'},
      {part: 'table'},
    ),
    tableSlow: platformFault(
      'tableSlow',
      {kind: 'slow', milliseconds: 400},
      {part: 'table'},
    ),
    tableAnswerLost: platformFault(
      'tableAnswerLost',
      {kind: 'answerLost'},
      {part: 'table', access: 'write', times: 4},
    ),
    tableRateLimited: platformFault(
      'tableRateLimited',
      {kind: 'rateLimited', retryAfterMilliseconds: 200},
      {part: 'table', access: 'write'},
    ),
    tableDownForOne: tableFaultForOne('tableDownForOne', {kind: 'down'}),
    tableAnswerLostForOne: tableFaultForOne('tableAnswerLostForOne', {
      kind: 'answerLost',
    }),
    objectsDown: platformFault(
      'objectsDown',
      {kind: 'down'},
      {part: 'objects'},
    ),
    listDown: platformFault('listDown', {kind: 'down'}, {part: 'membership'}),
  },
  operations: {
    upstreamLeaving,
    instanceLeaving,
    racingOperators,
    racingOperatorsAnswerLost,
  },
  services: {
    serviceKilled: (system, random) => {
      const {id, process} = pickRandom(system.services, random);
      return killFault('serviceKilled', id, process);
    },
    serviceRequestLost: serviceFault('serviceRequestLost', {
      kind: 'requestLost',
    }),
    serviceAnswerLost: serviceFault('serviceAnswerLost', {kind: 'answerLost'}),
    serviceSilent: serviceFault('serviceSilent', {kind: 'silent'}),
    serviceLate: serviceFault('serviceLate', {kind: 'late', milliseconds: 900}),
    serviceSlow: serviceFault('serviceSlow', {kind: 'slow', milliseconds: 900}),
    serviceCrossed: serviceFault('serviceCrossed', {kind: 'crossed'}),
    serviceRefuses: serviceFault('serviceRefuses', {kind: 'refuse'}),
  },
};

function pickRandom<T>(items: readonly T[], random: RandomSource): T {
  return items[random.nextInteger(items.length)]!;
}

function makeFault(
  name: string,
  target: string,
  inject: () => Promise<void>,
  clear: () => Promise<void>,
): InjectedFault {
  const durationMilliseconds = FAULT_MILLISECONDS;
  return {
    name,
    target,
    durationMilliseconds,
    isHarmlessToCallers: false,
    inject,
    clear,
  };
}

function combine(first: InjectedFault, second: InjectedFault): InjectedFault {
  return {
    ...first,
    inject: async () => {
      await Promise.all([first.inject(), second.inject()]);
    },
    clear: async () => {
      await Promise.all([first.clear(), second.clear()]);
    },
  };
}

/** Two faults of a round may have ended the same process; only the first call starts it again. */
async function restartIfEnded(process: ManagedProcess): Promise<void> {
  if (!process.isRunning) {
    await process.restart();
  }
}

function killFault(
  name: string,
  target: string,
  process: ManagedProcess,
): InjectedFault {
  return makeFault(
    name,
    target,
    () => process.kill(),
    () => restartIfEnded(process),
  );
}

function pauseFault(
  name: string,
  target: string,
  process: ManagedProcess,
): InjectedFault {
  return makeFault(
    name,
    target,
    async () => process.freeze(),
    async () => process.resume(),
  );
}

function engineFault(
  name: string,
  engineFault: EngineFault,
  times?: number,
): FaultFactory {
  return (system, random) => {
    const engine = pickRandom(system.engines, random);
    return makeFault(
      name,
      engine.id,
      () => ignoreUnreachable(() => engine.setFault(engineFault, {times})),
      () => restore(system, engine),
    );
  };
}

/** Ignores connection errors: another fault of the round may have killed or paused the process. */
async function ignoreUnreachable(command: () => Promise<void>): Promise<void> {
  try {
    await command();
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === undefined) {
      throw error;
    }
  }
}

/** Returns a stand-in to normal operation, also after other faults of the round. */
async function restore(
  system: LaunchedSystem,
  standIn: EngineHandle | ServiceHandle,
): Promise<void> {
  standIn.process.resume();
  await restartIfEnded(standIn.process);
  await system.waitUntil(`${standIn.id} responds`, () =>
    standIn.setFault({kind: 'clear'}).then(
      () => true,
      () => false,
    ),
  );
}

function stageCrash(point: 'begun' | 'computed' | 'answered'): FaultFactory {
  return (system, random, context) => {
    const steps = 1 + random.nextInteger(6);
    const crash: EngineFault = {kind: 'dieAfterSteps', steps, point};
    const name = `stageDies-${point}-${steps}`;
    return engineFault(name, crash)(system, random, context);
  };
}

/** A stage is killed, and its replacement can't import the exported KV cache. */
function stageKillWithImportFault(importFault: EngineFault): FaultFactory {
  return (system, random) => {
    const {id, process} = pickRandom(system.engines, random);
    const kill = killFault(importFault.kind, id, process);
    const others = system.engines.filter(engine => engine.id !== id);
    return {
      ...kill,
      inject: async () => {
        await Promise.all(
          others.map(engine =>
            ignoreUnreachable(() => engine.setFault(importFault, {times: 5})),
          ),
        );
        await kill.inject();
      },
      clear: async () => {
        await Promise.all(others.map(engine => restore(system, engine)));
        await kill.clear();
      },
    };
  };
}

function entryStopped(
  system: LaunchedSystem,
  random: RandomSource,
  context: FaultContext,
): InjectedFault {
  const {id, entry} = pickRandom(system.instances, random);
  let exitCode: Promise<number | undefined> | undefined;
  return makeFault(
    'entryStopped',
    id,
    async () => {
      exitCode = entry.isRunning ? entry.terminate() : undefined;
    },
    async () => {
      if (exitCode !== undefined) {
        context.exitCodes.push({instance: id, code: await exitCode});
      }
      await restartIfEnded(entry);
    },
  );
}

function platformFault(
  name: string,
  platformFault: PlatformFault,
  scope: Omit<PlatformFaultCommand, 'fault'>,
): FaultFactory {
  return system => ({
    ...makeFault(
      name,
      scope.instance ?? 'all',
      () => system.platform.setFault({fault: platformFault, ...scope}),
      () => clearPlatform(system, scope),
    ),
    isHarmlessToCallers:
      scope.part === 'objects' || scope.part === 'membership',
  });
}

function clearPlatform(
  system: LaunchedSystem,
  scope: Omit<PlatformFaultCommand, 'fault'>,
): Promise<void> {
  return system.platform.setFault({fault: {kind: 'clear'}, part: scope.part});
}

/** The table is unreachable, or its responses are lost, for one instance only. */
function tableFaultForOne(name: string, kind: PlatformFault): FaultFactory {
  return (system, random, context) => {
    const {id} = pickRandom(system.instances, random);
    const scope = {part: 'table', instance: id} as const;
    return platformFault(name, kind, scope)(system, random, context);
  };
}

function upstreamLeaving(
  system: LaunchedSystem,
  random: RandomSource,
  context: FaultContext,
): InjectedFault {
  const {member} = pickRandom([...system.engines, ...system.services], random);
  let from = 0;
  return {
    ...makeFault(
      'upstreamLeaving',
      member.id,
      async () => {
        from = Date.now();
        await system.platform.setMembers({
          set: [{...member, state: 'leaving'}],
          lagMilliseconds: LIST_LAG_MILLISECONDS,
        });
      },
      async () => {
        const lagMilliseconds = LIST_LAG_MILLISECONDS;
        const to = Date.now();
        context.leavingWindows.push({
          upstream: member.id,
          from,
          to,
          lagMilliseconds,
        });
        await system.platform.setMembers({set: [member], lagMilliseconds: 0});
      },
    ),
    durationMilliseconds: LEAVING_FAULT_MILLISECONDS,
    isHarmlessToCallers: true,
  };
}

function instanceLeaving(
  system: LaunchedSystem,
  random: RandomSource,
): InjectedFault {
  const {member} = pickRandom(system.instances, random);
  return makeFault(
    'instanceLeaving',
    member.id,
    () => system.setMemberState(member, 'leaving'),
    () => system.setMemberState(member, 'live'),
  );
}

/** Operators at all instances change the configuration concurrently. */
function racingOperators(
  system: LaunchedSystem,
  _random: RandomSource,
  {round, operatorClient}: FaultContext,
): InjectedFault {
  let changes: ReadonlyArray<Promise<boolean>> = [];
  const inject = async (): Promise<void> => {
    changes = system.instances.map(instance =>
      operatorClient.addAccount(instance, `r${round}-${instance.id}`),
    );
  };
  const clear = async (): Promise<void> => {
    await Promise.all(changes);
  };
  return {
    ...makeFault('racingOperators', 'all', inject, clear),
    isHarmlessToCallers: true,
  };
}

function racingOperatorsAnswerLost(
  system: LaunchedSystem,
  random: RandomSource,
  context: FaultContext,
): InjectedFault {
  const lostResponseFault = faultFactories['platform']!['tableAnswerLost']!(
    system,
    random,
    context,
  );
  const operatorFault = racingOperators(system, random, context);
  return {
    ...operatorFault,
    name: 'racingOperatorsAnswerLost',
    isHarmlessToCallers: false,
    inject: async () => {
      await lostResponseFault.inject();
      await operatorFault.inject();
    },
    clear: async () => {
      await lostResponseFault.clear();
      await operatorFault.clear();
    },
  };
}

function serviceFault(name: string, serviceFault: ServiceFault): FaultFactory {
  return (system, random) => {
    const service = pickRandom(system.services, random);
    return makeFault(
      name,
      service.id,
      () => ignoreUnreachable(() => service.setFault(serviceFault, 3)),
      () => restore(system, service),
    );
  };
}
