import {LaunchedSystem} from '../test/support/launcher.js';

type LogLine = Readonly<Record<string, unknown>>;

/** Fields of log lines that the demo does not print. */
const OMITTED_FIELDS = new Set([
  'hostname',
  'pid',
  'level',
  'v',
  'msg',
  'name',
]);

const WAIT_MILLISECONDS = 5000;

/** Prints the log lines that the entry programs wrote about a request. */
export class DecisionLog {
  constructor(
    private readonly system: LaunchedSystem,
    private readonly print: (line: string) => void,
  ) {}

  /** Waits for the outcome line of a request, which is logged last, and prints it with the decision lines. */
  async show(requestId: string): Promise<void> {
    await this.system.waitUntil(
      `the log contains the outcome of request ${requestId}`,
      () => Promise.resolve(this.findLines(requestId).some(isRequestOutcome)),
      WAIT_MILLISECONDS,
    );
    for (const line of this.findLines(requestId)) {
      this.print(`  log ${JSON.stringify(omitFields(line))}`);
    }
  }

  private findLines(requestId: string): readonly LogLine[] {
    return this.system.instances
      .flatMap(instance => instance.entry.logLines())
      .filter(line => line['requestId'] === requestId)
      .filter(line => line['decision'] !== undefined || isRequestOutcome(line));
  }
}

function isRequestOutcome(line: LogLine): boolean {
  return line['msg'] === 'request';
}

function omitFields(line: LogLine): LogLine {
  const remaining = Object.entries(line).filter(
    ([name]) => !OMITTED_FIELDS.has(name),
  );
  return Object.fromEntries(remaining);
}
