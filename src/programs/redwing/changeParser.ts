import {Finding} from '../../base/common/finding.js';
import {Result, failure} from '../../base/common/result.js';
import {
  Proposal,
  parseProposal,
} from '../../features/configuration/common/operationSchemas.js';
import {readJsonFile} from '../../infrastructure/settings/node/readSettings.js';

/** Parses and validates changes from the command line or a file. */

/** Source of findings about command-line options. */
const COMMAND_LINE_SOURCE = 'command line';

const VALUE_PATH_PREFIX = '$.operations[0].value.';

/** Reads and validates a file of operations; a failure holds all findings. */
export function readChangeFile(
  path: string,
): Result<Proposal, readonly Finding[]> {
  const json = readJsonFile(path);
  return json.ok ? parseProposal(json.value, path) : json;
}

/** Validates one operation built from options; findings refer to the options by name. */
export function checkOperation(
  operation: unknown,
): Result<Proposal, readonly Finding[]> {
  const proposal = parseProposal(
    {operations: [operation]},
    COMMAND_LINE_SOURCE,
  );
  return proposal.ok ? proposal : failure(proposal.error.map(withOptionName));
}

function withOptionName(finding: Finding): Finding {
  if (!finding.path.startsWith(VALUE_PATH_PREFIX)) {
    return finding;
  }
  const field = finding.path.slice(VALUE_PATH_PREFIX.length);
  const option = field.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
  return {...finding, path: `--${option}`};
}
