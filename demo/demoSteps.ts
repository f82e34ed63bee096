import {exampleAccounts} from '../test/support/exampleSystem.js';
import {LaunchedSystem} from '../test/support/launcher.js';
import {DecisionLines} from './decisionLines.js';
import {chatCall, DemoAnswer, DemoCall, DemoCaller} from './demoCaller.js';
import {OperatorTool} from './operatorTool.js';

/** What the demo shows, step by step; a step that goes otherwise than it should throws. */

const DONE_EVENT = 'data: [DONE]';

/** Plays the steps against a launched system. */
export class DemoSteps {
  private readonly concrete: DemoCaller;
  private readonly pellets: DemoCaller;
  private readonly operator: OperatorTool;
  private readonly lines: DecisionLines;

  constructor(
    private readonly system: LaunchedSystem,
    private readonly print: (line: string) => void,
  ) {
    const [first, second] = system.instances;
    if (first === undefined || second === undefined) {
      throw new Error('the demo needs two instances');
    }
    const {concrete, pellets} = exampleAccounts;
    this.concrete = new DemoCaller(concrete, first.member.callerAddress);
    this.pellets = new DemoCaller(pellets, second.member.callerAddress);
    this.operator = new OperatorTool(system);
    this.lines = new DecisionLines(system, print);
  }

  async run(): Promise<void> {
    await this.findEntrypoints();
    await this.orders();
    await this.serviceCalls();
    await this.streamedReply();
    await this.refusedRequest();
    await this.configurationChange();
    await this.status();
  }

  private async findEntrypoints(): Promise<void> {
    this.title('Callers ask which address to use');
    for (const caller of [this.concrete, this.pellets]) {
      const address = await caller.findEntrypoint();
      this.print(`${caller.name}: ${address}`);
    }
  }

  private async orders(): Promise<void> {
    this.title(
      'Orders of two client accounts at once, none of which may run twice',
    );
    const orders: ReadonlyArray<readonly [DemoCaller, string]> = [
      [this.concrete, 'Book 12 cubic metres for Thursday 6 am, gate 3.'],
      [this.concrete, 'Move the Friday pour to 7 am.'],
      [this.pellets, 'Confirm 4 tonnes to the barn for tomorrow.'],
      [this.pellets, 'Book a truck to the hotel on Monday.'],
    ];
    const answers = await Promise.all(
      orders.map(([caller, text], index) => {
        const key = caller.keyOf(`order-${index}`);
        return caller.call(chatCall('order', text, {key}));
      }),
    );
    answers.forEach((answer, index) => {
      const [caller] = orders[index]!;
      this.check(answer, 200, `order ${index} of ${caller.name}`);
      this.print(`${caller.name}: ${contentOf(answer)}`);
    });
    const first = answers[0]!;
    await this.lines.show(first.requestId);
    await this.sendAgain(orders[0]![1], first);
  }

  private async sendAgain(text: string, first: DemoAnswer): Promise<void> {
    this.title('The same order under the same key comes back, it is not run');
    const key = this.concrete.keyOf('order-0');
    const again = await this.concrete.call(chatCall('order', text, {key}));
    this.check(again, 200, 'the order sent again');
    if (again.text !== first.text) {
      throw new Error('the order sent again was answered otherwise');
    }
    this.print(`${this.concrete.name}: ${contentOf(again)}`);
  }

  private async serviceCalls(): Promise<void> {
    this.title('Plain services: a look-up and a booking');
    const lookUp: DemoCall = {
      method: 'GET',
      path: '/v1/services/stock/items/pellets-6mm',
      classOfWork: 'query',
    };
    const booking: DemoCall = {
      method: 'POST',
      path: '/v1/services/slots/bookings',
      classOfWork: 'order',
      idempotencyKey: this.pellets.keyOf('booking-1'),
      body: {key: 'booking-1', slot: 'friday-7'},
    };
    for (const call of [lookUp, booking]) {
      const answer = await this.pellets.call(call);
      this.check(answer, 200, call.path);
      this.print(`${call.method} ${call.path}: ${answer.text}`);
      await this.lines.show(answer.requestId);
    }
    await this.pellets.call(booking);
    await this.checkLedger('booking-1');
  }

  /** What counts is what the service itself wrote down. */
  private async checkLedger(key: string): Promise<void> {
    const ledgers = await Promise.all(
      this.system.services.map(service => service.ledger()),
    );
    const runs = ledgers.flat().filter(entry => entry.key === key).length;
    this.print(`sent twice, run ${runs} time(s) by the service's own ledger`);
    if (runs !== 1) {
      throw new Error(`the booking was run ${runs} times`);
    }
  }

  private async streamedReply(): Promise<void> {
    this.title('A streamed reply, token by token');
    const text = 'Quote 4 tonnes of pellets delivered on Friday morning.';
    const call = chatCall('query', text, {stream: true});
    const answer = await this.pellets.call(call);
    this.check(answer, 200, 'the streamed reply');
    const events = answer.text.split('\n\n').filter(event => event !== '');
    if (events.at(-1) !== DONE_EVENT) {
      throw new Error('the streamed reply did not end whole');
    }
    this.print(`${events.length} events: ${streamedContentOf(events)}`);
    await this.lines.show(answer.requestId);
  }

  private async refusedRequest(): Promise<void> {
    this.title('A refused request is told that nothing ran, and why');
    const call = chatCall('urgent', 'Is the 6 am pour still on?');
    const answer = await this.concrete.call(call);
    this.check(answer, 400, 'a request of an unknown class');
    this.print(answer.text);
  }

  private async configurationChange(): Promise<void> {
    this.title('An operator states targets; a weight is refused');
    const targets = [
      'class',
      'set',
      'urgent',
      '--first-token-milliseconds=8000',
      '--between-tokens-milliseconds=2000',
      '--deadline-milliseconds=25000',
      '--requests-per-second=2',
      '--repeatable',
    ];
    await this.command([...targets, '--weight=3'], 2);
    await this.command(targets, 0);
    await this.command(['class', 'list'], 0);
    const call = chatCall('urgent', 'Is the 6 am pour still on?');
    let answer = await this.concrete.call(call);
    await this.system.until('the class is in force', async () => {
      answer = await this.concrete.call(call);
      return answer.status === 200;
    });
    this.print(`${this.concrete.name}: ${contentOf(answer)}`);
    await this.lines.show(answer.requestId);
  }

  private async status(): Promise<void> {
    this.title('What the operators see');
    await this.command(['config', 'history'], 0);
    await this.command(['status'], 0);
  }

  private async command(
    words: readonly string[],
    exitCode: number,
  ): Promise<void> {
    const run = await this.operator.run(words);
    this.print(`$ redwing ${words.join(' ')}\n${run.output}`);
    if (run.exitCode !== exitCode) {
      throw new Error(`redwing ended with ${run.exitCode}, not ${exitCode}`);
    }
  }

  private check(answer: DemoAnswer, status: number, what: string): void {
    if (answer.status !== status) {
      throw new Error(
        `${what} was answered with ${answer.status}, not ${status}: ${answer.text}`,
      );
    }
  }

  private title(text: string): void {
    this.print(`\n== ${text}`);
  }
}

function contentOf(answer: DemoAnswer): string {
  const reply = JSON.parse(answer.text) as {
    choices: ReadonlyArray<{message: {content: string}}>;
  };
  return reply.choices[0]?.message.content ?? '';
}

function streamedContentOf(events: readonly string[]): string {
  return events
    .filter(event => event.startsWith('data: {'))
    .map(event => JSON.parse(event.slice('data: '.length)))
    .map(chunk => chunk.choices[0]?.delta.content ?? '')
    .join('');
}
