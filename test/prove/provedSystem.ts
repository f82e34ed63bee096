import {ConfigurationOperation} from '../../src/features/configuration/common/configuration.js';
import {hashKey, LaunchedSystem} from '../support/launcher.js';
import {SystemOptions} from '../support/systemOptions.js';
import {ACCOUNT, classNames} from './proofCaller.js';
import {SERVICE} from './work.js';

/** The system that faults strike. */

const LAYER_COUNT = 8;
const DEADLINE_MILLISECONDS = 5000;
/** Targets as parts of the deadline: what a proof allows the machine, it allows in all of them. */
const FIRST_TOKEN_PART = 0.4;
const BETWEEN_TOKENS_PART = 0.04;

/** Three instances in two data centres, four replicas of two stages each in its own process. */
export const provedOptions: Partial<SystemOptions> = {
  instances: 3,
  dataCentres: [
    {name: 'perth-1', region: 'perth'},
    {name: 'perth-2', region: 'perth'},
  ],
  layerCount: LAYER_COUNT,
  replicas: 4,
  stagesPerReplica: 2,
  accelerators: [
    {kind: 'large', decodeMilliseconds: 3, prefillMillisecondsPerToken: 0.2},
    {kind: 'small', decodeMilliseconds: 6, prefillMillisecondsPerToken: 0.4},
  ],
  mixedFencing: true,
  enginesPerProcess: 1,
  services: [{name: SERVICE, replicas: 2}],
};

/** The model, one class for work that may be repeated and one for work that may not, an account, a service. */
export const provedOperations = (
  deadlineMilliseconds: number,
): readonly ConfigurationOperation[] => [
  {
    kind: 'setModel',
    value: {
      name: 'assistant',
      version: '1',
      layerCount: LAYER_COUNT,
      adapters: [],
    },
  },
  classOf(classNames.repeatable, true, deadlineMilliseconds),
  classOf(classNames.once, false, deadlineMilliseconds),
  {
    kind: 'setClientAccount',
    value: {name: ACCOUNT.name, keyHash: hashKey(ACCOUNT.bearerKey)},
  },
  {
    kind: 'setService',
    value: {
      name: SERVICE,
      calls: [
        {method: 'POST', pathPrefix: '/checks', repeatable: true},
        {method: 'POST', pathPrefix: '/bookings', repeatable: false},
      ],
    },
  },
];

/** Starts the system; all instances take work when it resolves. */
export function launchProvedSystem(
  options: Partial<SystemOptions> = {},
  deadlineMilliseconds = DEADLINE_MILLISECONDS,
): Promise<LaunchedSystem> {
  return LaunchedSystem.launch(
    {...provedOptions, ...options},
    provedOperations(deadlineMilliseconds),
  );
}

function classOf(
  name: string,
  repeatable: boolean,
  deadlineMilliseconds: number,
): ConfigurationOperation {
  return {
    kind: 'setClass',
    value: {
      name,
      firstTokenMilliseconds: deadlineMilliseconds * FIRST_TOKEN_PART,
      betweenTokensMilliseconds: deadlineMilliseconds * BETWEEN_TOKENS_PART,
      deadlineMilliseconds,
      requestsPerSecond: 20,
      repeatable,
    },
  };
}
