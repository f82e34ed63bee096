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

/** Fakes and sample data for the routing tests. */

/** The list entry of a live engine that is a replica by itself; `changes` override its fields. */
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

/** The list entry of a live instance; `changes` override its fields. */
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

/** A system view with one model of two layers and one class of work. */
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

/** A request that an idle engine can serve within its targets. */
export function workEstimate(requestId: string): WorkEstimate {
  return {
    requestId,
    classOfWork: 'orders',
    clientAccount: 'foreman',
    adapter: undefined,
    promptTokens: 10,
    outputTokens: 20,
    prefixKey: undefined,
    firstTokenWithinMilliseconds: 500,
    betweenTokensTargetMilliseconds: 50,
    deadlineWithinMilliseconds: 5000,
    priority: 1,
  };
}

/** The load report of an idle engine with all two layers of the model. */
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

/** Connects to fake engines that serve load reports and fail all other calls. */
export class FakeEngines extends EngineConnector {
  readonly reports = new Map<string, EngineReport>();
  /** Whether report calls stay unanswered until they are cancelled. */
  isSilent = false;

  override connect(upstream: string): EngineConnection {
    return new ReportingConnection(upstream, this);
  }

  /** Sets an engine's report: that of an idle engine with some changes. */
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

/** A source of the views that a test sets. */
export class FakeViews extends SystemViewSource {
  private readonly changed = new Emitter<SystemView>();
  override readonly lastResponseAt = 0;
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

/** Records decision log lines. */
export class RecordingLogger extends SilentLogger {
  readonly decisions: Array<{name: string; fields: LogFields}> = [];

  override decision(name?: string, fields?: LogFields): void {
    this.decisions.push({name: name!, fields: fields!});
  }
}
