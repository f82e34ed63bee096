import {LaunchedSystem} from '../../test/support/launcher.js';
import {EngineHandle, InstanceHandle} from '../../test/support/systemParts.js';

/** The faults of the measure of recovery; each strikes other parts, so that one doesn't hide the next. */

/** A fault that can be injected into a running system and mended again. */
export interface InjectedFault {
  readonly name: string;
  readonly inject: () => Promise<void>;
  readonly mend: () => Promise<void>;
}

const SLOW_FACTOR = 6;
const DEGRADED_LINK_MILLISECONDS = 120;

/** The faults for a system of eight replicas of two stages and four instances over four data centres. */
export function createFaults(system: LaunchedSystem): readonly InjectedFault[] {
  const {engines, instances} = system;
  const engine = (replica: number, stage: number): EngineHandle =>
    engines[replica * system.options.stagesPerReplica + stage];
  return [
    // First, so that it meets nothing that other faults left behind.
    loseDataCentre(system, 'upper'),
    {
      name: 'stage killed',
      inject: () => engine(0, 1).setFault({kind: 'die'}),
      mend: () => engine(0, 1).setFault({kind: 'revive'}),
    },
    {
      name: 'stage frozen',
      inject: () => engine(1, 0).setFault({kind: 'freeze'}),
      mend: () => clear(engine(1, 0)),
    },
    {
      name: 'stage slowed',
      inject: () => engine(2, 1).setFault({kind: 'slow', factor: SLOW_FACTOR}),
      mend: () => clear(engine(2, 1)),
    },
    {
      name: 'link degraded',
      inject: () => degradeLink(engine(3, 0), engine(3, 1)),
      mend: () => clear(engine(3, 1)),
    },
    {
      name: 'entry instance killed',
      inject: () => system.killInstance(instances[1]),
      mend: () => restart(system, [instances[1]]),
    },
    {
      name: 'stage frozen and entry instance killed',
      inject: async () => {
        await Promise.all([
          engine(5, 0).setFault({kind: 'freeze'}),
          system.killInstance(instances[3]),
        ]);
      },
      mend: async () => {
        await clear(engine(5, 0));
        await restart(system, [instances[3]]);
      },
    },
  ];
}

/** All engines and instances of a data centre are killed at once. */
function loseDataCentre(system: LaunchedSystem, name: string): InjectedFault {
  const lost = system.instances.filter(one => one.member.dataCentre === name);
  const engines = system.engines.filter(one => one.member.dataCentre === name);
  const processes = [...new Set(engines.map(one => one.process))];
  return {
    name: 'data centre lost',
    inject: async () => {
      await Promise.all([
        ...processes.map(one => one.kill()),
        ...lost.map(one => system.killInstance(one)),
      ]);
    },
    mend: async () => {
      await Promise.all(processes.map(one => one.restart()));
      await restart(system, lost);
    },
  };
}

function degradeLink(from: EngineHandle, to: EngineHandle): Promise<void> {
  const milliseconds = DEGRADED_LINK_MILLISECONDS;
  return to.setFault({kind: 'link', from: from.id, milliseconds});
}

function clear(engine: EngineHandle): Promise<void> {
  return engine.setFault({kind: 'clear'});
}

async function restart(
  system: LaunchedSystem,
  instances: readonly InstanceHandle[],
): Promise<void> {
  for (const instance of instances) {
    await Promise.all([instance.control.restart(), instance.entry.restart()]);
  }
  await system.awaitReady(instances);
}
