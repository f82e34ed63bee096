import {Finding} from '../../base/common/finding.js';
import {Result, failure} from '../../base/common/result.js';
import {
  Proposal,
  parseProposal,
} from '../../features/configuration/common/operationSchemas.js';
import {readJsonFile} from '../../infrastructure/settings/node/readSettings.js';

/** Changes as operators state them: on the command line or in a file. */

/** The source given to findings about the command line. */
const COMMAND_LINE = 'command line';

const VALUE_PATH = '$.operations[0].value.';

/** Reads a file of operations; all findings are reported together. */
export function readChangeFile(
  path: string,
): Result<Proposal, readonly Finding[]> {
  const json = readJsonFile(path);
  return json.ok ? parseProposal(json.value, path) : json;
}

/** Checks one operation that was put together from options; findings name the option. */
export function checkOperation(
  operation: unknown,
): Result<Proposal, readonly Finding[]> {
  const proposal = parseProposal({operations: [operation]}, COMMAND_LINE);
  return proposal.ok ? proposal : failure(proposal.error.map(nameOption));
}

function nameOption(finding: Finding): Finding {
  if (!finding.path.startsWith(VALUE_PATH)) {
    return finding;
  }
  const field = finding.path.slice(VALUE_PATH.length);
  const option = field.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
  return {...finding, path: `--${option}`};
}
