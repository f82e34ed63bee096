import {
  closingEvents,
  openingEvent,
  parseChatCompletion,
  replayEvents,
  ReplyIdentity,
  textEvent,
} from './chatReply.js';
import {CallerAnswer} from './claimAnswers.js';
import {tokenText} from './tokenText.js';

/** How an answer is sent: whole, or as events while it is made. */

/** Forms what goes over the connection. */
export abstract class ReplyFormat {
  /** Whether tokens are sent as they are made. */
  abstract readonly streams: boolean;
  /** Sent before the first token. */
  abstract opening(): string;
  abstract token(token: string, index: number): string;
  /** Sent after a whole reply. */
  abstract closing(answer: CallerAnswer): string;
  /** A recorded answer, whole; undefined when it is none of this format. */
  abstract replay(answer: CallerAnswer): string | undefined;
}

/** Sends the body as it is. */
export class WholeFormat extends ReplyFormat {
  override readonly streams = false;

  override opening(): string {
    return '';
  }

  override token(): string {
    return '';
  }

  override closing(answer: CallerAnswer): string {
    return answer.body;
  }

  override replay(answer: CallerAnswer): string | undefined {
    return answer.body;
  }
}

/** Sends a whole chat reply; recorded answers of other calls are not repeated for it. */
export class WholeChatFormat extends WholeFormat {
  override replay(answer: CallerAnswer): string | undefined {
    return parseChatCompletion(answer.body) && answer.body;
  }
}

/** Sends a chat reply as server-sent events. */
export class ChatEventFormat extends ReplyFormat {
  override readonly streams = true;

  constructor(
    private readonly identity: ReplyIdentity,
    private readonly includeUsage: boolean,
  ) {
    super();
  }

  override opening(): string {
    return openingEvent(this.identity);
  }

  override token(token: string, index: number): string {
    return textEvent(this.identity, tokenText(token, index));
  }

  override closing(answer: CallerAnswer): string {
    const completion = parseChatCompletion(answer.body)!;
    return closingEvents(this.identity, completion, this.includeUsage);
  }

  override replay(answer: CallerAnswer): string | undefined {
    const completion = parseChatCompletion(answer.body);
    return completion && replayEvents(completion, this.includeUsage);
  }
}
