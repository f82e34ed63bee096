import {ConfigurationOperation} from '../../src/features/configuration/common/configuration.js';
import {hashKey, LaunchedSystem} from '../support/launcher.js';
import {SystemOptions} from '../support/systemOptions.js';
import {ACCOUNT, classNames} from './testClient.js';
import {SERVICE} from './work.js';

/** The launched system that faults are injected into. */

const LAYER_COUNT = 8;
const DEADLINE_MILLISECONDS = 5000;
/** Latency targets as fractions of the deadline, so that a longer deadline relaxes them too. */
const FIRST_TOKEN_FRACTION = 0.4;
const BETWEEN_TOKENS_FRACTION = 0.04;

/** Three instances in two data centres, and four replicas with two stages, each stage in its own process. */
export const defaultSystemOptions: Partial<SystemOptions> = {
  instances: 3,
  dataCentres: [
    {name: 'north-1', region: 'north'},
    {name: 'north-2', region: 'north'},
  ],
  layerCount: LAYER_COUNT,
  replicas: 4,
  stagesPerReplica: 2,
  accelerators: [
    {kind: 'large', decodeMilliseconds: 3, prefillMillisecondsPerToken: 0.2},
    {kind: 'small', decodeMilliseconds: 6, prefillMillisecondsPerToken: 0.4},
  ],
  hasMixedFencing: true,
  enginesPerProcess: 1,
  services: [{name: SERVICE, replicas: 2}],
};

/** Configures the model, a class each for repeatable and non-repeatable work, an account and a service. */
export const initialOperations = (
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
  setClassOperation(classNames.repeatable, true, deadlineMilliseconds),
  setClassOperation(classNames.once, false, deadlineMilliseconds),
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

/** Starts the system; resolves when all instances are ready. */
export function launchSystemUnderTest(
  options: Partial<SystemOptions> = {},
  deadlineMilliseconds = DEADLINE_MILLISECONDS,
): Promise<LaunchedSystem> {
  return LaunchedSystem.launch(
    {...defaultSystemOptions, ...options},
    initialOperations(deadlineMilliseconds),
  );
}

function setClassOperation(
  name: string,
  repeatable: boolean,
  deadlineMilliseconds: number,
): ConfigurationOperation {
  return {
    kind: 'setClass',
    value: {
      name,
      firstTokenMilliseconds: deadlineMilliseconds * FIRST_TOKEN_FRACTION,
      betweenTokensMilliseconds: deadlineMilliseconds * BETWEEN_TOKENS_FRACTION,
      deadlineMilliseconds,
      requestsPerSecond: 20,
      repeatable,
    },
  };
}
