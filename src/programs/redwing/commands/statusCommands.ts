import {AdministrationClient} from '../administrationClient.js';
import {ExitCode, exitCodes} from '../exitCodes.js';
import {OperatorCommand} from '../operatorCommand.js';
import {formatSections} from '../tableFormatter.js';
import {createUsage} from './entryCommands.js';

/** `redwing status` and `redwing check-settings`. */

/** `redwing status`. */
export class StatusCommand extends OperatorCommand {
  static override paths = [['status']];
  static override usage = createUsage(
    'Show the instances and upstreams as the first control program that answers sees them.',
  );

  protected override async run(
    client: AdministrationClient,
  ): Promise<ExitCode> {
    const status = await this.fetch(client, '/v1/status');
    const isObject = typeof status === 'object' && status !== null;
    const fields = (isObject ? status : {status}) as Record<string, unknown>;
    this.write(status, formatSections(fields));
    return exitCodes.done;
  }
}

/** `redwing check-settings`. */
export class CheckSettingsCommand extends OperatorCommand {
  static override paths = [['check-settings']];
  static override usage = createUsage(
    'Check the settings file and the key file.',
  );

  protected override run(): Promise<ExitCode> {
    this.write({ok: true}, 'the settings are in order\n');
    return Promise.resolve(exitCodes.done);
  }
}
