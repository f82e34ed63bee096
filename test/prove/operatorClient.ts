import {createHash} from 'node:crypto';

import {Configuration} from '../../src/features/configuration/common/configuration.js';
import {hashKey, LaunchedSystem} from '../support/launcher.js';
import {callJson, InstanceHandle} from '../support/systemHandles.js';
import {
  AcceptedChange,
  ConfigurationEvidence,
  ConfigurationSample,
} from './observations.js';

const ACCEPTED_STATUS = 201;

/** Changes the configuration as operators do, and samples the configuration of all instances. */
export class OperatorClient {
  private readonly accepted: AcceptedChange[] = [];
  private readonly samples: ConfigurationSample[] = [];
  private finalSamples: readonly ConfigurationSample[] = [];

  constructor(private readonly system: LaunchedSystem) {}

  get evidence(): ConfigurationEvidence {
    const {accepted, samples, finalSamples} = this;
    return {accepted, samples, finalSamples};
  }

  get highestAcceptedRevision(): number {
    return Math.max(0, ...this.accepted.map(change => change.revision));
  }

  /** Adds an account of this name at an instance; resolves to whether the response states that it is accepted. */
  async addAccount(instance: InstanceHandle, name: string): Promise<boolean> {
    const value = {name, keyHash: hashKey(name)};
    const operations = [{kind: 'setClientAccount', value}];
    const address = instance.member.controlAddress;
    try {
      const response = await callJson(
        'POST',
        `http://${address}/v1/configuration/revisions`,
        {operations},
        this.headers,
      );
      const {revision} = response.body as {revision: number};
      if (response.status === ACCEPTED_STATUS) {
        this.accepted.push({name, revision});
        return true;
      }
    } catch {
      // Without a response, the change does not count as accepted.
    }
    return false;
  }

  /** Samples the configuration of an instance; undefined when it doesn't respond. */
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

  /** Waits until all instances have the highest accepted revision or the timeout passes; keeps the final samples. */
  async awaitConvergence(timeoutMilliseconds: number): Promise<void> {
    const targetRevision = this.highestAcceptedRevision;
    const end = Date.now() + timeoutMilliseconds;
    let samples = await this.sampleAll();
    const hasConverged = () =>
      samples.every(
        sample => sample !== undefined && sample.revision >= targetRevision,
      );
    while (!hasConverged() && Date.now() < end) {
      samples = await this.sampleAll();
    }
    this.finalSamples = samples.flatMap(sample => sample ?? []);
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
  const digest = createHash('sha256').update(toSortedJson(configuration));
  return {
    instance,
    pid,
    at: Date.now(),
    revision,
    digest: digest.digest('hex'),
    names: new Set(Object.keys(clientAccounts)),
  };
}

/** Converts to JSON with sorted fields, so that equal content gives an equal digest. */
function toSortedJson(value: unknown): string {
  return JSON.stringify(value, (_key, entry: unknown) =>
    typeof entry === 'object' && entry !== null && !Array.isArray(entry)
      ? Object.fromEntries(
          Object.entries(entry).sort(([left], [right]) =>
            left < right ? -1 : 1,
          ),
        )
      : entry,
  );
}
