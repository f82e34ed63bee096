import {EntryKind} from './entryCommands.js';

/** The kinds of entries that operators set. */

/** All kinds, by their section in the API. */
export const entryKinds = {
  clientAccounts: {
    section: 'clientAccounts',
    setOperation: 'setClientAccount',
    removeOperation: 'removeClientAccount',
    word: 'account',
    one: 'client account',
    all: 'client accounts',
  },
  classes: {
    section: 'classes',
    setOperation: 'setClass',
    removeOperation: 'removeClass',
    word: 'class',
    one: 'class of work',
    all: 'classes of work',
  },
  models: {
    section: 'models',
    setOperation: 'setModel',
    removeOperation: 'removeModel',
    word: 'model',
    one: 'model',
    all: 'models in use',
  },
  services: {
    section: 'services',
    setOperation: 'setService',
    removeOperation: 'removeService',
    word: 'service',
    one: 'plain service',
    all: 'plain services',
  },
} as const satisfies Readonly<Record<EntryKind['section'], EntryKind>>;
