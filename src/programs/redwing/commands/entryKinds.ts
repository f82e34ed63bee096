import {EntryKind} from './entryCommands.js';

/** The kinds of configuration entries that operators set, by their section in the API. */
export const entryKinds = {
  clientAccounts: {
    section: 'clientAccounts',
    setOperation: 'setClientAccount',
    removeOperation: 'removeClientAccount',
    commandWord: 'account',
    one: 'client account',
    all: 'client accounts',
  },
  classes: {
    section: 'classes',
    setOperation: 'setClass',
    removeOperation: 'removeClass',
    commandWord: 'class',
    one: 'class of work',
    all: 'classes of work',
  },
  models: {
    section: 'models',
    setOperation: 'setModel',
    removeOperation: 'removeModel',
    commandWord: 'model',
    one: 'model',
    all: 'models in use',
  },
  services: {
    section: 'services',
    setOperation: 'setService',
    removeOperation: 'removeService',
    commandWord: 'service',
    one: 'plain service',
    all: 'plain services',
  },
} as const satisfies Readonly<Record<EntryKind['section'], EntryKind>>;
