import {LaunchedSystem} from '../test/support/launcher.js';

type LogLine = Readonly<Record<string, unknown>>;

/** Fields that say nothing to a reader of the demo. */
const LEFT_OUT = new Set(['hostname', 'pid', 'level', 'v', 'msg', 'name']);

const WAIT_MILLISECONDS = 5000;

/** The log lines that the entry programs wrote about one request. */
export class DecisionLines {
  constructor(
    private readonly system: LaunchedSystem,
    private readonly print: (line: string) => void,
  ) {}

  /** Prints the decisions on a request and its outcome; the line of the outcome comes last. */
  async show(requestId: string): Promise<void> {
    await this.system.until(
      `the log tells of request ${requestId}`,
      () => Promise.resolve(this.linesOf(requestId).some(isOutcome)),
      WAIT_MILLISECONDS,
    );
    for (const line of this.linesOf(requestId)) {
      this.print(`  log ${JSON.stringify(withoutNoise(line))}`);
    }
  }

  private linesOf(requestId: string): readonly LogLine[] {
    return this.system.instances
      .flatMap(instance => instance.entry.logLines())
      .filter(line => line['requestId'] === requestId)
      .filter(line => line['decision'] !== undefined || isOutcome(line));
  }
}

function isOutcome(line: LogLine): boolean {
  return line['msg'] === 'request';
}

function withoutNoise(line: LogLine): LogLine {
  const kept = Object.entries(line).filter(([name]) => !LEFT_OUT.has(name));
  return Object.fromEntries(kept);
}
