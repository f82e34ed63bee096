import {LaunchedSystem} from '../support/launcher.js';
import {sleep} from '../support/sleep.js';
import {SystemOptions} from '../support/systemOptions.js';
import {InstanceHandle} from '../support/systemHandles.js';
import {checkLedgers} from './checks/checkLedgers.js';
import {LedgerReader} from './ledgerReader.js';
import {RecordedResponse, Submission, Work} from './observations.js';
import {launchSystemUnderTest} from './systemUnderTest.js';
import {TestClient} from './testClient.js';

/** Far longer than the work takes, so that the result doesn't depend on the machine's speed. */
const DEADLINE_MILLISECONDS = 30_000;
const BEGIN_TIMEOUT_MILLISECONDS = 20_000;
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 500;

/** A launched system with a client, its recorded submissions and the ledgers, for tests of one failure each. */
export class FaultTestFixture {
  readonly client = new TestClient();
  readonly ledgers: LedgerReader;
  private submissions: Submission[] = [];
  private workCount = 0;

  private constructor(readonly system: LaunchedSystem) {
    this.ledgers = new LedgerReader(system);
  }

  static async launch(
    options: Partial<SystemOptions> = {},
    deadlineMilliseconds = DEADLINE_MILLISECONDS,
  ): Promise<FaultTestFixture> {
    return new FaultTestFixture(
      await launchSystemUnderTest(options, deadlineMilliseconds),
    );
  }

  /** Clears the submissions of earlier test cases. */
  startCase(): void {
    this.submissions = [];
  }

  /** Returns an instance by its index in start order. */
  instance(index: number): InstanceHandle {
    return this.system.instances[index]!;
  }

  /** Creates work that is not repeatable: a streamed reply with this number of tokens, or a service call. */
  newWork(outputTokens: number, kind: Work['kind'] = 'model'): Work {
    this.workCount++;
    const businessKey = `work-${this.workCount}`;
    const prompt = `[key:${businessKey}] [reply:${outputTokens}] pour at six`;
    return {
      round: 0,
      businessKey,
      kind,
      repeatable: false,
      stream: true,
      content: kind === 'model' ? prompt : JSON.stringify({key: businessKey}),
      maximumOutputTokens: outputTokens,
    };
  }

  /** Creates a key bound to the grant of an instance. */
  async boundKey(instance: InstanceHandle, work: Work): Promise<string> {
    const {callerAddress} = instance.member;
    const entrypoints = await this.client.entrypoints(callerAddress);
    return `${entrypoints?.grant}.${work.businessKey}`;
  }

  submit(
    instance: InstanceHandle,
    work: Work,
    key: string,
  ): Promise<RecordedResponse> {
    const {callerAddress: address} = instance.member;
    return this.recordSubmission('work', address, work, key, () =>
      this.client.submit(address, work, key),
    );
  }

  /** Resubmits after the stated retry time while the instance refuses for lack of capacity. */
  async submitUntilAccepted(
    instance: InstanceHandle,
    work: Work,
    key: string,
  ): Promise<RecordedResponse> {
    for (;;) {
      const response = await this.submit(instance, work, key);
      const {executed, retryAfterMilliseconds} = response;
      if (executed !== 'no' || retryAfterMilliseconds === undefined) {
        return response;
      }
      await sleep(
        Math.min(retryAfterMilliseconds, MAXIMUM_RETRY_DELAY_MILLISECONDS),
      );
    }
  }

  lookUp(
    instance: InstanceHandle,
    work: Work,
    key: string,
  ): Promise<RecordedResponse> {
    const {callerAddress: address} = instance.member;
    return this.recordSubmission('lookUp', address, work, key, () =>
      this.client.lookUp(address, work, key),
    );
  }

  /** Resolves when an upstream has begun to run the work. */
  awaitBegun(work: Work): Promise<void> {
    return this.system.waitUntil(
      `${work.businessKey} has begun`,
      async () => this.runCountOf(work) > 0,
      BEGIN_TIMEOUT_MILLISECONDS,
    );
  }

  /** Number of runs under the business key of the work, according to the ledgers. */
  runCountOf(work: Work): number {
    this.ledgers.readNewEntries();
    return this.ledgers.index.runsOfKey(work.businessKey).length;
  }

  /** Adds the submissions of other callers to the checks. */
  addSubmissions(submissions: readonly Submission[]): void {
    this.submissions.push(...submissions);
  }

  /** Describes all submissions of this test case that contradict the ledgers. */
  violations(): readonly string[] {
    this.ledgers.readNewEntries();
    const {layerCount} = this.system.options;
    const {index} = this.ledgers;
    return checkLedgers(this.submissions, index, layerCount).map(
      ({invariant, detail}) => `${invariant}: ${detail}`,
    );
  }

  async dispose(): Promise<void> {
    await this.client.close();
    await this.system.dispose();
  }

  private async recordSubmission(
    kind: Submission['kind'],
    address: string,
    work: Work,
    idempotencyKey: string,
    call: () => Promise<RecordedResponse>,
  ): Promise<RecordedResponse> {
    const startedAt = Date.now();
    const response = await call();
    const endedAt = Date.now();
    const times = {startedAt, endedAt};
    this.addSubmissions([
      {work, kind, idempotencyKey, address, ...times, response},
    ]);
    return response;
  }
}
