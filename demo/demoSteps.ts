import {exampleAccounts} from '../test/support/exampleSystem.js';
import {LaunchedSystem} from '../test/support/launcher.js';
import {DecisionLog} from './decisionLog.js';
import {
  createChatCall,
  DemoResponse,
  DemoCall,
  DemoCaller,
} from './demoCaller.js';
import {OperatorTool} from './operatorTool.js';

/** The steps of the demo. A step with an unexpected result throws. */

const DONE_EVENT = 'data: [DONE]';

/** Runs the steps against a launched system. */
export class DemoSteps {
  private readonly concrete: DemoCaller;
  private readonly pellets: DemoCaller;
  private readonly operator: OperatorTool;
  private readonly decisionLog: DecisionLog;

  constructor(
    private readonly system: LaunchedSystem,
    private readonly print: (line: string) => void,
  ) {
    const [first, second] = system.instances;
    if (first === undefined || second === undefined) {
      throw new Error('the demo needs at least two instances');
    }
    const {concrete, pellets} = exampleAccounts;
    this.concrete = new DemoCaller(concrete, first.member.callerAddress);
    this.pellets = new DemoCaller(pellets, second.member.callerAddress);
    this.operator = new OperatorTool(system);
    this.decisionLog = new DecisionLog(system, print);
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
    this.printTitle('Callers request the addresses to use');
    for (const caller of [this.concrete, this.pellets]) {
      const address = await caller.findEntrypoint();
      this.print(`${caller.name}: ${address}`);
    }
  }

  private async orders(): Promise<void> {
    this.printTitle(
      'Concurrent orders of two client accounts, each to be executed at most once',
    );
    const orders: ReadonlyArray<readonly [DemoCaller, string]> = [
      [this.concrete, 'Book 12 cubic metres for Thursday 6 am, gate 3.'],
      [this.concrete, 'Move the Friday pour to 7 am.'],
      [this.pellets, 'Confirm 4 tonnes to the barn for tomorrow.'],
      [this.pellets, 'Book a truck to the hotel on Monday.'],
    ];
    const responses = await Promise.all(
      orders.map(([caller, text], index) => {
        const key = caller.createKey(`order-${index}`);
        return caller.call(createChatCall('order', text, {key}));
      }),
    );
    responses.forEach((response, index) => {
      const [caller] = orders[index]!;
      this.assertStatus(response, 200, `order ${index} of ${caller.name}`);
      this.print(`${caller.name}: ${parseContent(response)}`);
    });
    const first = responses[0]!;
    await this.decisionLog.show(first.requestId);
    await this.repeatOrder(orders[0]![1], first);
  }

  private async repeatOrder(text: string, first: DemoResponse): Promise<void> {
    this.printTitle(
      'The same order with the same key returns the recorded response without running again',
    );
    const key = this.concrete.createKey('order-0');
    const again = await this.concrete.call(
      createChatCall('order', text, {key}),
    );
    this.assertStatus(again, 200, 'the repeated order');
    if (again.text !== first.text) {
      throw new Error('the repeated order got a different response');
    }
    this.print(`${this.concrete.name}: ${parseContent(again)}`);
  }

  private async serviceCalls(): Promise<void> {
    this.printTitle('Calls to plain services: a look-up and a booking');
    const lookUp: DemoCall = {
      method: 'GET',
      path: '/v1/services/stock/items/pellets-6mm',
      classOfWork: 'query',
    };
    const booking: DemoCall = {
      method: 'POST',
      path: '/v1/services/slots/bookings',
      classOfWork: 'order',
      idempotencyKey: this.pellets.createKey('booking-1'),
      body: {key: 'booking-1', slot: 'friday-7'},
    };
    for (const call of [lookUp, booking]) {
      const response = await this.pellets.call(call);
      this.assertStatus(response, 200, call.path);
      this.print(`${call.method} ${call.path}: ${response.text}`);
      await this.decisionLog.show(response.requestId);
    }
    await this.pellets.call(booking);
    await this.checkLedger('booking-1');
  }

  /** Checks the service's own ledger for the number of executions. */
  private async checkLedger(key: string): Promise<void> {
    const ledgers = await Promise.all(
      this.system.services.map(service => service.ledger()),
    );
    const executionCount = ledgers
      .flat()
      .filter(entry => entry.key === key).length;
    this.print(
      `sent twice, executed ${executionCount} time(s) according to the service's ledger`,
    );
    if (executionCount !== 1) {
      throw new Error(
        `the booking was executed ${executionCount} times instead of once`,
      );
    }
  }

  private async streamedReply(): Promise<void> {
    this.printTitle('A streamed reply, token by token');
    const text = 'Quote 4 tonnes of pellets delivered on Friday morning.';
    const call = createChatCall('query', text, {stream: true});
    const response = await this.pellets.call(call);
    this.assertStatus(response, 200, 'the streamed reply');
    const events = response.text.split('\n\n').filter(event => event !== '');
    if (events.at(-1) !== DONE_EVENT) {
      throw new Error('the streamed reply ended without its end event');
    }
    this.print(`${events.length} events: ${parseStreamedContent(events)}`);
    await this.decisionLog.show(response.requestId);
  }

  private async refusedRequest(): Promise<void> {
    this.printTitle(
      'A refused request gets the reason, and that nothing was executed',
    );
    const call = createChatCall('urgent', 'Is the 6 am pour still on?');
    const response = await this.concrete.call(call);
    this.assertStatus(response, 400, 'a request of an unknown class');
    this.print(response.text);
  }

  private async configurationChange(): Promise<void> {
    this.printTitle(
      'An operator sets the targets of a class; a weight option is refused',
    );
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
    await this.runCommand([...targets, '--weight=3'], 2);
    await this.runCommand(targets, 0);
    await this.runCommand(['class', 'list'], 0);
    const call = createChatCall('urgent', 'Is the 6 am pour still on?');
    let response = await this.concrete.call(call);
    await this.system.waitUntil('the class is active', async () => {
      response = await this.concrete.call(call);
      return response.status === 200;
    });
    this.print(`${this.concrete.name}: ${parseContent(response)}`);
    await this.decisionLog.show(response.requestId);
  }

  private async status(): Promise<void> {
    this.printTitle('Configuration history and status for operators');
    await this.runCommand(['config', 'history'], 0);
    await this.runCommand(['status'], 0);
  }

  private async runCommand(
    commandArguments: readonly string[],
    exitCode: number,
  ): Promise<void> {
    const result = await this.operator.run(commandArguments);
    this.print(`$ redwing ${commandArguments.join(' ')}\n${result.output}`);
    if (result.exitCode !== exitCode) {
      throw new Error(
        `redwing exited with ${result.exitCode}, expected ${exitCode}`,
      );
    }
  }

  private assertStatus(
    response: DemoResponse,
    status: number,
    subject: string,
  ): void {
    if (response.status !== status) {
      throw new Error(
        `${subject}: got status ${response.status}, expected ${status}: ${response.text}`,
      );
    }
  }

  private printTitle(text: string): void {
    this.print(`\n== ${text}`);
  }
}

function parseContent(response: DemoResponse): string {
  const reply = JSON.parse(response.text) as {
    choices: ReadonlyArray<{message: {content: string}}>;
  };
  return reply.choices[0]?.message.content ?? '';
}

function parseStreamedContent(events: readonly string[]): string {
  return events
    .filter(event => event.startsWith('data: {'))
    .map(event => JSON.parse(event.slice('data: '.length)))
    .map(chunk => chunk.choices[0]?.delta.content ?? '')
    .join('');
}
