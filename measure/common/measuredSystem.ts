import {ConfigurationOperation} from '../../src/features/configuration/common/configuration.js';
import {promptTokens} from '../../src/features/callers/common/tokenText.js';
import {expectedReply} from '../../test/standins/referenceModel.js';
import {hashKey, LaunchedSystem} from '../../test/support/launcher.js';
import {SystemOptions} from '../../test/support/systemOptions.js';
import {OfferedClass, ReplicaCapacity} from './throughputBound.js';
import {Caller, CallerOutcome} from './caller.js';
import {OfferedAccount} from './openLoad.js';

/** Systems under measurement: the real programs in front of engine stand-ins of known capacity. */

/** Time that a hop to a stand-in takes beyond its simulated compute, for connection, codec and timer. */
export const STAND_IN_HOP_OVERHEAD_MILLISECONDS = 1.5;

/** A launched system with a caller for each instance. */
export interface MeasuredSystem {
  readonly system: LaunchedSystem;
  readonly callers: readonly Caller[];
  readonly dispose: () => Promise<void>;
}

/** Launches a system and activates a configuration with the model, classes and client accounts. */
export async function launchMeasuredSystem(
  options: Partial<SystemOptions>,
  classes: readonly OfferedClass[],
  accounts: readonly OfferedAccount[],
): Promise<MeasuredSystem> {
  const operations = createConfiguration(options, classes, accounts);
  const system = await LaunchedSystem.launch(options, operations);
  const callers = system.instances.map(
    instance => new Caller(instance.member.callerAddress),
  );
  const dispose = async (): Promise<void> => {
    await Promise.all(callers.map(caller => caller.close()));
    await system.dispose();
  };
  return {system, callers, dispose};
}

function createConfiguration(
  options: Partial<SystemOptions>,
  classes: readonly OfferedClass[],
  accounts: readonly OfferedAccount[],
): readonly ConfigurationOperation[] {
  const model: ConfigurationOperation = {
    kind: 'setModel',
    value: {
      name: options.model ?? 'assistant',
      version: '1',
      layerCount: options.layerCount ?? 8,
      adapters: [],
    },
  };
  const classOperations = classes.map((offered): ConfigurationOperation => ({
    kind: 'setClass',
    value: {
      name: offered.name,
      firstTokenMilliseconds: offered.firstTokenMilliseconds,
      betweenTokensMilliseconds: offered.betweenTokensMilliseconds,
      deadlineMilliseconds: offered.deadlineMilliseconds,
      requestsPerSecond: offered.requestsPerSecond,
      repeatable: true,
    },
  }));
  const accountOperations = accounts.map((account): ConfigurationOperation => ({
    kind: 'setClientAccount',
    value: {name: account.name, keyHash: hashKey(account.bearerKey)},
  }));
  return [model, ...classOperations, ...accountOperations];
}

/** Lists the capacity of each launched replica, as input for the throughput bound. */
export function listReplicaCapacities(
  system: LaunchedSystem,
): readonly ReplicaCapacity[] {
  const {replicas, stagesPerReplica, accelerators, sequenceLimit} =
    system.options;
  return Array.from({length: replicas}, (_, index) => {
    const kind = accelerators[index % accelerators.length];
    return {
      replica: `replica-${index}`,
      stages: stagesPerReplica,
      sequenceLimit,
      decodeMilliseconds: kind.decodeMilliseconds,
      prefillMillisecondsPerToken: kind.prefillMillisecondsPerToken,
      linkMilliseconds:
        system.options.linkMilliseconds + STAND_IN_HOP_OVERHEAD_MILLISECONDS,
    };
  });
}

/** Creates a prompt of the size of the class, unique for each index, that states the reply length to the stand-in. */
export function createPrompt(offered: OfferedClass, index: number): string {
  const words = [`[reply:${offered.outputTokens}]`, `request-${index}`];
  while (words.length < offered.promptTokens) {
    words.push(`word${(index * 31 + words.length * 17) % 997}`);
  }
  return words.join(' ');
}

/** Creates a function that checks a reply against the reference model. */
export function createReplyCheck(
  layerCount: number,
): (prompt: string, outcome: CallerOutcome, offered: OfferedClass) => boolean {
  return (prompt, outcome, offered) => {
    const expected = expectedReply(
      promptTokens([{role: 'user', content: prompt}]),
      layerCount,
      offered.outputTokens,
    );
    return expected.tokens.join(' ') === outcome.tokens.join(' ');
  };
}
