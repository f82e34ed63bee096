import {CancellationToken} from '../../../base/common/cancellation.js';
import {Emitter} from '../../../base/common/event.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {
  EngineConnection,
  EngineConnector,
  EngineError,
  EngineReport,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {
  InstanceMember,
  UpstreamMember,
} from '../../../infrastructure/membership/common/membershipList.js';
import {
  LogFields,
  SilentLogger,
} from '../../../infrastructure/logging/common/logger.js';
import {emptyConfiguration} from '../../configuration/common/configuration.js';
import {SystemView} from '../../membership/common/systemView.js';
import {SystemViewSource} from '../../membership/common/systemViewSource.js';
import {WorkEstimate} from '../common/routing.js';

/** Fakes for the tests of routing. */

/** An engine of a replica with one stage of two layers unless told otherwise. */
export function engineMember(
  id: string,
  changes: Partial<UpstreamMember> = {},
): UpstreamMember {
  return {
    role: 'engine',
    id,
    dataCentre: 'north-1',
    region: 'west',
    address: `10.0.0.1:${id.length}`,
    group: `replica-${id}`,
    state: 'live',
    ...changes,
  };
}

/** An instance of the system. */
export function instanceMember(
  id: string,
  changes: Partial<InstanceMember> = {},
): InstanceMember {
  return {
    role: 'instance',
    id,
    dataCentre: 'north-1',
    region: 'west',
    callerAddress: `${id}:1`,
    entryPeerAddress: `${id}:2`,
    controlAddress: `${id}:3`,
    state: 'live',
    ...changes,
  };
}

/** A view with one model of two layers and one class. */
export function systemView(
  instances: readonly InstanceMember[],
  upstreams: readonly UpstreamMember[],
  sequence = 1,
): SystemView {
  const model = {name: 'm', version: '1', layerCount: 2, adapters: []};
  return {
    sequence,
    standing: {kind: 'serving'},
    configuration: {
      ...emptyConfiguration,
      models: {m: model},
      classes: {orders: ordersClass},
    },
    instances: instances.map(member => ({
      member,
      incarnation: `${member.id}-1`,
      ready: member.state === 'live',
    })),
    upstreams,
  };
}

const ordersClass = {
  name: 'orders',
  firstTokenMilliseconds: 500,
  betweenTokensMilliseconds: 50,
  deadlineMilliseconds: 5000,
  requestsPerSecond: 10,
  repeatable: false,
};

/** A piece of work that an idle engine can do in time. */
export function workEstimate(requestId: string): WorkEstimate {
  return {
    requestId,
    classOfWork: 'orders',
    clientAccount: 'foreman',
    adapter: undefined,
    promptTokens: 10,
    outputTokens: 20,
    prefixKey: undefined,
    firstTokenWithin: 500,
    betweenTokensTarget: 50,
    deadlineWithin: 5000,
    priority: 1,
  };
}

/** An idle engine's report. */
export function engineReport(upstream: string): EngineReport {
  return {
    upstream,
    engineIncarnation: `${upstream}-1`,
    acceleratorKind: 'a',
    model: 'm',
    version: '1',
    adapters: [],
    layers: {from: 0, to: 2},
    role: 'both',
    checksFencing: true,
    sequenceLimit: 16,
    residentSequences: 0,
    queuedSequences: 0,
    decodeMilliseconds: 10,
    prefillMillisecondsPerToken: 1,
    cachedPrefixes: [],
    ageMilliseconds: 0,
    leaving: false,
    appliedOrder: 0,
    loading: false,
  };
}

/** Engines that only report. */
export class FakeEngines extends EngineConnector {
  readonly reports = new Map<string, EngineReport>();
  /** Whether reports stay away until they are cancelled. */
  isSilent = false;

  override connect(upstream: string): EngineConnection {
    return new ReportingConnection(upstream, this);
  }

  /** Changes what an engine reports. */
  set(upstream: string, changes: Partial<EngineReport> = {}): void {
    this.reports.set(upstream, {...engineReport(upstream), ...changes});
  }
}

const unused: Result<never, EngineError> = failure({kind: 'cancelled'});

class ReportingConnection extends EngineConnection {
  constructor(
    private readonly upstream: string,
    private readonly engines: FakeEngines,
  ) {
    super();
  }

  override async report(
    token: CancellationToken,
  ): Promise<Result<EngineReport, EngineError>> {
    if (this.engines.isSilent) {
      await new Promise<void>(resolve => token.onDidCancel(resolve));
    }
    const report = this.engines.reports.get(this.upstream);
    if (token.isCancelled) {
      return failure({kind: 'cancelled'});
    }
    if (report === undefined) {
      return failure({kind: 'unreachable', detail: 'no such engine'});
    }
    return success(report);
  }

  override step = async () => unused;
  override cancel = async () => unused;
  override exportCache = async () => unused;
  override importCache = async () => unused;
  override order = async () => unused;
}

/** Views as a test sets them. */
export class FakeViews extends SystemViewSource {
  private readonly changed = new Emitter<SystemView>();
  override readonly heardAt = 0;
  override readonly onDidChange = this.changed.event;
  override current: SystemView | undefined;

  set(view: SystemView): void {
    this.current = view;
    this.changed.fire(view);
  }

  override announce(): void {}

  override dispose(): void {
    this.changed.dispose();
  }
}

/** Keeps decision lines. */
export class RecordingLogger extends SilentLogger {
  readonly decisions: Array<{name: string; fields: LogFields}> = [];

  override decision(name?: string, fields?: LogFields): void {
    this.decisions.push({name: name!, fields: fields!});
  }
}
