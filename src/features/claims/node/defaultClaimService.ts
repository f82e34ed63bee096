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
import {BoundKeyClaimer} from '../common/boundKeyClaimer.js';
import {ClaimRowSweeper} from '../common/claimRowSweeper.js';
import {AskRequest, AskResponse, ClaimPeers} from '../common/claimPeers.js';
import {ClaimDecision, ClaimService} from '../common/claimService.js';
import {ClaimSettings, defaultClaimSettings} from '../common/claimSettings.js';
import {countCommitters, GatheringWriter} from '../common/gatheringWriter.js';
import {GroupCommitter} from '../common/groupCommitter.js';
import {OutcomeRecorder} from '../common/outcomeRecorder.js';
import {OutcomeFinder} from '../common/outcomeFinder.js';
import {PeerDirectory} from '../common/peerDirectory.js';
import {PlainKeyClaimer} from '../common/plainKeyClaimer.js';
import {PlainKeyResolver} from '../common/plainKeyResolver.js';
import {RowResult} from '../common/rowWriter.js';
import {GrantSigner, hashKey} from './grantSigner.js';

export interface ClaimServiceDependencies {
  readonly table: TableService;
  readonly clock: Clock;
  /** Identifies this process: 1 to 64 of `A-Z a-z 0-9 _ -`, never reused by another process. */
  readonly incarnation: string;
  readonly peerKey: string;
  /** Previous peer keys, whose grants may still be in use. */
  readonly formerPeerKeys?: readonly string[];
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly directory: PeerDirectory;
  readonly peers: ClaimPeers;
  readonly settings?: ClaimSettings;
  /** Must never return the same text twice; random UUIDs by default. */
  readonly createNonce?: () => string;
}

/** Claims bound keys in memory and plain keys in the table. */
export class DefaultClaimService extends ClaimService implements Disposable {
  private readonly disposables = new DisposableStore();
  private readonly settings: ClaimSettings;
  private readonly signer: GrantSigner;
  private readonly bound: BoundKeyClaimer;
  private readonly plain: PlainKeyClaimer;
  private readonly plainKeyResolver: PlainKeyResolver;
  private readonly committer: GroupCommitter;
  private readonly recorder: OutcomeRecorder;
  private readonly sweeper: ClaimRowSweeper;

  constructor(private readonly dependencies: ClaimServiceDependencies) {
    super();
    const {clock, incarnation, logger, metrics, table} = dependencies;
    this.settings = dependencies.settings ?? defaultClaimSettings;
    this.signer = new GrantSigner(
      dependencies.peerKey,
      dependencies.formerPeerKeys,
    );
    this.committer = this.createCommitter();
    const writer = this.createWriter();
    this.recorder = this.disposables.add(
      new OutcomeRecorder(writer, clock, logger, metrics, this.settings),
    );
    const finder = new OutcomeFinder({
      ...dependencies,
      askMilliseconds: this.settings.askMilliseconds,
    });
    this.bound = new BoundKeyClaimer(
      finder,
      this.recorder,
      clock,
      incarnation,
      this.settings,
    );
    this.plain = new PlainKeyClaimer(
      writer,
      this.recorder,
      clock,
      incarnation,
      dependencies.createNonce ?? randomUUID,
      this.settings,
    );
    this.plainKeyResolver = new PlainKeyResolver(this.plain, finder, table);
    this.sweeper = this.disposables.add(
      new ClaimRowSweeper(
        table,
        clock,
        metrics,
        this.settings.ageing,
        incarnation,
      ),
    );
  }

  /** Starts the deletion of expired rows. */
  start(): void {
    this.sweeper.start();
  }

  /** For a planned stop: resolves when all outcomes are recorded or the time has elapsed. */
  drain(milliseconds: number): Promise<void> {
    return this.recorder.whenEmpty(milliseconds);
  }

  dispose(): void {
    this.disposables.dispose();
  }

  override issueGrant(clientAccount: string): string {
    const expiresAt =
      this.bound.steadyWallMilliseconds() + this.settings.grantMilliseconds;
    return this.signer.sign(
      this.dependencies.incarnation,
      expiresAt,
      clientAccount,
    );
  }

  override async claim(
    clientAccount: string,
    key: string,
    token: CancellationToken,
    fingerprint?: string,
  ): Promise<ClaimDecision> {
    const decision = await this.decide(clientAccount, key, token, fingerprint);
    this.dependencies.metrics.count('claims.decisions', 1, {
      kind: decision.kind,
    });
    return decision;
  }

  override complete(
    clientAccount: string,
    key: string,
    outcome: RequestOutcome,
  ): void {
    const keyHash = hashKey(clientAccount, key);
    const binding = this.signer.parseKey(clientAccount, key);
    const wasRunning =
      binding.kind === 'bound'
        ? this.bound.complete(keyHash, binding, outcome)
        : this.plain.complete(keyHash, outcome);
    if (!wasRunning) {
      this.dependencies.logger.warn(
        'ignored outcome of a key that is not running on this instance',
      );
    }
  }

  override async findOutcome(
    clientAccount: string,
    key: string,
    token: CancellationToken,
  ): Promise<RequestOutcome | undefined> {
    const keyHash = hashKey(clientAccount, key);
    const binding = this.signer.parseKey(clientAccount, key);
    switch (binding.kind) {
      case 'invalid':
        return undefined;
      case 'plain':
        return this.plainKeyResolver.lookUp(keyHash, token);
      case 'bound':
        return this.bound.lookUp(keyHash, binding, token);
    }
  }

  override isProvenNotRun(clientAccount: string, key: string): boolean {
    const binding = this.signer.parseKey(clientAccount, key);
    switch (binding.kind) {
      case 'invalid':
        return true;
      case 'plain':
        return false;
      case 'bound':
        return this.bound.isProvenNotRun(hashKey(clientAccount, key), binding);
    }
  }

  /** Handles `claims.ask` from another instance. */
  answer(request: AskRequest): AskResponse {
    const {grantExpiresAt, keyHash} = request;
    if (request.incarnation !== this.dependencies.incarnation) {
      return {kind: 'otherIncarnation'};
    }
    if (grantExpiresAt === undefined) {
      const state = this.plain.stateForPeer(keyHash);
      return state ? {kind: 'seen', ...state} : {kind: 'forgotten'};
    }
    return this.bound.answer(keyHash, grantExpiresAt);
  }

  /** Handles `claims.gather`: writes claim rows for another instance. */
  gather(writes: readonly RowWrite[]): Promise<readonly RowResult[]> {
    return Promise.all(writes.map(write => this.committer.write(write)));
  }

  private createCommitter(): GroupCommitter {
    const {clock, directory, metrics, table} = this.dependencies;
    const {commit, gather} = this.settings;
    return this.disposables.add(
      new GroupCommitter(table, clock, metrics, commit, () =>
        countCommitters(directory, gather),
      ),
    );
  }

  private createWriter(): GatheringWriter {
    const {clock, directory, incarnation, metrics, peers} = this.dependencies;
    return this.disposables.add(
      new GatheringWriter({
        directWriter: this.committer,
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
    const binding = this.signer.parseKey(clientAccount, key);
    switch (binding.kind) {
      case 'invalid':
        return {kind: 'refusedNotRun', detail: 'the key holds no valid grant'};
      case 'plain':
        return this.plainKeyResolver.claim(keyHash, token, fingerprint);
      case 'bound':
        return this.bound.claim(keyHash, binding, token, fingerprint);
    }
  }
}
