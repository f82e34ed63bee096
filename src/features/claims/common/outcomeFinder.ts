import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {TableService} from '../../../infrastructure/table/common/tableService.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {AskRequest, AskResponse, ClaimPeers} from './claimPeers.js';
import {
  claimRowKey,
  isResponseNotRetained,
  KeyState,
  parseClaimRecord,
} from './claimRecord.js';
import {KeyBinding} from './claimService.js';
import {PeerDirectory} from './peerDirectory.js';

/** A key that starts with a grant. */
export type BoundKeyBinding = Extract<KeyBinding, {readonly kind: 'bound'}>;

/** The state of a key bound to another incarnation, as found at that incarnation or in the table. */
export type RemoteOutcome =
  | ({readonly kind: 'outcome'} & KeyState)
  /** Never dispatched and never will be, because the grant has expired. */
  | {readonly kind: 'closed'}
  /** Not dispatched so far, but still may be. */
  | {readonly kind: 'notSeen'}
  /** The incarnation may be running but did not respond. */
  | {readonly kind: 'notAsked'};

export interface OutcomeFinderDependencies {
  readonly table: TableService;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly directory: PeerDirectory;
  readonly peers: ClaimPeers;
  readonly askMilliseconds: number;
}

/** The state of a key whose owner may be running but did not respond: it can be asked again. */
const RUNNING_STATE: KeyState = {
  outcome: {kind: 'running'},
  fingerprint: undefined,
};

const UNKNOWN_STATE: KeyState = {
  outcome: {kind: 'unknown'},
  fingerprint: undefined,
};

/** Finds the outcomes of keys that this instance did not run: asks their incarnation, then reads the table. */
export class OutcomeFinder {
  constructor(private readonly dependencies: OutcomeFinderDependencies) {}

  /** Finds the state of a key bound to another incarnation. */
  async findRemoteOutcome(
    keyHash: string,
    binding: BoundKeyBinding,
    token: CancellationToken,
  ): Promise<RemoteOutcome> {
    const {incarnation, expiresAtWallMilliseconds} = binding;
    const request: AskRequest = {
      incarnation,
      keyHash,
      grantExpiresAt: expiresAtWallMilliseconds,
    };
    const response = await this.ask(request, token);
    if (response?.kind === 'seen') {
      const {outcome, fingerprint} = response;
      const withBody = await this.withRecordedResponse(keyHash, outcome, token);
      return {kind: 'outcome', outcome: withBody, fingerprint};
    }
    if (response?.kind === 'notSeen') {
      return {kind: response.closed ? 'closed' : 'notSeen'};
    }
    const recorded = await this.readRecorded(keyHash, token);
    if (recorded !== undefined) {
      return {kind: 'outcome', ...recorded};
    }
    const mayBeAlive = response === undefined && this.isListed(incarnation);
    return mayBeAlive
      ? {kind: 'notAsked'}
      : {kind: 'outcome', ...UNKNOWN_STATE};
  }

  /** Asks the incarnation that claimed a plain key, when the claim row has no outcome. */
  async askPlainKeyOwner(
    keyHash: string,
    incarnation: string,
    token: CancellationToken,
  ): Promise<KeyState> {
    const request = {incarnation, keyHash, grantExpiresAt: undefined};
    const response = await this.ask(request, token);
    if (response?.kind === 'seen') {
      const {outcome, fingerprint} = response;
      return {outcome, fingerprint};
    }
    // The owner may have recorded the outcome and forgotten the key since the row was read.
    const recorded = await this.readRecorded(keyHash, token);
    if (recorded !== undefined) {
      return recorded;
    }
    const mayBeAlive = response === undefined && this.isListed(incarnation);
    return mayBeAlive ? RUNNING_STATE : UNKNOWN_STATE;
  }

  /** Reads the response from the table if its body is no longer in memory. */
  async withRecordedResponse(
    keyHash: string,
    outcome: RequestOutcome,
    token: CancellationToken,
  ): Promise<RequestOutcome> {
    if (!isResponseNotRetained(outcome)) {
      return outcome;
    }
    return (await this.readRecorded(keyHash, token))?.outcome ?? outcome;
  }

  /** The recorded outcome; undefined when the row has none or cannot be read. */
  async readRecorded(
    keyHash: string,
    token: CancellationToken,
  ): Promise<KeyState | undefined> {
    const rows = await this.dependencies.table.read(
      [claimRowKey(keyHash)],
      token,
    );
    const row = rows.ok ? rows.value[0] : undefined;
    const record = row && parseClaimRecord(row);
    return (
      record?.outcome && {
        outcome: record.outcome,
        fingerprint: record.fingerprint,
      }
    );
  }

  /** Undefined when the incarnation is not listed or did not respond. */
  private async ask(
    request: AskRequest,
    token: CancellationToken,
  ): Promise<AskResponse | undefined> {
    const {askMilliseconds, clock, directory, metrics, peers} =
      this.dependencies;
    const peer = directory.resolve(request.incarnation);
    if (peer === undefined) {
      return undefined;
    }
    const source = new CancellationSource(token);
    const timer = clock.setTimer(askMilliseconds, () =>
      source.cancel('peer timeout'),
    );
    try {
      return await peers.ask(peer.address, request, source.token);
    } catch {
      metrics.count('claims.ask_failed', 1);
      return undefined;
    } finally {
      timer.dispose();
      source.dispose();
    }
  }

  private isListed(incarnation: string): boolean {
    return this.dependencies.directory.resolve(incarnation) !== undefined;
  }
}
