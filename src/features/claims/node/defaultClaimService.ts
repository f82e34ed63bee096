import {randomUUID} from 'node:crypto';

import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Disposable, DisposableStore} from '../../../base/common/lifecycle.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {
  RowWrite,
  TableService,
} from '../../../infrastructure/table/common/tableService.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {BoundClaims} from '../common/boundClaims.js';
import {ClaimAgeing} from '../common/claimAgeing.js';
import {AskAnswer, AskMessage, ClaimPeers} from '../common/claimPeers.js';
import {ClaimDecision, ClaimService} from '../common/claims.js';
import {ClaimSettings, defaultClaimSettings} from '../common/claimSettings.js';
import {countCommitters, GatheringWriter} from '../common/gatheringWriter.js';
import {GroupCommitter} from '../common/groupCommitter.js';
import {OutcomeRecorder} from '../common/outcomeRecorder.js';
import {OutcomeFinder} from '../common/outcomeFinder.js';
import {PeerDirectory} from '../common/peerDirectory.js';
import {PlainClaims} from '../common/plainClaims.js';
import {PlainKeyAnswers} from '../common/plainKeyAnswers.js';
import {RowResult} from '../common/rowWriter.js';
import {GrantSigner, hashKey} from './grantSigner.js';

/** What the claim service is built from. */
export interface ClaimServiceParts {
  readonly table: TableService;
  readonly clock: Clock;
  /** This process: 1 to 64 of `A-Z a-z 0-9 _ -`, never used by another process. */
  readonly incarnation: string;
  readonly peerKey: string;
  /** Peer keys used earlier whose grants may still be in use. */
  readonly formerPeerKeys?: readonly string[];
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly directory: PeerDirectory;
  readonly peers: ClaimPeers;
  readonly settings?: ClaimSettings;
  /** A text that is never repeated; random by default. */
  readonly createNonce?: () => string;
}

/** Claims keys: bound ones in memory, plain ones in the table. */
export class DefaultClaimService extends ClaimService implements Disposable {
  private readonly owned = new DisposableStore();
  private readonly settings: ClaimSettings;
  private readonly signer: GrantSigner;
  private readonly bound: BoundClaims;
  private readonly plain: PlainClaims;
  private readonly plainAnswers: PlainKeyAnswers;
  private readonly committer: GroupCommitter;
  private readonly recorder: OutcomeRecorder;
  private readonly ageing: ClaimAgeing;

  constructor(private readonly parts: ClaimServiceParts) {
    super();
    const {clock, incarnation, logger, metrics, table} = parts;
    this.settings = parts.settings ?? defaultClaimSettings;
    this.signer = new GrantSigner(parts.peerKey, parts.formerPeerKeys);
    this.committer = this.createCommitter();
    const writer = this.createWriter();
    this.recorder = this.owned.add(
      new OutcomeRecorder(writer, clock, logger, metrics, this.settings),
    );
    const finder = new OutcomeFinder({
      ...parts,
      askMilliseconds: this.settings.askMilliseconds,
    });
    this.bound = new BoundClaims(
      finder,
      this.recorder,
      clock,
      incarnation,
      this.settings,
    );
    this.plain = new PlainClaims(
      writer,
      this.recorder,
      clock,
      incarnation,
      parts.createNonce ?? randomUUID,
      this.settings,
    );
    this.plainAnswers = new PlainKeyAnswers(this.plain, finder, table);
    this.ageing = this.owned.add(
      new ClaimAgeing(table, clock, metrics, this.settings.ageing, incarnation),
    );
  }

  /** Begins to delete expired rows. */
  start(): void {
    this.ageing.start();
  }

  /** Before a planned stop: resolves when all outcomes are recorded, or after a time. */
  drain(milliseconds: number): Promise<void> {
    return this.recorder.whenEmpty(milliseconds);
  }

  dispose(): void {
    this.owned.dispose();
  }

  override issueGrant(clientAccount: string): string {
    const expiresAt = this.bound.ownTime() + this.settings.grantMilliseconds;
    return this.signer.sign(this.parts.incarnation, expiresAt, clientAccount);
  }

  override async claim(
    clientAccount: string,
    key: string,
    token: CancellationToken,
    fingerprint?: string,
  ): Promise<ClaimDecision> {
    const decision = await this.decide(clientAccount, key, token, fingerprint);
    this.parts.metrics.count('claims.decisions', 1, {kind: decision.kind});
    return decision;
  }

  override complete(
    clientAccount: string,
    key: string,
    outcome: RequestOutcome,
  ): void {
    const keyHash = hashKey(clientAccount, key);
    const binding = this.signer.read(clientAccount, key);
    const ended =
      binding.kind === 'bound'
        ? this.bound.complete(keyHash, binding, outcome)
        : this.plain.complete(keyHash, outcome);
    if (!ended) {
      this.parts.logger.warn('outcome of a key that is not running here');
    }
  }

  override async lookUp(
    clientAccount: string,
    key: string,
    token: CancellationToken,
  ): Promise<RequestOutcome | undefined> {
    const keyHash = hashKey(clientAccount, key);
    const binding = this.signer.read(clientAccount, key);
    switch (binding.kind) {
      case 'invalid':
        return undefined;
      case 'plain':
        return this.plainAnswers.lookUp(keyHash, token);
      case 'bound':
        return this.bound.lookUp(keyHash, binding, token);
    }
  }

  override isSurelyNotRun(clientAccount: string, key: string): boolean {
    const binding = this.signer.read(clientAccount, key);
    switch (binding.kind) {
      case 'invalid':
        return true;
      case 'plain':
        return false;
      case 'bound':
        return this.bound.isSurelyNotRun(hashKey(clientAccount, key), binding);
    }
  }

  /** Answers another instance's question. */
  answer(message: AskMessage): AskAnswer {
    const {grantExpiresAt, keyHash} = message;
    if (message.incarnation !== this.parts.incarnation) {
      return {kind: 'otherIncarnation'};
    }
    if (grantExpiresAt === undefined) {
      const known = this.plain.answerOf(keyHash);
      return known ? {kind: 'seen', ...known} : {kind: 'forgotten'};
    }
    return this.bound.answer(keyHash, grantExpiresAt);
  }

  /** Writes claim rows for another instance. */
  gather(writes: readonly RowWrite[]): Promise<readonly RowResult[]> {
    return Promise.all(writes.map(write => this.committer.write(write)));
  }

  private createCommitter(): GroupCommitter {
    const {clock, directory, metrics, table} = this.parts;
    const {commit, gather} = this.settings;
    return this.owned.add(
      new GroupCommitter(table, clock, metrics, commit, () =>
        countCommitters(directory, gather),
      ),
    );
  }

  private createWriter(): GatheringWriter {
    const {clock, directory, incarnation, metrics, peers} = this.parts;
    return this.owned.add(
      new GatheringWriter({
        direct: this.committer,
        settings: this.settings.gather,
        clock,
        directory,
        incarnation,
        metrics,
        peers,
      }),
    );
  }

  private async decide(
    clientAccount: string,
    key: string,
    token: CancellationToken,
    fingerprint: string | undefined,
  ): Promise<ClaimDecision> {
    const keyHash = hashKey(clientAccount, key);
    const binding = this.signer.read(clientAccount, key);
    switch (binding.kind) {
      case 'invalid':
        return {kind: 'refusedNotRun', detail: 'the key holds no valid grant'};
      case 'plain':
        return this.plainAnswers.claim(keyHash, token, fingerprint);
      case 'bound':
        return this.bound.claim(keyHash, binding, token, fingerprint);
    }
  }
}
