import {createHash} from 'node:crypto';

import {Configuration} from '../../src/features/configuration/common/configuration.js';
import {hashKey, LaunchedSystem} from '../support/launcher.js';
import {callJson, InstanceHandle} from '../support/systemParts.js';
import {
  AcceptedChange,
  ConfigurationEvidence,
  ConfigurationSample,
} from './observations.js';

const ACCEPTED_STATUS = 201;

/** Operators who change the configuration, and what all instances show of it. */
export class Operators {
  private readonly accepted: AcceptedChange[] = [];
  private readonly samples: ConfigurationSample[] = [];
  private settled: readonly ConfigurationSample[] = [];

  constructor(private readonly system: LaunchedSystem) {}

  get evidence(): ConfigurationEvidence {
    const {accepted, samples, settled} = this;
    return {accepted, samples, settled};
  }

  get highestAccepted(): number {
    return Math.max(0, ...this.accepted.map(change => change.revision));
  }

  /** Adds an account of this name at an instance; notes when the operator is told that it is accepted. */
  async change(instance: InstanceHandle, name: string): Promise<boolean> {
    const value = {name, keyHash: hashKey(name)};
    const operations = [{kind: 'setClientAccount', value}];
    const address = instance.member.controlAddress;
    try {
      const answer = await callJson(
        'POST',
        `http://${address}/v1/configuration/revisions`,
        {operations},
        this.headers,
      );
      const {revision} = answer.body as {revision: number};
      if (answer.status === ACCEPTED_STATUS) {
        this.accepted.push({name, revision});
        return true;
      }
    } catch {
      // Not told that it is accepted.
    }
    return false;
  }

  /** What an instance shows; undefined when it doesn't answer. */
  async sample(
    instance: InstanceHandle,
  ): Promise<ConfigurationSample | undefined> {
    const {pid} = instance.control;
    try {
      const url = `http://${instance.member.controlAddress}/v1/configuration`;
      const {status, body} = await callJson(
        'GET',
        url,
        undefined,
        this.headers,
      );
      if (status !== 200 || pid !== instance.control.pid) {
        return undefined;
      }
      const sample = toSample(instance.id, pid, body as Configuration);
      this.samples.push(sample);
      return sample;
    } catch {
      return undefined;
    }
  }

  async sampleAll(): Promise<ReadonlyArray<ConfigurationSample | undefined>> {
    const {instances} = this.system;
    return Promise.all(instances.map(instance => this.sample(instance)));
  }

  /** Waits until all instances show the highest accepted revision, for a bounded time; then notes what they show. */
  async settle(boundMilliseconds: number): Promise<void> {
    const wanted = this.highestAccepted;
    const end = Date.now() + boundMilliseconds;
    let shown = await this.sampleAll();
    const isInForce = () =>
      shown.every(sample => sample !== undefined && sample.revision >= wanted);
    while (!isInForce() && Date.now() < end) {
      shown = await this.sampleAll();
    }
    this.settled = shown.flatMap(sample => sample ?? []);
  }

  private get headers(): Readonly<Record<string, string>> {
    return {authorization: `Bearer ${this.system.operatorKey}`};
  }
}

function toSample(
  instance: string,
  pid: number,
  configuration: Configuration,
): ConfigurationSample {
  const {revision, clientAccounts} = configuration;
  const digest = createHash('sha256').update(ordered(configuration));
  return {
    instance,
    pid,
    at: Date.now(),
    revision,
    digest: digest.digest('hex'),
    names: new Set(Object.keys(clientAccounts)),
  };
}

/** JSON with sorted fields: the order in which entries were added doesn't count. */
function ordered(value: unknown): string {
  return JSON.stringify(value, (_key, part: unknown) =>
    typeof part === 'object' && part !== null && !Array.isArray(part)
      ? Object.fromEntries(
          Object.entries(part).sort(([left], [right]) =>
            left < right ? -1 : 1,
          ),
        )
      : part,
  );
}
