import {RandomSource} from '../../src/base/common/randomSource.js';
import {EngineFault} from '../standins/engineSettings.js';
import {
  PlatformFault,
  PlatformFaultCommand,
} from '../standins/platformStandIn.js';
import {ServiceFault} from '../standins/serviceStandIn.js';
import {LaunchedSystem} from '../support/launcher.js';
import {ManagedProcess} from '../support/managedProcess.js';
import {EngineHandle, ServiceHandle} from '../support/systemParts.js';
import {LeavingWindow} from './observations.js';
import {Operators} from './operators.js';

/** Faults that rounds cause, each with what ends it. */

/** A fault as chosen for a round. */
export interface ChosenFault {
  readonly name: string;
  /** What it strikes. */
  readonly target: string;
  /** How long work is made while it lasts. */
  readonly milliseconds: number;
  /** Whether a planned stop beside it must still cut off nothing. */
  readonly isQuiet: boolean;
  strike(): Promise<void>;
  clear(): Promise<void>;
}

/** What faults leave as evidence, and what they need beside the system. */
export interface FaultRecords {
  readonly round: number;
  readonly operators: Operators;
  readonly windows: LeavingWindow[];
  readonly exitCodes: Array<{
    readonly instance: string;
    readonly code: number | undefined;
  }>;
}

/** Makes a fault of a system for a round. */
export type FaultMaker = (
  system: LaunchedSystem,
  random: RandomSource,
  records: FaultRecords,
) => ChosenFault;

const SHORT_MILLISECONDS = 500;
const LEAVING_MILLISECONDS = 5000;
const LIST_LAG_MILLISECONDS = 700;

/** All faults by name. */
export const faultMakers: Readonly<Record<string, FaultMaker>> = {
  stageKilled: (system, random) => {
    const {id, process} = pick(system.engines, random);
    return killed('stageKilled', id, process);
  },
  stagePaused: (system, random) => {
    const {id, process} = pick(system.engines, random);
    return paused('stagePaused', id, process);
  },
  stageDiesBegun: stageDies('begun'),
  stageDiesComputed: stageDies('computed'),
  stageDiesAnswered: stageDies('answered'),
  stageFrozen: engineFault('stageFrozen', {kind: 'freeze'}),
  stageSlow: engineFault('stageSlow', {kind: 'slow', factor: 40}),
  stageRequestLost: engineFault('stageRequestLost', {kind: 'requestLost'}, 3),
  stageAnswerLost: engineFault('stageAnswerLost', {kind: 'answerLost'}, 3),
  stageLate: engineFault('stageLate', {kind: 'late', milliseconds: 900}, 3),
  stageTwice: engineFault('stageTwice', {kind: 'twice'}, 5),
  stageCrossed: engineFault('stageCrossed', {kind: 'crossed'}, 3),
  stageRefuses: engineFault('stageRefuses', {kind: 'refuse'}, 5),
  cachesLost: engineFault('cachesLost', {kind: 'loseCaches'}),
  cutLink: engineFault('cutLink', {kind: 'link', from: '*', milliseconds: 80}),
  importAbsent: stageKilledWithImport({kind: 'importAbsent'}),
  importStale: stageKilledWithImport({kind: 'importStale'}),
  entryKilled: (system, random) => {
    const {id, entry} = pick(system.instances, random);
    return killed('entryKilled', id, entry);
  },
  entryPaused: (system, random) => {
    const {id, entry} = pick(system.instances, random);
    return paused('entryPaused', id, entry);
  },
  entryStopped,
  controlKilled: (system, random) => {
    const {id, control} = pick(system.instances, random);
    return killed('controlKilled', id, control);
  },
  controlPaused: (system, random) => {
    const {id, control} = pick(system.instances, random);
    return paused('controlPaused', id, control);
  },
  instanceKilled: (system, random) => {
    const {id, entry, control} = pick(system.instances, random);
    return both(
      killed('instanceKilled', id, entry),
      killed('instanceKilled', id, control),
    );
  },
  tableDown: platformFault('tableDown', {kind: 'down'}, {part: 'table'}),
  tableSilent: platformFault('tableSilent', {kind: 'silent'}, {part: 'table'}),
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
  objectsDown: platformFault('objectsDown', {kind: 'down'}, {part: 'objects'}),
  listDown: platformFault('listDown', {kind: 'down'}, {part: 'membership'}),
  upstreamLeaving,
  instanceLeaving,
  racingOperators,
  racingOperatorsAnswerLost,
  serviceKilled: (system, random) => {
    const {id, process} = pick(system.services, random);
    return killed('serviceKilled', id, process);
  },
  serviceRequestLost: serviceFault('serviceRequestLost', {kind: 'requestLost'}),
  serviceAnswerLost: serviceFault('serviceAnswerLost', {kind: 'answerLost'}),
  serviceSilent: serviceFault('serviceSilent', {kind: 'silent'}),
  serviceLate: serviceFault('serviceLate', {kind: 'late', milliseconds: 900}),
  serviceSlow: serviceFault('serviceSlow', {kind: 'slow', milliseconds: 900}),
  serviceCrossed: serviceFault('serviceCrossed', {kind: 'crossed'}),
  serviceRefuses: serviceFault('serviceRefuses', {kind: 'refuse'}),
};

function pick<T>(items: readonly T[], random: RandomSource): T {
  return items[random.nextInteger(items.length)]!;
}

function fault(
  name: string,
  target: string,
  strike: () => Promise<void>,
  clear: () => Promise<void>,
): ChosenFault {
  const milliseconds = SHORT_MILLISECONDS;
  return {name, target, milliseconds, isQuiet: false, strike, clear};
}

function both(first: ChosenFault, second: ChosenFault): ChosenFault {
  return {
    ...first,
    strike: async () => {
      await Promise.all([first.strike(), second.strike()]);
    },
    clear: async () => {
      await Promise.all([first.clear(), second.clear()]);
    },
  };
}

/** A process that ended by another fault of the round is started once. */
async function restartEnded(process: ManagedProcess): Promise<void> {
  if (!process.isRunning) {
    await process.restart();
  }
}

function killed(
  name: string,
  target: string,
  process: ManagedProcess,
): ChosenFault {
  return fault(
    name,
    target,
    () => process.kill(),
    () => restartEnded(process),
  );
}

function paused(
  name: string,
  target: string,
  process: ManagedProcess,
): ChosenFault {
  return fault(
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
): FaultMaker {
  return (system, random) => {
    const engine = pick(system.engines, random);
    return fault(
      name,
      engine.id,
      () => ignoreUnreachable(() => engine.setFault(engineFault, {times})),
      () => restore(system, engine),
    );
  };
}

/** A process that another fault of the round killed or paused can't be told anything. */
async function ignoreUnreachable(command: () => Promise<void>): Promise<void> {
  try {
    await command();
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === undefined) {
      throw error;
    }
  }
}

/** Brings a stand-in back, whatever struck it. */
async function restore(
  system: LaunchedSystem,
  standIn: EngineHandle | ServiceHandle,
): Promise<void> {
  standIn.process.resume();
  await restartEnded(standIn.process);
  await system.until(`${standIn.id} answers`, () =>
    standIn.setFault({kind: 'clear'}).then(
      () => true,
      () => false,
    ),
  );
}

function stageDies(point: 'begun' | 'computed' | 'answered'): FaultMaker {
  return (system, random, records) => {
    const steps = 1 + random.nextInteger(6);
    const dies: EngineFault = {kind: 'dieAfterSteps', steps, point};
    const name = `stageDies-${point}-${steps}`;
    return engineFault(name, dies)(system, random, records);
  };
}

/** A stage ends, and the replacement can't take over an exported KV cache. */
function stageKilledWithImport(importFault: EngineFault): FaultMaker {
  return (system, random) => {
    const {id, process} = pick(system.engines, random);
    const kill = killed(importFault.kind, id, process);
    const others = system.engines.filter(engine => engine.id !== id);
    return {
      ...kill,
      strike: async () => {
        await Promise.all(
          others.map(engine =>
            ignoreUnreachable(() => engine.setFault(importFault, {times: 5})),
          ),
        );
        await kill.strike();
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
  records: FaultRecords,
): ChosenFault {
  const {id, entry} = pick(system.instances, random);
  let ending: Promise<number | undefined> | undefined;
  return fault(
    'entryStopped',
    id,
    async () => {
      ending = entry.isRunning ? entry.terminate() : undefined;
    },
    async () => {
      if (ending !== undefined) {
        records.exitCodes.push({instance: id, code: await ending});
      }
      await restartEnded(entry);
    },
  );
}

function platformFault(
  name: string,
  platformFault: PlatformFault,
  scope: Omit<PlatformFaultCommand, 'fault'>,
): FaultMaker {
  return system => ({
    ...fault(
      name,
      scope.instance ?? 'all',
      () => system.platform.setFault({fault: platformFault, ...scope}),
      () => clearPlatform(system, scope),
    ),
    isQuiet: scope.part === 'objects' || scope.part === 'membership',
  });
}

function clearPlatform(
  system: LaunchedSystem,
  scope: Omit<PlatformFaultCommand, 'fault'>,
): Promise<void> {
  return system.platform.setFault({fault: {kind: 'clear'}, part: scope.part});
}

/** The store can't be reached, or loses its answers, for one instance only. */
function tableFaultForOne(name: string, kind: PlatformFault): FaultMaker {
  return (system, random, records) => {
    const {id} = pick(system.instances, random);
    const scope = {part: 'table', instance: id} as const;
    return platformFault(name, kind, scope)(system, random, records);
  };
}

function upstreamLeaving(
  system: LaunchedSystem,
  random: RandomSource,
  records: FaultRecords,
): ChosenFault {
  const {member} = pick([...system.engines, ...system.services], random);
  let from = 0;
  return {
    ...fault(
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
        records.windows.push({upstream: member.id, from, to, lagMilliseconds});
        await system.platform.setMembers({set: [member], lagMilliseconds: 0});
      },
    ),
    milliseconds: LEAVING_MILLISECONDS,
    isQuiet: true,
  };
}

function instanceLeaving(
  system: LaunchedSystem,
  random: RandomSource,
): ChosenFault {
  const {member} = pick(system.instances, random);
  return fault(
    'instanceLeaving',
    member.id,
    () => system.setMemberState(member, 'leaving'),
    () => system.setMemberState(member, 'live'),
  );
}

/** An operator at each instance changes the configuration at the same time. */
function racingOperators(
  system: LaunchedSystem,
  _random: RandomSource,
  {round, operators}: FaultRecords,
): ChosenFault {
  let changes: ReadonlyArray<Promise<boolean>> = [];
  const strike = async (): Promise<void> => {
    changes = system.instances.map(instance =>
      operators.change(instance, `r${round}-${instance.id}`),
    );
  };
  const clear = async (): Promise<void> => {
    await Promise.all(changes);
  };
  return {...fault('racingOperators', 'all', strike, clear), isQuiet: true};
}

function racingOperatorsAnswerLost(
  system: LaunchedSystem,
  random: RandomSource,
  records: FaultRecords,
): ChosenFault {
  const lost = faultMakers['tableAnswerLost']!(system, random, records);
  const race = racingOperators(system, random, records);
  return {
    ...race,
    name: 'racingOperatorsAnswerLost',
    isQuiet: false,
    strike: async () => {
      await lost.strike();
      await race.strike();
    },
    clear: async () => {
      await lost.clear();
      await race.clear();
    },
  };
}

function serviceFault(name: string, serviceFault: ServiceFault): FaultMaker {
  return (system, random) => {
    const service = pick(system.services, random);
    return fault(
      name,
      service.id,
      () => ignoreUnreachable(() => service.setFault(serviceFault, 3)),
      () => restore(system, service),
    );
  };
}
