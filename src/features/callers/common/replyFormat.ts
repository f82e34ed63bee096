import {
  closingEvents,
  openingEvent,
  parseChatCompletion,
  replayEvents,
  ReplyIdentity,
  textEvent,
} from './chatReply.js';
import {ResponseContent} from './claimActions.js';
import {tokenText} from './tokenText.js';

/** Formats of a response: one body, or events that are streamed while the reply is generated. */

/** Formats the parts of a response for the connection. */
export abstract class ReplyFormat {
  /** Whether tokens are sent as they are generated. */
  abstract readonly isStreaming: boolean;
  /** Text sent before the first token. */
  abstract opening(): string;
  abstract token(token: string, index: number): string;
  /** Text sent after a complete reply. */
  abstract closing(content: ResponseContent): string;
  /** Formats a recorded response; undefined when this format can't represent it. */
  abstract replay(content: ResponseContent): string | undefined;
}

/** Sends the body unchanged once it is complete. */
export class BufferedFormat extends ReplyFormat {
  override readonly isStreaming = false;

  override opening(): string {
    return '';
  }

  override token(): string {
    return '';
  }

  override closing(content: ResponseContent): string {
    return content.body;
  }

  override replay(content: ResponseContent): string | undefined {
    return content.body;
  }
}

/** Sends a complete chat reply; replays recorded responses only if they are chat replies. */
export class BufferedChatFormat extends BufferedFormat {
  override replay(content: ResponseContent): string | undefined {
    return parseChatCompletion(content.body) && content.body;
  }
}

/** Streams a chat reply as server-sent events. */
export class StreamedChatFormat extends ReplyFormat {
  override readonly isStreaming = true;

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

  override closing(content: ResponseContent): string {
    const completion = parseChatCompletion(content.body)!;
    return closingEvents(this.identity, completion, this.includeUsage);
  }

  override replay(content: ResponseContent): string | undefined {
    const completion = parseChatCompletion(content.body);
    return completion && replayEvents(completion, this.includeUsage);
  }
}
