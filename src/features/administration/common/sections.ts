import {Finding} from '../../../base/common/finding.js';
import {ConfigurationOperation} from '../../configuration/common/configuration.js';

/** The configuration sections that have their own endpoints in the administration API. */

type SectionName = 'classes' | 'clientAccounts' | 'models' | 'services';

/** A configuration section and the operations on its entries. */
export interface Section {
  readonly name: SectionName;
  readonly set: ConfigurationOperation['kind'];
  readonly remove: ConfigurationOperation['kind'];
}

export const sections: readonly Section[] = [
  {name: 'classes', set: 'setClass', remove: 'removeClass'},
  {
    name: 'clientAccounts',
    set: 'setClientAccount',
    remove: 'removeClientAccount',
  },
  {name: 'models', set: 'setModel', remove: 'removeModel'},
  {name: 'services', set: 'setService', remove: 'removeService'},
];

const VALUE_PATH = '$.operations[0].value';

/** Creates a proposal that sets one entry; the name from the URL applies unless the body has one. */
export function createSetProposal(
  section: Section,
  name: string,
  body: unknown,
): unknown {
  const isObject =
    typeof body === 'object' && body !== null && !Array.isArray(body);
  const value = isObject ? {name, ...body} : body;
  return {operations: [{kind: section.set, value}]};
}

/** Creates a proposal that removes one entry. */
export function createRemoveProposal(section: Section, name: string): unknown {
  return {operations: [{kind: section.remove, name}]};
}

/** Makes finding paths relative to the value of the first operation, the body of a request that sets one entry. */
export function toValueFindings(
  findings: readonly Finding[],
): readonly Finding[] {
  return findings.map(finding => ({
    ...finding,
    path: finding.path.replace(VALUE_PATH, '$'),
  }));
}
