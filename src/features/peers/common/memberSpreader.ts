import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner, toDisposable} from '../../../base/common/lifecycle.js';
import {LocalState} from './localState.js';
import {MembersOutcome, PeerExchanger} from './peerExchanger.js';
import {PeerResponder, ToldMembers} from './peerResponder.js';

/** After so many exchanges in a row in which lists differed and nothing was learned, the list is read. */
const DIFFERENCES_LIMIT = 5;

/** Spreads changes of the list of members: asks a peer that tells of one, and tells others what was learned. */
export class MemberSpreader extends DisposableOwner {
  private readonly lifetime = new CancellationSource();
  private readonly learned = this.register(new Emitter<void>());
  private readonly differed = this.register(new Emitter<void>());
  private told: ToldMembers | undefined;
  private asking = false;
  private announcing = false;
  private announceAgain = false;
  private differences = 0;

  /** Fires after a peer changed the list of members. */
  readonly onDidLearn = this.learned.event;

  /** Fires when peers keep differing from here in what they can't tell any more. */
  readonly onDidStayDifferent = this.differed.event;

  constructor(
    private readonly state: LocalState,
    private readonly exchanger: PeerExchanger,
    responder: PeerResponder,
  ) {
    super();
    this.register(toDisposable(() => this.lifetime.cancel('stopped')));
    this.register(responder.onDidHearOfMembers(told => this.hear(told)));
  }

  /** Asks a random peer. */
  async exchange(token: CancellationToken): Promise<void> {
    this.note(await this.exchanger.exchange(token));
  }

  /** Tells some peers that the list changed; while that goes on, once more after it. */
  announce(): void {
    if (this.announcing) {
      this.announceAgain = true;
      return;
    }
    void this.announceAll();
  }

  private async announceAll(): Promise<void> {
    const {token} = this.lifetime;
    this.announcing = true;
    do {
      this.announceAgain = false;
      await this.exchanger.announceMembers(token);
    } while (this.announceAgain && !token.isCancelled);
    this.announcing = false;
  }

  /** Several peers tell of the same change, so one is asked at a time and the newest is remembered. */
  private hear(told: ToldMembers): void {
    this.told = told;
    if (!this.asking) {
      void this.ask();
    }
  }

  private async ask(): Promise<void> {
    const {token} = this.lifetime;
    this.asking = true;
    for (let told = this.takeTold(); told !== undefined;) {
      this.note(await this.exchanger.exchange(token, told.id));
      told = token.isCancelled ? undefined : this.takeTold();
    }
    this.asking = false;
  }

  /** The newest that was told, if it still differs from here. */
  private takeTold(): ToldMembers | undefined {
    const {told} = this;
    this.told = undefined;
    return told?.members === this.state.book.fingerprint ? undefined : told;
  }

  private note(outcome: MembersOutcome): void {
    switch (outcome) {
      case 'unanswered':
        return;
      case 'same':
        this.differences = 0;
        return;
      case 'learned':
        this.differences = 0;
        this.learned.fire();
        this.announce();
        return;
      case 'different':
        this.differences++;
        if (this.differences >= DIFFERENCES_LIMIT) {
          this.differences = 0;
          this.differed.fire();
        }
    }
  }
}
