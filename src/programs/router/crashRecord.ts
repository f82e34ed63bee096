import {Clock} from '../../base/common/clock.js';
import {rankByRendezvous} from '../../base/common/rendezvous.js';
import {
  CRASH_RECORD_KEY,
  CrashRecordKeeper,
} from '../../features/crashes/common/crashRecordKeeper.js';
import {PromptGuard} from '../../features/crashes/common/promptGuard.js';
import {InstanceTable} from '../../features/instances/common/instanceTable.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';
import {RouterPorts} from './routerPorts.js';

/** Constructs what keeps the record of crashes on the platform; the caller disposes of it. */
export function createCrashRecordKeeper(
  clock: Clock,
  logger: Logger,
  {table, configurationSource}: RouterPorts,
  guard: PromptGuard,
  instances: InstanceTable,
): CrashRecordKeeper {
  return new CrashRecordKeeper(
    clock,
    logger,
    table,
    guard,
    () => rankAmongServing(instances),
    configurationSource.onDidRecover,
  );
}

/** Place of this instance among those that serve; the last one if it doesn't. */
function rankAmongServing({serving, ownName}: InstanceTable): number {
  const ranked = rankByRendezvous(
    CRASH_RECORD_KEY,
    serving.map(({name}) => name),
    name => name,
  );
  const rank = ranked.indexOf(ownName);
  return rank < 0 ? ranked.length : rank;
}
