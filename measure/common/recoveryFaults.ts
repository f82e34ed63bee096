import {LaunchedSystem} from '../../test/support/launcher.js';
import {
  EngineHandle,
  InstanceHandle,
} from '../../test/support/systemHandles.js';

/** Faults for the recovery measurement. Each affects other replicas or instances, so that it doesn't mask the next. */

/** A fault that can be injected into a running system and repaired. */
export interface InjectedFault {
  readonly name: string;
  readonly inject: () => Promise<void>;
  readonly repair: () => Promise<void>;
}

const SLOW_FACTOR = 6;
const DEGRADED_LINK_MILLISECONDS = 120;

/** Creates the faults for a system of eight two-stage replicas and four instances in four data centres. */
export function createFaults(system: LaunchedSystem): readonly InjectedFault[] {
  const {engines, instances} = system;
  const engineAt = (replica: number, stage: number): EngineHandle =>
    engines[replica * system.options.stagesPerReplica + stage];
  return [
    // First, so that after-effects of other faults cannot influence it.
    createDataCentreLoss(system, 'upper'),
    {
      name: 'stage killed',
      inject: () => engineAt(0, 1).setFault({kind: 'die'}),
      repair: () => engineAt(0, 1).setFault({kind: 'revive'}),
    },
    {
      name: 'stage frozen',
      inject: () => engineAt(1, 0).setFault({kind: 'freeze'}),
      repair: () => clearFault(engineAt(1, 0)),
    },
    {
      name: 'stage slowed',
      inject: () =>
        engineAt(2, 1).setFault({kind: 'slow', factor: SLOW_FACTOR}),
      repair: () => clearFault(engineAt(2, 1)),
    },
    {
      name: 'link degraded',
      inject: () => degradeLink(engineAt(3, 0), engineAt(3, 1)),
      repair: () => clearFault(engineAt(3, 1)),
    },
    {
      name: 'entry instance killed',
      inject: () => system.killInstance(instances[1]),
      repair: () => restartInstances(system, [instances[1]]),
    },
    {
      name: 'stage frozen and entry instance killed',
      inject: async () => {
        await Promise.all([
          engineAt(5, 0).setFault({kind: 'freeze'}),
          system.killInstance(instances[3]),
        ]);
      },
      repair: async () => {
        await clearFault(engineAt(5, 0));
        await restartInstances(system, [instances[3]]);
      },
    },
  ];
}

/** Kills all engines and instances of a data centre at the same time. */
function createDataCentreLoss(
  system: LaunchedSystem,
  name: string,
): InjectedFault {
  const lostInstances = system.instances.filter(
    instance => instance.member.dataCentre === name,
  );
  const engines = system.engines.filter(
    engine => engine.member.dataCentre === name,
  );
  const processes = [...new Set(engines.map(engine => engine.process))];
  return {
    name: 'data centre lost',
    inject: async () => {
      await Promise.all([
        ...processes.map(process => process.kill()),
        ...lostInstances.map(instance => system.killInstance(instance)),
      ]);
    },
    repair: async () => {
      await Promise.all(processes.map(process => process.restart()));
      await restartInstances(system, lostInstances);
    },
  };
}

function degradeLink(from: EngineHandle, to: EngineHandle): Promise<void> {
  const milliseconds = DEGRADED_LINK_MILLISECONDS;
  return to.setFault({kind: 'link', from: from.id, milliseconds});
}

function clearFault(engine: EngineHandle): Promise<void> {
  return engine.setFault({kind: 'clear'});
}

async function restartInstances(
  system: LaunchedSystem,
  instances: readonly InstanceHandle[],
): Promise<void> {
  for (const instance of instances) {
    await Promise.all([instance.control.restart(), instance.entry.restart()]);
  }
  await system.waitUntilReady(instances);
}
