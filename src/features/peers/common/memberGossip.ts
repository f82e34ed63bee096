import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner, toDisposable} from '../../../base/common/lifecycle.js';
import {LocalState} from './localState.js';
import {MembersOutcome, PeerExchanger} from './peerExchanger.js';
import {PeerResponder, MembersNotice} from './peerResponder.js';

/** Number of consecutive exchanges with a different peer list but no new changes after which the list is read. */
const UNRESOLVED_EXCHANGE_LIMIT = 5;

/** Gossips changes of the member list: fetches them from peers that announce one and announces those received. */
export class MemberGossip extends DisposableOwner {
  private readonly lifetime = new CancellationSource();
  private readonly learnedEmitter = this.register(new Emitter<void>());
  private readonly divergenceEmitter = this.register(new Emitter<void>());
  private pendingNotice: MembersNotice | undefined;
  private isExchanging = false;
  private isAnnouncing = false;
  private announceRequested = false;
  private unresolvedExchanges = 0;

  /** Fires after changes from a peer were applied to the member list. */
  readonly onDidLearnMembers = this.learnedEmitter.event;

  /** Fires when the lists of peers stay different although they send no new changes. */
  readonly onDidFailToConverge = this.divergenceEmitter.event;

  constructor(
    private readonly state: LocalState,
    private readonly exchanger: PeerExchanger,
    responder: PeerResponder,
  ) {
    super();
    this.register(toDisposable(() => this.lifetime.cancel('stopped')));
    this.register(
      responder.onDidReceiveMembersNotice(notice => this.handleNotice(notice)),
    );
  }

  /** Exchanges state with a random peer. */
  async exchange(token: CancellationToken): Promise<void> {
    this.handleOutcome(await this.exchanger.exchange(token));
  }

  /** Notifies some peers of a changed list; during an announcement, schedules another one directly after it. */
  announce(): void {
    if (this.isAnnouncing) {
      this.announceRequested = true;
      return;
    }
    void this.announceAll();
  }

  private async announceAll(): Promise<void> {
    const {token} = this.lifetime;
    this.isAnnouncing = true;
    do {
      this.announceRequested = false;
      await this.exchanger.announceMembers(token);
    } while (this.announceRequested && !token.isCancelled);
    this.isAnnouncing = false;
  }

  /** Several peers announce the same change, so exchanges run one at a time and only the newest notice is kept. */
  private handleNotice(notice: MembersNotice): void {
    this.pendingNotice = notice;
    if (!this.isExchanging) {
      void this.exchangeWithNotifiers();
    }
  }

  private async exchangeWithNotifiers(): Promise<void> {
    const {token} = this.lifetime;
    this.isExchanging = true;
    for (let notice = this.takePendingNotice(); notice !== undefined;) {
      this.handleOutcome(await this.exchanger.exchange(token, notice.id));
      notice = token.isCancelled ? undefined : this.takePendingNotice();
    }
    this.isExchanging = false;
  }

  /** Removes and returns the pending notice, if its list still differs from this instance's. */
  private takePendingNotice(): MembersNotice | undefined {
    const {pendingNotice} = this;
    this.pendingNotice = undefined;
    return pendingNotice?.members === this.state.memberList.fingerprint
      ? undefined
      : pendingNotice;
  }

  private handleOutcome(outcome: MembersOutcome): void {
    switch (outcome) {
      case 'unanswered':
        return;
      case 'same':
        this.unresolvedExchanges = 0;
        return;
      case 'learned':
        this.unresolvedExchanges = 0;
        this.learnedEmitter.fire();
        this.announce();
        return;
      case 'different':
        this.unresolvedExchanges++;
        if (this.unresolvedExchanges >= UNRESOLVED_EXCHANGE_LIMIT) {
          this.unresolvedExchanges = 0;
          this.divergenceEmitter.fire();
        }
    }
  }
}
