import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {TableService} from '../../../infrastructure/table/common/tableService.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {AskAnswer, AskMessage, ClaimPeers} from './claimPeers.js';
import {
  claimRowKey,
  isReplyNotKept,
  KnownKey,
  parseClaimRecord,
} from './claimRecord.js';
import {KeyBinding} from './claims.js';
import {PeerDirectory} from './peerDirectory.js';

/** A key that starts with a grant. */
export type BoundBinding = Extract<KeyBinding, {readonly kind: 'bound'}>;

/** What another incarnation or the table says of a bound key. */
export type ForeignOutcome =
  | ({readonly kind: 'outcome'} & KnownKey)
  /** Never dispatched, nor will it be. */
  | {readonly kind: 'closed'}
  /** Not dispatched so far; it may be yet. */
  | {readonly kind: 'notSeen'}
  /** Its incarnation may be alive and couldn't be asked. */
  | {readonly kind: 'notAsked'};

/** What the finder needs. */
export interface OutcomeFinderParts {
  readonly table: TableService;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly directory: PeerDirectory;
  readonly peers: ClaimPeers;
  readonly askMilliseconds: number;
}

const NOTHING_KNOWN: KnownKey = {
  outcome: {kind: 'unknown'},
  fingerprint: undefined,
};

/** Finds what became of keys that this instance didn't run: from their incarnation, then the table. */
export class OutcomeFinder {
  constructor(private readonly parts: OutcomeFinderParts) {}

  /** What is known of a key bound to another incarnation. */
  async foreignOutcome(
    keyHash: string,
    binding: BoundBinding,
    token: CancellationToken,
  ): Promise<ForeignOutcome> {
    const {incarnation, expiresAtWallMilliseconds} = binding;
    const message: AskMessage = {
      incarnation,
      keyHash,
      grantExpiresAt: expiresAtWallMilliseconds,
    };
    const answer = await this.ask(message, token);
    if (answer?.kind === 'seen') {
      const {outcome, fingerprint} = answer;
      const kept = await this.withKeptReply(keyHash, outcome, token);
      return {kind: 'outcome', outcome: kept, fingerprint};
    }
    if (answer?.kind === 'notSeen') {
      return {kind: answer.closed ? 'closed' : 'notSeen'};
    }
    const recorded = await this.recorded(keyHash, token);
    if (recorded !== undefined) {
      return {kind: 'outcome', ...recorded};
    }
    const mayBeAlive = answer === undefined && this.isKnown(incarnation);
    return mayBeAlive
      ? {kind: 'notAsked'}
      : {kind: 'outcome', ...NOTHING_KNOWN};
  }

  /** The outcome of a plain key whose row holds none; only its incarnation can know. */
  async askPlain(
    keyHash: string,
    incarnation: string,
    token: CancellationToken,
  ): Promise<KnownKey> {
    const message = {incarnation, keyHash, grantExpiresAt: undefined};
    const answer = await this.ask(message, token);
    if (answer?.kind !== 'seen') {
      return NOTHING_KNOWN;
    }
    const {outcome, fingerprint} = answer;
    return {outcome, fingerprint};
  }

  /** Fetches a reply whose text memory no longer holds. */
  async withKeptReply(
    keyHash: string,
    outcome: RequestOutcome,
    token: CancellationToken,
  ): Promise<RequestOutcome> {
    if (!isReplyNotKept(outcome)) {
      return outcome;
    }
    return (await this.recorded(keyHash, token))?.outcome ?? outcome;
  }

  /** The outcome that stands in the table; undefined when there is none or it can't be read. */
  async recorded(
    keyHash: string,
    token: CancellationToken,
  ): Promise<KnownKey | undefined> {
    const rows = await this.parts.table.read([claimRowKey(keyHash)], token);
    const row = rows.ok ? rows.value[0] : undefined;
    const record = row && parseClaimRecord(row);
    return (
      record?.outcome && {
        outcome: record.outcome,
        fingerprint: record.fingerprint,
      }
    );
  }

  /** Undefined when the incarnation isn't known or didn't answer. */
  private async ask(
    message: AskMessage,
    token: CancellationToken,
  ): Promise<AskAnswer | undefined> {
    const {askMilliseconds, clock, directory, metrics, peers} = this.parts;
    const peer = directory.resolve(message.incarnation);
    if (peer === undefined) {
      return undefined;
    }
    const source = new CancellationSource(token);
    const timer = clock.setTimer(askMilliseconds, () =>
      source.cancel('peer timeout'),
    );
    try {
      return await peers.ask(peer.address, message, source.token);
    } catch {
      metrics.count('claims.ask_failed', 1);
      return undefined;
    } finally {
      timer.dispose();
      source.dispose();
    }
  }

  private isKnown(incarnation: string): boolean {
    return this.parts.directory.resolve(incarnation) !== undefined;
  }
}
