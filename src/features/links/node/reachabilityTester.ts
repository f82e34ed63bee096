import {Clock} from '../../../base/common/clock.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {SuspicionTracker} from '../../fleet/common/suspicionTracker.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {ConnectionTester} from '../common/connectionTester.js';
import {Reachability} from '../common/reachability.js';

/** Many peers may ask about one address at the same time; a finding this old answers them, too. */
const VALID_MILLISECONDS = 100;

/** Other hosts that are tried at most. */
const WITNESS_LIMIT = 5;

interface Finding {
  readonly at: number;
  readonly result: Promise<Reachability>;
}

/** Tests from this instance whether the host of an upstream refuses connections. */
export class ReachabilityTester {
  private readonly findings = new Map<string, Finding>();

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly connections: ConnectionTester,
    private readonly directory: UpstreamDirectory,
    private readonly suspicions: SuspicionTracker,
  ) {}

  /** @param address `IP:port` */
  test(address: string): Promise<Reachability> {
    const now = this.clock.monotonicMilliseconds();
    this.removeOld(now);
    const known = this.findings.get(address);
    if (known !== undefined) {
      return known.result;
    }
    const result = this.connect(address);
    this.findings.set(address, {at: now, result});
    return result;
  }

  /**
   * A refusal counts only around a connection that another host accepted: while all links of this instance are lost,
   * connections may be refused everywhere.
   */
  private async connect(address: string): Promise<Reachability> {
    const first = await this.connections.test(address);
    if (first !== 'refused') {
      return first === 'connected' ? 'reached' : 'unknown';
    }
    const isRefusedAgain =
      (await this.connectsElsewhere(address)) &&
      (await this.connections.test(address)) === 'refused';
    return isRefusedAgain ? 'refused' : 'unknown';
  }

  /** Whether this instance connects to another host. Some may have ended with the tested one, and refuse at once. */
  private async connectsElsewhere(address: string): Promise<boolean> {
    for (const witness of this.chooseWitnesses(address)) {
      const result = await this.connections.test(witness.address);
      if (result !== 'refused') {
        return result === 'connected';
      }
    }
    return false;
  }

  /** Upstreams on other hosts that are not suspected, in random order. */
  private chooseWitnesses(address: string): readonly Upstream[] {
    const candidates = this.directory.list.filter(
      other =>
        hostOf(other.address) !== hostOf(address) &&
        !this.suspicions.isSuspect(other.id),
    );
    const witnesses: Upstream[] = [];
    while (candidates.length > 0 && witnesses.length < WITNESS_LIMIT) {
      const index = this.random.nextInteger(candidates.length);
      witnesses.push(...candidates.splice(index, 1));
    }
    return witnesses;
  }

  private removeOld(now: number): void {
    for (const [address, {at}] of this.findings) {
      if (now - at >= VALID_MILLISECONDS) {
        this.findings.delete(address);
      }
    }
  }
}

function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}
