import {ConfigurationOperation} from '../../src/features/configuration/common/configuration.js';
import {promptTokens} from '../../src/features/callers/common/tokenText.js';
import {expectedReply} from '../../test/standins/referenceModel.js';
import {hashKey, LaunchedSystem} from '../../test/support/launcher.js';
import {SystemOptions} from '../../test/support/systemOptions.js';
import {OfferedClass, ReplicaCapacity} from './bound.js';
import {Caller, CallerOutcome} from './caller.js';
import {OfferedAccount} from './openLoad.js';

/** The systems that measures run: real programs before engine stand-ins of known capacity. */

/** Time of a hop to a stand-in beyond its compute: connection, codec and timer. */
export const STAND_IN_HOP_MILLISECONDS = 1.5;

/** A launched system with a caller for each instance. */
export interface MeasuredSystem {
  readonly system: LaunchedSystem;
  readonly callers: readonly Caller[];
  readonly dispose: () => Promise<void>;
}

/** Launches a system under a policy with its classes and accounts in force. */
export async function launchMeasured(
  options: Partial<SystemOptions>,
  classes: readonly OfferedClass[],
  accounts: readonly OfferedAccount[],
): Promise<MeasuredSystem> {
  const operations = configurationOf(options, classes, accounts);
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

function configurationOf(
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

/** The capacity of the launched engines, replica by replica, for the bound. */
export function capacityOf(system: LaunchedSystem): readonly ReplicaCapacity[] {
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
        system.options.linkMilliseconds + STAND_IN_HOP_MILLISECONDS,
    };
  });
}

/** A prompt of a class: its own words, and the length of the reply that it asks for. */
export function promptOf(offered: OfferedClass, index: number): string {
  const words = [`[reply:${offered.outputTokens}]`, `request-${index}`];
  while (words.length < offered.promptTokens) {
    words.push(`word${(index * 31 + words.length * 17) % 997}`);
  }
  return words.join(' ');
}

/** Whether the tokens are those that the model gives. */
export function isRightReply(
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
