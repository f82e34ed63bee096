import {failure, Result, success} from '../../../base/common/result.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {
  UpstreamCallError,
  UpstreamControl,
  UpstreamReport,
} from '../../fleet/common/upstreamControl.js';
import {
  ConnectionTest,
  ConnectionTester,
} from '../../links/common/connectionTester.js';
import {
  PeerReachability,
  Reachability,
} from '../../links/common/reachability.js';
import {LossAnnouncer} from '../../crashes/common/lossAnnouncer.js';
import {Path} from '../../paths/common/path.js';

/** Calls, connections and links to upstreams that a test lets fail. */

/** Upstreams respond to report requests unless they are unreachable. */
export class FakeControl extends UpstreamControl {
  readonly unreachableIds = new Set<string>();
  /** Upstreams that were restarted: another run responds under the same name. */
  readonly restarted = new Set<string>();
  readonly requestedPaths: string[] = [];
  reportCount = 0;
  /** Delay of reports in milliseconds; Infinity if they are never sent. */
  reportDelayMilliseconds = 0;
  /** Delays of single upstreams, by their identifiers. */
  readonly reportDelays = new Map<string, number>();

  constructor(private readonly clock: FakeClock) {
    super();
  }

  moveError: UpstreamCallError | undefined;

  override async report(
    upstream: Upstream,
  ): Promise<Result<UpstreamReport, UpstreamCallError>> {
    this.reportCount++;
    await this.wait(upstream.id);
    if (this.restarted.has(upstream.id)) {
      return failure({kind: 'misdirected'});
    }
    return this.unreachableIds.has(upstream.id)
      ? failure({kind: 'noAnswer', detail: 'unreachable'})
      : success({
          orderCount: 0,
          isBusy: false,
          slowness: 1,
          isLeaving: false,
          layers: upstream.layers,
          stalled: [],
        });
  }

  private async wait(id: string): Promise<void> {
    const milliseconds =
      this.reportDelays.get(id) ?? this.reportDelayMilliseconds;
    if (milliseconds > 0) {
      await new Promise<void>(resolve => {
        if (Number.isFinite(milliseconds)) {
          this.clock.setTimer(milliseconds, resolve);
        }
      });
    }
  }

  override async place(): Promise<
    Result<{readonly hasBegun: boolean}, UpstreamCallError>
  > {
    return success({hasBegun: true});
  }

  override async repath(
    _upstream: Upstream,
    _requestId: string,
    path: Path,
  ): Promise<Result<void, UpstreamCallError>> {
    this.requestedPaths.push(path.map(({upstream}) => upstream.id).join(','));
    return this.moveError === undefined
      ? success(undefined)
      : failure(this.moveError);
  }
}

/** Addresses accept connections unless a test says otherwise. */
export class FakeConnectionTester extends ConnectionTester {
  readonly refusing = new Set<string>();
  /** Whether the links of this instance to all addresses are lost. */
  isCut = false;

  override async test(address: string): Promise<ConnectionTest> {
    return this.isCut || this.refusing.has(address) ? 'refused' : 'connected';
  }
}

/** Peers find what this instance finds, but for addresses that they reach by links of their own. */
export class FakePeerReachability extends PeerReachability {
  readonly reached = new Set<string>();
  /** What each peer that is asked finds at other addresses that refuse connections. */
  findings: readonly Reachability[] = ['refused', 'refused'];

  constructor(private readonly connections: FakeConnectionTester) {
    super();
  }

  override async askAll(address: string): Promise<readonly Reachability[]> {
    const isRefused =
      this.connections.refusing.has(address) && !this.reached.has(address);
    return isRefused ? this.findings : ['reached'];
  }
}

/** Keeps which requests peers are told of. */
export class FakeLossAnnouncer extends LossAnnouncer {
  readonly announcedKeys: string[] = [];
  /** Requests of which only one peer is told. */
  readonly reportedKeys: string[] = [];

  override async announce(key: string): Promise<void> {
    this.announcedKeys.push(key);
  }

  override async report(key: string): Promise<void> {
    this.reportedKeys.push(key);
  }
}
