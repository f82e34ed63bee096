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
  ConfigurationAnswer,
  configurationAnswer,
} from './administrationAnswers.js';
import {AdministrationClient, CallOutcome} from './administrationClient.js';
import {Change, ChangeOutcome, ChangeSubmitter} from './changeSubmitter.js';
import {ExitCode, exitCodes} from './exitCodes.js';

const DEFAULT_SETTINGS_FILE = 'redwing.json';
const MILLISECONDS = 1_000;
const OK = 200;
const UNAUTHORIZED = 401;

/** Ends a command with an exit status after its message was written. */
class CommandEnd extends Error {
  constructor(readonly exitCode: ExitCode) {
    super(`exit ${exitCode}`);
  }
}

/** What all commands share: settings, calls, output. */
export abstract class OperatorCommand extends Command {
  settings = Option.String('--settings', DEFAULT_SETTINGS_FILE, {
    description: `settings file (default ${DEFAULT_SETTINGS_FILE})`,
  });

  json = Option.Boolean('--json', false, {
    description: 'write JSON in place of a table',
  });

  /** Does the work; the client is released afterwards. */
  protected abstract run(client: AdministrationClient): Promise<ExitCode>;

  override async execute(): Promise<ExitCode> {
    let client: AdministrationClient | undefined;
    try {
      client = this.connect();
      return await this.run(client);
    } catch (error) {
      if (error instanceof CommandEnd) {
        return error.exitCode;
      }
      throw error;
    } finally {
      client?.dispose();
    }
  }

  /** Reads from the API and ends the command unless it answers well. */
  protected async fetch(
    client: AdministrationClient,
    apiPath: string,
  ): Promise<unknown> {
    const outcome = await client.read(apiPath);
    if (outcome.kind === 'answered' && outcome.status === OK) {
      return outcome.body;
    }
    throw this.end(readFailure(outcome), describeRead(outcome));
  }

  /** The configuration in force at the control program that answered. */
  protected async fetchConfiguration(
    client: AdministrationClient,
  ): Promise<ConfigurationAnswer> {
    const body = await this.fetch(client, '/v1/configuration');
    return configurationAnswer.parse(body);
  }

  /** Submits a change and tells the truth about what became of it. */
  protected async submit(
    client: AdministrationClient,
    change: Change,
  ): Promise<ExitCode> {
    const submitter = new ChangeSubmitter(client, new SystemClock());
    const outcome = await submitter.submit(change);
    return this.tell(outcome, change.expectedRevision);
  }

  /** Writes the result as JSON or as text. */
  protected write(value: unknown, text: string): void {
    const json = `${JSON.stringify(value, undefined, 2)}\n`;
    this.context.stdout.write(this.json ? json : text);
  }

  /** Writes a message for people and makes the error that ends the command. */
  protected end(exitCode: ExitCode, message: string): CommandEnd {
    this.context.stderr.write(`${message}\n`);
    return new CommandEnd(exitCode);
  }

  /** Ends the command with all findings. */
  protected endWithFindings(
    findings: readonly Finding[],
    exitCode: ExitCode = exitCodes.invalid,
  ): CommandEnd {
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
      timeoutSeconds * MILLISECONDS,
    );
  }

  private tell(outcome: ChangeOutcome, expectedRevision: number): ExitCode {
    this.write(outcome, describeAccepted(outcome));
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
        return this.end(exitCodes.unauthenticated, KEY_REFUSED).exitCode;
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

const KEY_REFUSED = "the operator's key was refused";

/** Text for standard output; a change that isn't accepted is told of on standard error. */
function describeAccepted(outcome: ChangeOutcome): string {
  if (outcome.kind !== 'accepted') {
    return '';
  }
  const spread =
    outcome.informed === undefined
      ? 'the answer was lost, the revision was read back'
      : `${outcome.informed} of ${outcome.listed} instances have it`;
  return `accepted as revision ${outcome.revision} (${spread})\n`;
}

function readFailure(outcome: CallOutcome): ExitCode {
  return outcome.kind === 'answered' && outcome.status === UNAUTHORIZED
    ? exitCodes.unauthenticated
    : exitCodes.unavailable;
}

function describeRead(outcome: CallOutcome): string {
  if (outcome.kind !== 'answered') {
    return `no control program answered: ${outcome.detail}`;
  }
  return outcome.status === UNAUTHORIZED
    ? KEY_REFUSED
    : `${outcome.address} answered with status ${outcome.status}`;
}
