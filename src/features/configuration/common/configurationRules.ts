import {Finding} from '../../../base/common/finding.js';
import {
  Configuration,
  ConfigurationOperation,
  ConfigurationRevision,
} from './configuration.js';

/** Validates proposed operations and applies revisions; all functions are pure. */

/** Maximum number of entries per section; bounds memory use and the size of snapshots. */
const ENTRY_LIMIT = 20_000;

type Section = 'classes' | 'clientAccounts' | 'models' | 'services';

interface OperationTarget {
  readonly section: Section;
  readonly name: string;
  /** Undefined if the entry is removed. */
  readonly value: unknown;
}

const SECTIONS: Readonly<Record<ConfigurationOperation['kind'], Section>> = {
  setClass: 'classes',
  removeClass: 'classes',
  setClientAccount: 'clientAccounts',
  removeClientAccount: 'clientAccounts',
  setModel: 'models',
  removeModel: 'models',
  setService: 'services',
  removeService: 'services',
};

function toTarget(operation: ConfigurationOperation): OperationTarget {
  const section = SECTIONS[operation.kind];
  return 'value' in operation
    ? {section, name: operation.value.name, value: operation.value}
    : {section, name: operation.name, value: undefined};
}

/** Applies a revision; throws if it does not directly follow the current one. */
export function applyRevision(
  configuration: Configuration,
  revision: ConfigurationRevision,
): Configuration {
  if (revision.revision !== configuration.revision + 1) {
    throw new Error(
      `revision ${revision.revision} can't follow ${configuration.revision}`,
    );
  }
  const applied = applyOperations(configuration, revision.operations);
  return {...applied, revision: revision.revision};
}

function applyOperations(
  configuration: Configuration,
  operations: readonly ConfigurationOperation[],
): Configuration {
  const sections: Record<Section, Record<string, unknown>> = {
    classes: {...configuration.classes},
    clientAccounts: {...configuration.clientAccounts},
    models: {...configuration.models},
    services: {...configuration.services},
  };
  for (const target of operations.map(toTarget)) {
    if (target.value === undefined) {
      delete sections[target.section][target.name];
    } else {
      sections[target.section][target.name] = target.value;
    }
  }
  return {revision: configuration.revision, ...sections} as Configuration;
}

/** Checks operations against the configuration to change; returns no findings if they are valid. */
export function validateOperations(
  configuration: Configuration,
  operations: readonly ConfigurationOperation[],
  source = 'proposal',
): readonly Finding[] {
  const findings: Finding[] = [];
  const seen = new Set<string>();
  operations.forEach((operation, index) => {
    const path = `$.operations[${index}]`;
    const add = (suffix: string, expected: string) =>
      findings.push({source, path: path + suffix, expected});
    checkTarget(configuration, toTarget(operation), seen, add);
    checkValue(operation, add);
  });
  const result = applyOperations(configuration, operations);
  findings.push(...checkResult(configuration, result, source));
  return findings;
}

type AddFinding = (suffix: string, expected: string) => void;

function checkTarget(
  configuration: Configuration,
  target: OperationTarget,
  seen: Set<string>,
  add: AddFinding,
): void {
  const suffix = target.value === undefined ? '.name' : '.value.name';
  const id = `${target.section}/${target.name}`;
  if (seen.has(id)) {
    add(suffix, `each entry at most once in a proposal; ${id} comes twice`);
  }
  seen.add(id);
  const known = Object.hasOwn(configuration[target.section], target.name);
  if (target.value === undefined && !known) {
    add(suffix, `an existing entry of ${target.section}`);
  }
}

function checkValue(operation: ConfigurationOperation, add: AddFinding): void {
  if (operation.kind === 'setClass') {
    const {firstTokenMilliseconds, deadlineMilliseconds} = operation.value;
    if (firstTokenMilliseconds > deadlineMilliseconds) {
      add('.value.firstTokenMilliseconds', 'at most deadlineMilliseconds');
    }
  }
  if (operation.kind === 'setModel') {
    const {adapters} = operation.value;
    if (new Set(adapters).size !== adapters.length) {
      add('.value.adapters', 'each adapter once');
    }
  }
  if (operation.kind === 'setService') {
    checkCalls(operation.value.calls, add);
  }
}

function checkCalls(
  calls: ReadonlyArray<{method: string; pathPrefix: string}>,
  add: AddFinding,
): void {
  const seen = new Set<string>();
  calls.forEach((call, index) => {
    const id = `${call.method} ${call.pathPrefix}`;
    if (seen.has(id)) {
      add(`.value.calls[${index}]`, `each call once; ${id} comes twice`);
    }
    seen.add(id);
  });
}

function checkResult(
  before: Configuration,
  after: Configuration,
  source: string,
): readonly Finding[] {
  const findings: Finding[] = [];
  const path = '$.operations';
  for (const section of new Set(Object.values(SECTIONS))) {
    if (Object.keys(after[section]).length > ENTRY_LIMIT) {
      const expected = `at most ${ENTRY_LIMIT} entries in ${section}`;
      findings.push({source, path, expected});
    }
  }
  const hadClasses = Object.keys(before.classes).length > 0;
  const isServed =
    Object.keys(after.models).length + Object.keys(after.services).length > 0;
  if (hadClasses && isServed && Object.keys(after.classes).length === 0) {
    const expected =
      'at least one class left while models or services are in use';
    findings.push({source, path, expected});
  }
  findings.push(...checkSharedKeys(after, source));
  return findings;
}

function checkSharedKeys(
  after: Configuration,
  source: string,
): readonly Finding[] {
  const owners = new Map<string, string>();
  const findings: Finding[] = [];
  for (const account of Object.values(after.clientAccounts)) {
    const owner = owners.get(account.keyHash);
    if (owner !== undefined) {
      const expected = `a key of its own for each client account; ${owner} and ${account.name} share one`;
      findings.push({source, path: '$.operations', expected});
    }
    owners.set(account.keyHash, account.name);
  }
  return findings;
}
