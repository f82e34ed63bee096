import {Command, Option} from 'clipanion';

import {Finding, formatFinding} from '../../base/common/finding.js';
import {assertNever} from '../../base/common/result.js';
import {SystemClock} from '../../base/node/systemClock.js';
import {operatorSettingsSchema} from '../../infrastructure/settings/common/settingsSchemas.js';
import {
  readSecretFile,
  readSettings,
} from '../../infrastructure/settings/node/readSettings.js';
import {
  ConfigurationResponse,
  configurationResponseSchema,
} from './administrationResponses.js';
import {AdministrationClient, CallOutcome} from './administrationClient.js';
import {Change, ChangeOutcome, ChangeSubmitter} from './changeSubmitter.js';
import {ExitCode, exitCodes} from './exitCodes.js';

const DEFAULT_SETTINGS_FILE = 'redwing.json';
const MILLISECONDS_PER_SECOND = 1_000;
const HTTP_OK = 200;
const HTTP_UNAUTHORIZED = 401;

/** Thrown to end a command with an exit code, after its message has been written. */
class CommandExit extends Error {
  constructor(readonly exitCode: ExitCode) {
    super(`exit ${exitCode}`);
  }
}

/** Base of all commands: settings, API calls and output. */
export abstract class OperatorCommand extends Command {
  settings = Option.String('--settings', DEFAULT_SETTINGS_FILE, {
    description: `settings file (default ${DEFAULT_SETTINGS_FILE})`,
  });

  json = Option.Boolean('--json', false, {
    description: 'write JSON in place of a table',
  });

  /** Runs the command; the client is disposed afterwards. */
  protected abstract run(client: AdministrationClient): Promise<ExitCode>;

  override async execute(): Promise<ExitCode> {
    let client: AdministrationClient | undefined;
    try {
      client = this.connect();
      return await this.run(client);
    } catch (error) {
      if (error instanceof CommandExit) {
        return error.exitCode;
      }
      throw error;
    } finally {
      client?.dispose();
    }
  }

  /** Reads a resource; ends the command unless the response has status 200. */
  protected async fetch(
    client: AdministrationClient,
    apiPath: string,
  ): Promise<unknown> {
    const outcome = await client.read(apiPath);
    if (outcome.kind === 'answered' && outcome.status === HTTP_OK) {
      return outcome.body;
    }
    throw this.end(readFailureExitCode(outcome), describeReadFailure(outcome));
  }

  /** Reads the active configuration of the control program that responds. */
  protected async fetchConfiguration(
    client: AdministrationClient,
  ): Promise<ConfigurationResponse> {
    const body = await this.fetch(client, '/v1/configuration');
    return configurationResponseSchema.parse(body);
  }

  /** Submits a change and reports its outcome. */
  protected async submit(
    client: AdministrationClient,
    change: Change,
  ): Promise<ExitCode> {
    const submitter = new ChangeSubmitter(client, new SystemClock());
    const outcome = await submitter.submit(change);
    return this.reportOutcome(outcome, change.expectedRevision);
  }

  /** Writes the result as JSON or as text. */
  protected write(value: unknown, text: string): void {
    const json = `${JSON.stringify(value, undefined, 2)}\n`;
    this.context.stdout.write(this.json ? json : text);
  }

  /** Writes a message to standard error and returns the error that ends the command. */
  protected end(exitCode: ExitCode, message: string): CommandExit {
    this.context.stderr.write(`${message}\n`);
    return new CommandExit(exitCode);
  }

  /** Writes all findings and returns the error that ends the command. */
  protected endWithFindings(
    findings: readonly Finding[],
    exitCode: ExitCode = exitCodes.invalid,
  ): CommandExit {
    return this.end(
      exitCode,
      findings.map(finding => formatFinding(finding)).join('\n'),
    );
  }

  private connect(): AdministrationClient {
    const settings = readSettings(this.settings, operatorSettingsSchema);
    if (!settings.ok) {
      throw this.endWithFindings(settings.error, exitCodes.usage);
    }
    const {controlAddresses, operatorKeyFile, timeoutSeconds} = settings.value;
    const key = readSecretFile(operatorKeyFile);
    if (!key.ok) {
      throw this.endWithFindings(key.error, exitCodes.usage);
    }
    return new AdministrationClient(
      controlAddresses,
      key.value,
      timeoutSeconds * MILLISECONDS_PER_SECOND,
    );
  }

  private reportOutcome(
    outcome: ChangeOutcome,
    expectedRevision: number,
  ): ExitCode {
    this.write(outcome, describeAcceptance(outcome));
    switch (outcome.kind) {
      case 'accepted':
        return exitCodes.done;
      case 'invalid':
        return this.endWithFindings(outcome.findings).exitCode;
      case 'conflict':
        return this.end(
          exitCodes.conflict,
          `not accepted: revision ${outcome.winningRevision} by ${outcome.operator} came first; look at it and repeat the command`,
        ).exitCode;
      case 'unavailable':
        return this.end(
          exitCodes.unavailable,
          `not accepted, nothing was changed: ${outcome.detail}`,
        ).exitCode;
      case 'unauthenticated':
        return this.end(exitCodes.unauthenticated, KEY_REFUSED_MESSAGE)
          .exitCode;
      case 'outcomeUnknown':
        return this.end(
          exitCodes.outcomeUnknown,
          `it is not known whether the change was accepted (${outcome.detail}); if it was, it is revision ${expectedRevision + 1}: see redwing config history`,
        ).exitCode;
      default:
        return assertNever(outcome);
    }
  }
}

const KEY_REFUSED_MESSAGE = "the operator's key was refused";

/** Text for standard output; empty unless the change was accepted, as failures are written to standard error. */
function describeAcceptance(outcome: ChangeOutcome): string {
  if (outcome.kind !== 'accepted') {
    return '';
  }
  const distribution =
    outcome.informed === undefined
      ? 'the answer was lost, the revision was read back'
      : `${outcome.informed} of ${outcome.listed} instances have it`;
  return `accepted as revision ${outcome.revision} (${distribution})\n`;
}

function readFailureExitCode(outcome: CallOutcome): ExitCode {
  return outcome.kind === 'answered' && outcome.status === HTTP_UNAUTHORIZED
    ? exitCodes.unauthenticated
    : exitCodes.unavailable;
}

function describeReadFailure(outcome: CallOutcome): string {
  if (outcome.kind !== 'answered') {
    return `no control program answered: ${outcome.detail}`;
  }
  return outcome.status === HTTP_UNAUTHORIZED
    ? KEY_REFUSED_MESSAGE
    : `${outcome.address} answered with status ${outcome.status}`;
}
