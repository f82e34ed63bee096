import {Finding} from '../../../base/common/finding.js';
import {ConfigurationOperation} from '../../configuration/common/configuration.js';

/** The parts of the configuration that have addresses of their own in the administration API. */

/** A part of the configuration. */
type SectionName = 'classes' | 'clientAccounts' | 'models' | 'services';

/** Operations on one entry of a section. */
export interface Section {
  readonly name: SectionName;
  readonly set: ConfigurationOperation['kind'];
  readonly remove: ConfigurationOperation['kind'];
}

/** All sections. */
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

/** The proposal that sets one entry; the name comes from the address. */
export function proposalToSet(
  section: Section,
  name: string,
  body: unknown,
): unknown {
  const isObject =
    typeof body === 'object' && body !== null && !Array.isArray(body);
  const value = isObject ? {name, ...body} : body;
  return {operations: [{kind: section.set, value}]};
}

/** The proposal that removes one entry. */
export function proposalToRemove(section: Section, name: string): unknown {
  return {operations: [{kind: section.remove, name}]};
}

/** Findings as seen by someone who sent only the value. */
export function findingsOfValue(
  findings: readonly Finding[],
): readonly Finding[] {
  return findings.map(finding => ({
    ...finding,
    path: finding.path.replace(VALUE_PATH, '$'),
  }));
}
